package node

import (
	"context"
	"net"
	"net/http"
	"reflect"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"goldcrestfork/fleet/datagram"
	"goldcrestfork/fleet/gossip"
	"goldcrestfork/fleet/sticky"
	"goldcrestfork/fleet/tally"
	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/forward"
	"goldcrestfork/gateway/upstream"
	"goldcrestfork/gateway/view"
	"goldcrestfork/policy/placement"
)

// Platform is what the VM needs of the platform's store.
type Platform interface {
	Configs() view.Source[*catalog.Config]
	Endpoints() view.Source[catalog.Endpoint]
	RollOuts() view.Source[catalog.RollOut]
	DataCentresOut() view.Source[struct{}]
	VMs() view.Source[gossip.Member]
	// Announce enters this VM where others find it; Withdraw takes the entry out.
	Announce(ctx context.Context, m gossip.Member) error
	Withdraw(ctx context.Context, name string) error
	// RecordRollOut writes the decision on a roll-out, if its order is unchanged.
	RecordRollOut(ctx context.Context, r catalog.RollOut, s catalog.RollOutState) error
}

// Edge is what callers and the platform's checks speak.
type Edge struct {
	Names forward.Names
	// ReadyPath and DirectoryPath are the paths of those calls.
	ReadyPath, DirectoryPath string
	// DataCentreOf reads the data centre of a caller that asks for addresses.
	DataCentreOf func(r *http.Request) string
	// WriteAddresses answers such a caller.
	WriteAddresses func(w http.ResponseWriter, addresses []string, ttl time.Duration)
}

const (
	// waitShare of a kind's bound is how long one watch of it waits, silentShare how long
	// a VM may not hear of the platform before those that read from it go elsewhere. A
	// change just after the last word is so in force within the bound with a quarter of
	// it left for asking the platform itself, which may answer 70 times as slowly as the
	// usual 4 ms.
	waitShare   = 0.5
	silentShare = 0.75
	// keyWaitShare of the bound on taken keys is the most that a watch of the configuration
	// waits: keys are honoured as long after the platform fell silent as the last proof is new.
	keyWaitShare = 0.2
	// keyMargin is kept clear of the revocation bound: a request is judged when its
	// head is read, at most some ms after it was sent.
	keyMargin = 300 * time.Millisecond
	// denyProof is the proof's age up to which a missing path or key is denied: a
	// watch, another VM's reading of it, and their answers.
	denyProof = 2500 * time.Millisecond
	// readyProof is the proof's age up to which a VM says that it is ready: it is out
	// of the directory before it must refuse keys.
	readyProof = 3200 * time.Millisecond
	// holdMargin is kept clear of the drain bound by entries held after an outage.
	holdMargin = 300 * time.Millisecond
	// memoryShare of the limit is where the collector starts to work harder.
	memoryShare = 0.7
	// upkeep is the time between looks at held entries, idle connections and roll-outs.
	upkeep = 250 * time.Millisecond
)

// Node is one VM.
type Node struct {
	s        Settings // as at the start
	inForce  *atomic.Pointer[Bounds]
	p        Platform
	edge     Edge
	log      zerolog.Logger
	view     *view.View
	table    *placement.Table
	pool     *upstream.Pool
	handler  *forward.Handler
	gossip   *gossip.Service
	tally    *tally.Service
	rollouts *rollouts
	sticky   *sticky.Service
	watchers *watchers
	suspects *suspects
	feeds    map[string]*view.Feed
	relays   *view.Relays
	traffic  *datagram.Traffic
	met      chan struct{} // closed when the VM has met others to read from
	metOnce  sync.Once
	servers  []*http.Server
	front    *http.Server
	stopping atomic.Bool
	orders   atomic.Bool // roll-outs and data centres out were listed
	out      atomic.Bool

	// What choices need of the fleet, made anew now and then.
	ownKeepers, farKeepers recent[[]tally.Keeper]
	vms                    recent[[]string]
	ring                   recent[*sticky.Ring]

	registry *prometheus.Registry
	wg       sync.WaitGroup
}

