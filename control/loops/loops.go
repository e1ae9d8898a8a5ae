package loops

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"goldcrestfork/control"
	"goldcrestfork/control/gather"
	"goldcrestfork/control/lease"
	"goldcrestfork/control/orders"
	"goldcrestfork/control/rollouts"
	"goldcrestfork/durable"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/policy/rollout"
)

// candidatesPerLease is the number of VMs that compete for each lease. With three, one
// may fail while another is being replaced; each further candidate costs a platform
// read every two seconds.
const candidatesPerLease = 3

// repeatInterval is the time between repeats of a brake, or of a suspect message about
// one endpoint. A VM that missed a message, or started after it, receives the repeat.
const repeatInterval = 5 * time.Second

// The names of the leases, which are also the rendezvous keys of their candidates, and
// the rendezvous key of the aggregating VMs.
const (
	leaseRollOuts = "roll-outs"
	leaseOrders   = "orders"
	aggregatorKey = "counts"
)

// Options holds the dependencies and settings of the loops.
type Options struct {
	Self          VM
	Peers         Peers
	Store         durable.Store
	Configuration control.Configuration
	Endpoints     orders.Endpoints
	// Recorder holds the counts of this VM's outcomes; Brakes stops its new work on bad
	// versions.
	Recorder *rollout.Recorder
	Brakes   *rollout.Brakes

	Lease    lease.Settings
	RollOuts rollout.Settings
	Orders   orders.Settings

	Registerer prometheus.Registerer
	Log        zerolog.Logger
}

// Loops runs the control loops of one VM. It is safe for concurrent use.
type Loops struct {
	opts       Options
	aggregator *gather.Aggregator
	collector  *gather.Collector
	rollOuts   *rollouts.Controller
	orders     *orders.Controller
	leases     map[string]*lease.Lease

	mu sync.Mutex
	// sentAt is the time at which each brake or suspect message was last sent.
	sentAt map[messageKey]time.Time
}

// messageKey identifies a message that is repeated: a suspect endpoint, or a roll-out
// and its epoch.
type messageKey struct {
	endpoint, rollOut string
	epoch             int64
}

// New returns the loops of one VM; Run runs them.
func New(o Options) *Loops {
	l := &Loops{
		opts:       o,
		aggregator: gather.NewAggregator(o.Self.DataCentre),
		leases:     make(map[string]*lease.Lease),
		sentAt:     make(map[messageKey]time.Time),
	}
	for _, name := range []string{leaseRollOuts, leaseOrders} {
		l.leases[name] = lease.New(o.Store, name, o.Self.ID, o.Lease, o.Registerer, o.Log)
	}
	l.collector = gather.NewCollector(l.dataCentres)
	l.rollOuts = rollouts.New(l.leases[leaseRollOuts], o.Configuration, l.collector, o.RollOuts, o.Registerer, o.Log)
	l.rollOuts.UseBrakes(o.Brakes, l.broadcastBrake)
	l.orders = orders.New(l.leases[leaseOrders], o.Configuration, o.Store, o.Endpoints, o.Orders, o.Registerer, o.Log)
	return l
}

// Run runs the loops until ctx ends, and then releases the leases.
func (l *Loops) Run(ctx context.Context) {
	var running sync.WaitGroup
	for name, vmLease := range l.leases {
		running.Go(func() { vmLease.Run(ctx, func() bool { return l.isCandidate(name) }) })
	}
	running.Go(func() { l.rollOuts.Run(ctx) })
	running.Go(func() { l.orders.Run(ctx) })
	running.Go(func() { l.runReports(ctx) })
	running.Wait()
}

// runReports sends this VM's counts, and on the aggregating VM also its data centre's
// digest, every gather.ReportInterval while a roll-out is under way.
func (l *Loops) runReports(ctx context.Context) {
	timer := time.NewTimer(gather.Interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		underWay := l.underWay()
		if len(underWay) > 0 {
			l.sendReport(ctx, underWay)
		}
		timer.Reset(gather.ReportInterval(len(underWay)))
	}
}

// underWay returns the names of the roll-outs under way, and drops the brakes of
// roll-outs that are over.
func (l *Loops) underWay() []string {
	s := l.opts.Configuration.Snapshot()
	l.opts.Brakes.Prune(s)
	var names []string
	for name, r := range s.RollOuts {
		if rollout.UnderWay(r) {
			names = append(names, name)
		}
	}
	return names
}

// sendReport sends one report to the aggregating VM of this data centre, and if that is
// this VM, one digest to each candidate for the roll-out lease.
func (l *Loops) sendReport(ctx context.Context, underWay []string) {
	counts := l.opts.Recorder.Counts(l.opts.Configuration.Snapshot())
	r := gather.NewReport(l.opts.Self.ID, counts)
	l.send(ctx, l.aggregatorVM(l.opts.Self.DataCentre), Message{Report: &r})
	if l.aggregatorVM(l.opts.Self.DataCentre) != l.opts.Self.ID {
		return
	}
	d := l.aggregator.Digest(l.vmIDs(l.opts.Self.DataCentre), underWay, time.Now())
	for _, id := range l.candidates(leaseRollOuts) {
		l.send(ctx, id, Message{Digest: &d})
	}
}

