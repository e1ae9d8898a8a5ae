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

// candidates is how many VMs look after each lease. Three: one may fail and
// another be replaced at the same time; each further one costs a platform read
// every two seconds.
const candidates = 3

// repeatEvery is the time between repeats of a brake, or of a suspicion of one
// endpoint: a VM that missed one, or started since, gets the next.
const repeatEvery = 5 * time.Second

// The names of the leases, which are also the keys by which VMs are ranked.
const (
	leaseRollOuts = "roll-outs"
	leaseOrders   = "orders"
	rankCounts    = "counts"
)

// Options are what the loops work with.
type Options struct {
	Self          VM
	Peers         Peers
	Store         durable.Store
	Configuration control.Configuration
	Endpoints     orders.Endpoints
	// Recorder holds this VM's outcomes, Brakes keeps its new work from bad versions.
	Recorder *rollout.Recorder
	Brakes   *rollout.Brakes

	Lease    lease.Settings
	RollOuts rollout.Settings
	Orders   orders.Settings

	Registerer prometheus.Registerer
	Log        zerolog.Logger
}

// Loops are one VM's control loops. Safe for concurrent use.
type Loops struct {
	opts      Options
	site      *gather.Site
	collector *gather.Collector
	rollOuts  *rollouts.Controller
	orders    *orders.Controller
	leases    map[string]*lease.Lease

	mu sync.Mutex
	// sent is when each brake and suspicion was last sent.
	sent map[repeat]time.Time
}

// repeat names what is sent again now and then.
type repeat struct {
	endpoint, rollOut string
	epoch             int64
}

// New wires the loops; Run runs them.
func New(o Options) *Loops {
	l := &Loops{
		opts:   o,
		site:   gather.NewSite(o.Self.DataCentre),
		leases: make(map[string]*lease.Lease),
		sent:   make(map[repeat]time.Time),
	}
	for _, name := range []string{leaseRollOuts, leaseOrders} {
		l.leases[name] = lease.New(o.Store, name, o.Self.ID, o.Lease, o.Registerer, o.Log)
	}
	l.collector = gather.NewCollector(l.dataCentres)
	l.rollOuts = rollouts.New(l.leases[leaseRollOuts], o.Configuration, l.collector, o.RollOuts, o.Registerer, o.Log)
	l.rollOuts.UseBrakes(o.Brakes, l.brake)
	l.orders = orders.New(l.leases[leaseOrders], o.Configuration, o.Store, o.Endpoints, o.Orders, o.Registerer, o.Log)
	return l
}

// Run runs the loops until ctx ends, and gives the leases up.
func (l *Loops) Run(ctx context.Context) {
	var running sync.WaitGroup
	for name, held := range l.leases {
		running.Go(func() { held.Run(ctx, func() bool { return l.candidate(name) }) })
	}
	running.Go(func() { l.rollOuts.Run(ctx) })
	running.Go(func() { l.orders.Run(ctx) })
	running.Go(func() { l.report(ctx) })
	running.Wait()
}

// report sends this VM's counts, and its data centre's if this is the first VM there.
func (l *Loops) report(ctx context.Context) {
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
			l.reportOnce(ctx, underWay)
		}
		timer.Reset(gather.Every(len(underWay)))
	}
}

// underWay names the roll-outs under way. Brakes of those that are gone are dropped.
func (l *Loops) underWay() []string {
	s := l.opts.Configuration.Snapshot()
	l.opts.Brakes.Forget(s)
	var names []string
	for name, r := range s.RollOuts {
		if rollout.UnderWay(r) {
			names = append(names, name)
		}
	}
	return names
}