// New wires a VM; Run serves.
func New(s Settings, p Platform, edge Edge, registry *prometheus.Registry, log zerolog.Logger) (*Node, error) {
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * (1 << 20)))
	n := &Node{s: s, inForce: new(atomic.Pointer[Bounds]), met: make(chan struct{}), p: p, edge: edge, log: log, registry: registry, table: placement.New(s.DataCentre), pool: upstream.NewPool(registry)}
	n.inForce.Store(&s.Bounds)
	n.rollouts = newRollouts(n)
	n.watchers = newWatchers(n)
	n.suspects = newSuspects(n.pool.Connects)
	n.feeds = make(map[string]*view.Feed)
	for _, kind := range []string{kindConfig, kindEndpoints, kindOrders, kindOut} {
		n.feeds[kind] = view.NewFeed(bootClock, share(n.bound(kind), silentShare))
	}
	n.relays = view.NewRelays(n.feeds, registry)
	n.traffic = datagram.NewTraffic(registry)
	var err error
	n.gossip, err = gossip.Listen(gossip.Config{
		Self: n.self(), Clock: bootClock, Ready: n.Ready, Payload: n.payload, Take: n.take,
		Log: log, Registerer: registry, Traffic: n.traffic,
	})
	if err != nil {
		return nil, err
	}
	n.sticky = n.newSticky()
	n.tally, err = n.newTally()
	if err != nil {
		return nil, err
	}
	n.view = view.New(view.Settings{
		Table: n.table, Clock: bootClock, Log: log, Hold: func() time.Duration { return n.bounds().DrainTimeout - holdMargin },
		Regions: s.Regions, ColdShare: n.coldShare, Gone: n.pool.Gone,
	})
	n.handler = forward.New(forward.Config{
		Names: edge.Names, State: n.view, Table: n.table, Pool: n.pool, Versions: n.rollouts,
		Budget: newBudgets(n), Poison: n.suspects, Load: n.tally, Metrics: forward.NewMetrics(registry), Log: log,
		KeyProof: func() time.Duration { return n.bounds().Revocation - keyMargin }, DenyProof: denyProof,
	})
	return n, nil
}

// bounds are those in force.
func (n *Node) bounds() Bounds { return *n.inForce.Load() }

// MetricsPort is where metrics are served; the command line sets it, not the machine.
func (n *Node) MetricsPort() int { return n.s.MetricsPort }

// Reload takes the bounds of new settings. Names and addresses hold until the next
// start: callers and the other VMs know this one by them.
func (n *Node) Reload(s Settings) {
	old := n.bounds()
	changed := old != s.Bounds
	n.inForce.Store(&s.Bounds)
	for kind, feed := range n.feeds {
		feed.SetLimit(share(n.bound(kind), silentShare))
	}
	fixed := s
	fixed.Bounds = n.s.Bounds
	n.log.Info().Bool("bounds_changed", changed).Bool("needs_restart", !reflect.DeepEqual(fixed, n.s)).
		Interface("bounds", s.Bounds).Msg("settings read again")
}

// self is this VM as others reach it.
func (n *Node) self() gossip.Member {
	return gossip.Member{
		Name: n.s.VM, Peer: net.JoinHostPort(n.s.IP, strconv.Itoa(n.s.PortFirst)), Front: n.s.Front, DataCentre: n.s.DataCentre,
	}
}

// Ready says whether callers may be sent here.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.orders.Load() && n.out.Load() && n.view.Ready(readyProof)
}