// Receive handles a message from another VM or from this VM.
func (l *Loops) Receive(ctx context.Context, m Message) {
	switch {
	case m.Report != nil:
		l.aggregator.Add(*m.Report, time.Now())
	case m.Digest != nil:
		l.collector.Add(*m.Digest, time.Now())
	case m.Brake != nil:
		l.opts.Brakes.Set(m.Brake.RollOut, m.Brake.Epoch)
		if !m.Brake.Relayed {
			l.relayBrake(ctx, *m.Brake)
		}
	case m.Suspect != "":
		l.orders.Suspect(m.Suspect)
	}
}

// relayBrake sends a brake to the other VMs of this data centre.
func (l *Loops) relayBrake(ctx context.Context, b Brake) {
	b.Relayed = true
	for _, id := range l.vmIDs(l.opts.Self.DataCentre) {
		if id != l.opts.Self.ID {
			l.send(ctx, id, Message{Brake: &b})
		}
	}
}

// broadcastBrake sends a brake to the aggregating VM of each data centre, at most once
// per repeatInterval. The roll-out controller calls it in each round for a version that
// should be rolled back but can't be.
func (l *Loops) broadcastBrake(rollOut string, epoch int64) {
	if l.recentlySent(messageKey{rollOut: rollOut, epoch: epoch}) {
		return
	}
	b := Brake{RollOut: rollOut, Epoch: epoch}
	for _, dc := range l.dataCentres() {
		l.send(context.Background(), l.aggregatorVM(dc), Message{Brake: &b})
	}
}

// Suspect asks the holder of the order lease to read an endpoint's report, for example
// after an answer from a version that the endpoint should not have loaded. It sends at
// most one message per endpoint and repeatInterval to each candidate.
func (l *Loops) Suspect(ctx context.Context, endpoint string) {
	if l.recentlySent(messageKey{endpoint: endpoint}) {
		return
	}
	for _, id := range l.candidates(leaseOrders) {
		l.send(ctx, id, Message{Suspect: endpoint})
	}
}

// recentlySent reports whether a message was sent less than repeatInterval ago. If not,
// it records the message as sent now.
func (l *Loops) recentlySent(key messageKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(l.sentAt, func(_ messageKey, at time.Time) bool { return now.Sub(at) >= repeatInterval })
	if _, ok := l.sentAt[key]; ok {
		return true
	}
	l.sentAt[key] = now
	return false
}

// send sends a message to a VM; it delivers messages to this VM directly.
func (l *Loops) send(ctx context.Context, to string, m Message) {
	if to == l.opts.Self.ID {
		l.Receive(ctx, m)
		return
	}
	l.opts.Peers.Send(ctx, to, m)
}

// vmIDs returns the IDs of a data centre's live VMs, or of all live VMs for "".
func (l *Loops) vmIDs(dataCentre string) []string {
	var ids []string
	for _, vm := range l.opts.Peers.VMs() {
		if dataCentre == "" || vm.DataCentre == dataCentre {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// dataCentres returns the names of the data centres with live VMs.
func (l *Loops) dataCentres() []string {
	var names []string
	for _, vm := range l.opts.Peers.VMs() {
		names = append(names, vm.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// aggregatorVM returns the VM that aggregates a data centre's counts.
func (l *Loops) aggregatorVM(dataCentre string) string {
	return rendezvous.Best(aggregatorKey, l.vmIDs(dataCentre))
}

// candidates returns the VMs that compete for a lease.
func (l *Loops) candidates(name string) []string {
	all := rendezvous.Rank(name, l.vmIDs(""))
	return all[:min(candidatesPerLease, len(all))]
}

func (l *Loops) isCandidate(name string) bool {
	return slices.Contains(l.candidates(name), l.opts.Self.ID)
}

// Dump holds the control loops' part of the state dump.
type Dump struct {
	Leases   []lease.Dump      `json:"leases"`
	RollOuts []rollouts.Status `json:"rollOuts,omitempty"`
	// Missing lists the data centres whose counts are incomplete on this VM.
	Missing []string        `json:"missing,omitempty"`
	Orders  []orders.Status `json:"orders,omitempty"`
}

// Dump returns the state of the loops on this VM.
func (l *Loops) Dump() Dump {
	d := Dump{RollOuts: l.rollOuts.Dump(), Orders: l.orders.Dump()}
	for _, name := range []string{leaseRollOuts, leaseOrders} {
		d.Leases = append(d.Leases, l.leases[name].Dump())
	}
	if len(d.RollOuts) > 0 {
		d.Missing = l.collector.Missing()
	}
	return d
}