func (l *Loops) reportOnce(ctx context.Context, underWay []string) {
	counts := l.opts.Recorder.Counts(l.opts.Configuration.Snapshot())
	r := gather.NewReport(l.opts.Self.ID, counts)
	l.send(ctx, l.first(l.opts.Self.DataCentre), Message{Report: &r})
	if l.first(l.opts.Self.DataCentre) != l.opts.Self.ID {
		return
	}
	d := l.site.Digest(l.ids(l.opts.Self.DataCentre), underWay, time.Now())
	for _, id := range l.ranked(leaseRollOuts) {
		l.send(ctx, id, Message{Digest: &d})
	}
}

// Receive takes a message of another VM, or of this one.
func (l *Loops) Receive(ctx context.Context, m Message) {
	switch {
	case m.Report != nil:
		l.site.Add(*m.Report, time.Now())
	case m.Digest != nil:
		l.collector.Add(*m.Digest, time.Now())
	case m.Brake != nil:
		l.opts.Brakes.Set(m.Brake.RollOut, m.Brake.Epoch)
		if !m.Brake.Relayed {
			l.relay(ctx, *m.Brake)
		}
	case m.Suspect != "":
		l.orders.Suspect(m.Suspect)
	}
}

// relay passes a brake on to the VMs of this data centre.
func (l *Loops) relay(ctx context.Context, b Brake) {
	b.Relayed = true
	for _, id := range l.ids(l.opts.Self.DataCentre) {
		if id != l.opts.Self.ID {
			l.send(ctx, id, Message{Brake: &b})
		}
	}
}

// brake is called each round for a version that should be rolled back and can't be.
func (l *Loops) brake(rollOut string, epoch int64) {
	if l.recent(repeat{rollOut: rollOut, epoch: epoch}) {
		return
	}
	b := Brake{RollOut: rollOut, Epoch: epoch}
	for _, dc := range l.dataCentres() {
		l.send(context.Background(), l.first(dc), Message{Brake: &b})
	}
}

// Suspect has an endpoint's report read by the VM that holds the orders' lease, as
// when an answer came from a version that it shouldn't have loaded.
func (l *Loops) Suspect(ctx context.Context, endpoint string) {
	if l.recent(repeat{endpoint: endpoint}) {
		return
	}
	for _, id := range l.ranked(leaseOrders) {
		l.send(ctx, id, Message{Suspect: endpoint})
	}
}

// recent says whether something was sent less than repeatEvery ago; if not, it is now.
func (l *Loops) recent(r repeat) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(l.sent, func(_ repeat, at time.Time) bool { return now.Sub(at) >= repeatEvery })
	if _, ok := l.sent[r]; ok {
		return true
	}
	l.sent[r] = now
	return false
}

// send delivers to this VM itself without the peer link.
func (l *Loops) send(ctx context.Context, to string, m Message) {
	if to == l.opts.Self.ID {
		l.Receive(ctx, m)
		return
	}
	l.opts.Peers.Send(ctx, to, m)
}

// ids returns the live VMs of a data centre, or all for "".
func (l *Loops) ids(dataCentre string) []string {
	var ids []string
	for _, vm := range l.opts.Peers.VMs() {
		if dataCentre == "" || vm.DataCentre == dataCentre {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// dataCentres returns those with live VMs.
func (l *Loops) dataCentres() []string {
	var names []string
	for _, vm := range l.opts.Peers.VMs() {
		names = append(names, vm.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// first returns the VM that gathers a data centre's counts.
func (l *Loops) first(dataCentre string) string {
	return rendezvous.Best(rankCounts, l.ids(dataCentre))
}

// ranked returns the candidates for a lease.
func (l *Loops) ranked(name string) []string {
	all := rendezvous.Rank(name, l.ids(""))
	return all[:min(candidates, len(all))]
}

func (l *Loops) candidate(name string) bool {
	return slices.Contains(l.ranked(name), l.opts.Self.ID)
}

// Dump is the control loops' part of the state dump.
type Dump struct {
	Leases   []lease.Dump      `json:"leases"`
	RollOuts []rollouts.Status `json:"rollOuts,omitempty"`
	// Missing names data centres whose counts are not complete here.
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