// Run serves until the context ends, then stops in order.
func (n *Node) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := n.listen(); err != nil {
		return err
	}
	n.follow(work)
	n.spawn(func() { n.gossip.Run(work) })
	n.spawn(func() { n.tally.Run(work) })
	n.spawn(func() { n.announce(work) })
	n.spawn(func() { n.upkeep(work) })
	n.spawn(func() { n.pool.Watch(work, n.silent) })
	n.log.Info().Str("front", n.s.Front).Str("data_centre", n.s.DataCentre).Msg("started")
	<-ctx.Done()
	n.stop(work)
	return nil
}

func (n *Node) spawn(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// The kinds that VMs read from each other.
const (
	kindConfig    = "configuration"
	kindEndpoints = "endpoints"
	kindOrders    = "roll-outs"
	kindOut       = "data-centres-out"
)

// bound is how long after a change of a kind it must be in force.
func (n *Node) bound(kind string) time.Duration {
	switch kind {
	case kindConfig:
		return n.bounds().ConfigInForce
	case kindEndpoints:
		return n.bounds().DrainTimeout
	case kindOrders:
		return n.bounds().RollBack
	}
	return n.bounds().Evacuation
}

// wait is how long one watch of a kind waits.
func (n *Node) wait(kind string) time.Duration {
	wait := share(n.bound(kind), waitShare)
	if kind == kindConfig {
		wait = min(wait, share(n.bounds().Revocation, keyWaitShare))
	}
	return wait
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// follower returns a follower of a kind that reads from another VM where one watches.
func follower[T any](n *Node, kind string, source view.Source[T], apply func(view.Update[T])) *view.Follower[T] {
	patience := time.Duration(0)
	if n.s.FirstStart {
		patience = firstPatience
	}
	return &view.Follower[T]{
		Kind: kind, Source: source, Wait: n.wait(kind), Clock: bootClock, Apply: apply, Log: n.log,
		Feed: n.feeds[kind], Reader: n.relays, Guide: n.watchers, Met: n.met, Patience: patience, Settle: settle,
	}
}

func (n *Node) follow(ctx context.Context) {
	configs := follower(n, kindConfig, n.p.Configs(), n.view.ApplyConfig)
	endpoints := follower(n, kindEndpoints, n.p.Endpoints(), n.view.ApplyEndpoints)
	orders := follower(n, kindOrders, n.p.RollOuts(), func(u view.Update[catalog.RollOut]) {
		n.view.ApplyRollOuts(u)
		n.rollouts.changed()
		n.orders.Store(true)
	})
	out := follower(n, kindOut, n.p.DataCentresOut(), func(u view.Update[struct{}]) {
		n.view.ApplyOut(u)
		n.out.Store(true)
	})
	// At a restart calls would otherwise grow with the fleet when all come back at once. A VM
	// that has just started may learn of orders and data centres a moment later; which keys
	// and endpoints there are it must know from the first request on.
	orders.Recent, out.Recent = !n.s.FirstStart, !n.s.FirstStart
	n.spawn(func() { configs.Run(ctx) })
	n.spawn(func() { endpoints.Run(ctx) })
	n.spawn(func() { orders.Run(ctx) })
	n.spawn(func() { out.Run(ctx) })
}

func (n *Node) upkeep(ctx context.Context) {
	t := time.NewTicker(upkeep)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.view.Tick()
			n.pool.Sweep()
			n.sticky.Sweep()
			n.sticky.Rebalance()
			n.rollouts.tick(ctx)
		}
	}
}

// silent takes what package silence found of an endpoint.
func (n *Node) silent(address string, lost bool) {
	n.table.SetLost(address, lost)
	n.log.Info().Str("address", address).Bool("lost", lost).Msg("silent endpoint")
}

// coldShare deals a cold endpoint's rate to the VMs: a few of them by rank, so that
// even one request at once from each stays within it, and the others none.
func (n *Node) coldShare(endpoint string, rate float64) float64 {
	now := bootClock()
	vms := n.vms.get(now, func() []string { return n.gossip.Table().Names(now) })
	return coldShare(vms, n.s.VM, endpoint, rate)
}
