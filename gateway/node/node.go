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
	"goldcrestfork/fleet/quota"
	"goldcrestfork/fleet/sticky"
	"goldcrestfork/fleet/tally"
	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/forward"
	"goldcrestfork/gateway/upstream"
	"goldcrestfork/gateway/view"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/ratelimit"
	"goldcrestfork/policy/room"
	"goldcrestfork/router/listen"
)

// Platform is the part of the platform's store that a VM uses.
type Platform interface {
	// Configs, Endpoints, RollOuts, DataCentresOut and VMs return the sources of these kinds.
	Configs() view.Source[*catalog.Config]
	Endpoints() view.Source[catalog.Endpoint]
	RollOuts() view.Source[catalog.RollOut]
	DataCentresOut() view.Source[struct{}]
	VMs() view.Source[gossip.Entry]
	// Announce writes this VM's entry, by which other VMs find it, in place of the one at a revision, 0
	// for none, and returns its new revision. Withdraw deletes the entry at a revision. Both return
	// durable.ErrConflict if the entry has changed, so that a call that is executed late changes
	// nothing that a later incarnation of the VM wrote.
	Announce(ctx context.Context, e gossip.Entry, revision int64) (int64, error)
	Withdraw(ctx context.Context, name string, revision int64) error
	// RecordRollOut writes the state s of a roll-out if its order is unchanged since r;
	// otherwise it returns durable.ErrConflict.
	RecordRollOut(ctx context.Context, r catalog.RollOut, s catalog.RollOutState) error
	// CrashEvidence returns the source of what VMs know of requests that crash endpoints.
	// WriteCrashEvidence writes the entry by a name, and DropCrashEvidence deletes one, under the
	// conditions of Announce and Withdraw.
	CrashEvidence() view.Source[catalog.CrashEvidence]
	WriteCrashEvidence(ctx context.Context, name string, revision int64, e catalog.CrashEvidence) (int64, error)
	DropCrashEvidence(ctx context.Context, name string, revision int64) error
}

// Edge holds the parts of the interface to callers and to the platform's checks that depend on
// the deployment.
type Edge struct {
	Names forward.HeaderNames
	// ReadyPath and DirectoryPath are the URL paths of the readiness check and of the directory
	// of VMs.
	ReadyPath, DirectoryPath string
	// DataCentreOf returns the data centre named by a request to the directory.
	DataCentreOf func(r *http.Request) string
	// WriteAddresses writes the answer to a request to the directory, valid for ttl.
	WriteAddresses func(w http.ResponseWriter, addresses []string, ttl time.Duration)
}

const (
	// waitShare is the share of a kind's bound that one watch of it waits, and feedLimitShare
	// the share without contact with the platform after which readers leave a VM's feed. A
	// change just after the last contact is then in force within the bound: a quarter of the
	// bound is left for a call to the platform, which may answer 70 times as slowly as its usual
	// 4 ms.
	waitShare      = 0.5
	feedLimitShare = 0.75
	// keyWaitShare is the most that a watch of the configuration waits, as a share of the
	// revocation bound. When the platform fails, keys are accepted until the last confirmed
	// state is too old, so frequent watches keep them accepted for longer.
	keyWaitShare = 0.2
	// revocationMargin is subtracted from the revocation bound: a request is checked when its
	// head is read, at most some ms after it was sent.
	revocationMargin = 300 * time.Millisecond
	// denyMaxAge is the age of the configuration up to which a request with an unknown path or
	// key is denied. It covers a watch, the read of it by another VM, and both answers.
	denyMaxAge = 2500 * time.Millisecond
	// readyMaxAge is the age of the configuration up to which the VM reports ready, so that it
	// leaves the directory before it must refuse keys.
	readyMaxAge = 3200 * time.Millisecond
	// holdMargin is subtracted from the drain bound for entries that are held after an outage.
	holdMargin = 300 * time.Millisecond
	// minMissedReports is the number of an endpoint's report intervals that an outage must last for
	// its entry to lapse: the platform removes it after three without a report, and the last one
	// may have come an interval before.
	minMissedReports = 2
	// memoryShare is the share of the memory limit from which the garbage collector runs more
	// often.
	memoryShare = 0.7
	// upkeepInterval is the time between checks of held entries, idle connections, sessions and
	// roll-outs.
	upkeepInterval = 250 * time.Millisecond
)

// Node is one VM of the gateway.
type Node struct {
	s              Settings // as of the start
	currentBounds  *atomic.Pointer[Bounds]
	p              Platform
	edge           Edge
	log            zerolog.Logger
	view           *view.View
	table          *placement.Table
	pool           *upstream.Pool
	peerPool       *upstream.Pool // connections to other VMs
	handler        *forward.Handler
	callers        *listen.Connections
	guard          *listen.Guard
	gossip         *gossip.Service
	tally          *tally.Service
	sums           map[uint8]sumTopic // by topic
	slowEndpoints  *prometheus.GaugeVec
	rollouts       *rollouts
	sticky         *sticky.Service
	quota          *quota.Service
	buckets        *ratelimit.Buckets
	budgets        *budgets
	demand         *demand
	sourcePolicy   *sourcePolicy
	suspects       *suspects
	paths          *paths
	feeds          map[string]*view.Feed
	feedTransport  *view.FeedTransport
	traffic        *datagram.Traffic
	peersKnown     chan struct{} // closed when the VM knows the VMs that it may read from
	peersKnownOnce sync.Once
	servers        []*http.Server
	front          *http.Server
	stopping       atomic.Bool
	rollOutsListed atomic.Bool   // whether the roll-outs were listed
	outListed      atomic.Bool   // whether the data centres that are out were listed
	membersRead    atomic.Bool   // whether the entries of the VMs were read
	crashesRead    atomic.Bool   // whether the crash evidence was read
	startedAt      time.Duration // bootClock time of New
	entries        entries

	// Values derived from the fleet's members, recomputed when they are older than fleetAge.
	localKeepers, remoteKeepers cached[[]tally.Keeper]
	vms                         cached[[]string]
	ring                        cached[*sticky.Ring]
	limitRings                  cached[map[string]*sticky.Ring]

	lastReported atomic.Uint32 // the endpoint whose request limit was reported last

	registry *prometheus.Registry
	wg       sync.WaitGroup
}

// New connects the parts of a VM and opens its sockets for datagrams. Run starts serving.
func New(s Settings, p Platform, edge Edge, registry *prometheus.Registry, log zerolog.Logger) (*Node, error) {
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * (1 << 20)))
	n := &Node{s: s, startedAt: bootClock(), currentBounds: new(atomic.Pointer[Bounds]), peersKnown: make(chan struct{}), p: p, edge: edge, log: log, registry: registry, table: placement.New(s.DataCentre), buckets: ratelimit.NewBuckets(), sums: make(map[uint8]sumTopic)}
	if s.hasContract(contractPressure) {
		n.table.SetAllManaged()
	}
	n.slowEndpoints = newSlowEndpoints(registry)
	n.addSums(topicPace, n.collectPaces, n.applyPaces)
	n.paths = newPaths(n)
	n.pool = upstream.NewPool(registry, "goldcrest_upstream", n.paths)
	n.pool.LimitIdle(room.MaxIdle(s.MemoryMB, s.Descriptors))
	n.pool.LimitLongHeads(room.MaxLongHeads(s.MemoryMB))
	n.peerPool = upstream.NewPool(registry, "goldcrest_detour", nil)
	n.currentBounds.Store(&s.Bounds)
	n.rollouts = newRollouts(n)
	n.sourcePolicy = newSourcePolicy(n)
	n.suspects = newSuspects(n.pool.CanConnect, n.paths, func() { n.gossip.TriggerRound() }, log)
	n.suspects.reach = func() (heard, known int) {
		table := n.gossip.Table()
		return len(table.AliveNames(bootClock())), len(table.KnownNames())
	}
	n.feeds = make(map[string]*view.Feed)
	for _, kind := range []string{kindConfig, kindEndpoints, kindRollOuts, kindDataCentresOut, kindCrashes} {
		n.feeds[kind] = view.NewFeed(bootClock, share(n.bound(kind), feedLimitShare))
	}
	n.feedTransport = view.NewFeedTransport(n.feeds, registry)
	n.traffic = datagram.NewTraffic(registry)
	var err error
	n.gossip, err = gossip.Listen(gossip.Config{
		Self: n.self(), Clock: bootClock, Ready: n.Ready, PathsLost: n.paths.tracker.Lost, Payload: n.payload, HandlePayload: n.receivePayload,
		Log: log, Registerer: registry, Traffic: n.traffic,
	})
	if err != nil {
		return nil, err
	}
	n.sticky = n.newSticky()
	n.quota = n.newQuota()
	n.tally, err = n.newTally()
	if err != nil {
		return nil, err
	}
	n.view = view.New(view.Settings{
		Table: n.table, Clock: bootClock, Log: log, HoldTime: func() time.Duration { return n.bounds().DrainTimeout - holdMargin },
		LapseTime: func() time.Duration { return minMissedReports * n.bounds().EndpointReport },
		Regions:   s.Regions, ColdShare: n.coldShare, OnRemove: n.pool.Forget,
	})
	n.budgets = newBudgets(n)
	n.demand = newDemand(n)
	var memory *room.Bytes
	memory, n.callers = n.newRoom()
	n.handler = forward.New(forward.Config{
		Self: s.VM, PeerPool: n.peerPool, Detours: n.paths, VMs: func() int { return max(len(n.sharingVMs()), 1) },
		Names: edge.Names, State: n.view, Table: n.table, Pool: n.pool, Versions: n.rollouts,
		Budget: n.budgets, Poison: n.suspects, Load: n.tally, Limits: n.quota, Admission: n.demand.gate, Metrics: forward.NewMetrics(registry), Memory: memory, Connections: n.callers, Log: log, Clock: bootClock,
		MaxKeyConfigAge: func() time.Duration { return n.bounds().Revocation - revocationMargin }, MaxDenyConfigAge: denyMaxAge,
	})
	return n, nil
}

// bounds returns the bounds in force.
func (n *Node) bounds() Bounds { return *n.currentBounds.Load() }

// MetricsPort returns the port of the metrics, which comes from the command line.
func (n *Node) MetricsPort() int { return n.s.MetricsPort }

// Reload applies the bounds of new settings. Names and addresses keep their values until the
// next start, since callers and other VMs know this VM by them.
func (n *Node) Reload(s Settings) {
	old := n.bounds()
	changed := old != s.Bounds
	n.currentBounds.Store(&s.Bounds)
	for kind, feed := range n.feeds {
		feed.SetLimit(share(n.bound(kind), feedLimitShare))
	}
	fixed := s
	fixed.Bounds = n.s.Bounds
	n.log.Info().Bool("bounds_changed", changed).Bool("needs_restart", !reflect.DeepEqual(fixed, n.s)).
		Interface("bounds", s.Bounds).Msg("settings read again")
}

// self returns this VM's entry for other VMs.
func (n *Node) self() gossip.Member {
	return gossip.Member{
		Name: n.s.VM, Peer: net.JoinHostPort(n.s.IP, strconv.Itoa(n.s.PortFirst)), Front: n.s.Front, DataCentre: n.s.DataCentre, LinkMbps: n.s.LinkMbps,
	}
}

// Ready reports whether callers may be sent to this VM.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.rollOutsListed.Load() && n.outListed.Load() && n.view.Ready(readyMaxAge)
}

// Run serves until ctx ends and then shuts down in order. It returns an error if a listener
// can't be opened.
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
	n.spawn(func() { n.pool.Watch(work, n.noteSilent) })
	n.spawn(func() { n.peerPool.Watch(work, func(string, bool) {}) })
	n.spawn(func() { n.paths.run(work) })
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

// Kinds of objects that VMs read from each other.
const (
	kindConfig         = "configuration"
	kindEndpoints      = "endpoints"
	kindRollOuts       = "roll-outs"
	kindDataCentresOut = "data-centres-out"
	kindCrashes        = "crashes"
)

// bound returns how long after a change of a kind the change must be in force.
func (n *Node) bound(kind string) time.Duration {
	switch kind {
	case kindConfig:
		return n.bounds().ConfigInForce
	case kindEndpoints:
		return n.bounds().DrainTimeout
	case kindRollOuts:
		return n.bounds().RollBack
	case kindCrashes:
		return n.bounds().ContactWindow
	}
	return n.bounds().Evacuation
}

// watchWait returns how long one watch of a kind waits.
func (n *Node) watchWait(kind string) time.Duration {
	wait := share(n.bound(kind), waitShare)
	if kind == kindConfig {
		wait = min(wait, share(n.bounds().Revocation, keyWaitShare))
	}
	return wait
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// follower returns a follower of a kind that reads from other VMs if the policy names some.
func follower[T any](n *Node, kind string, source view.Source[T], apply func(view.Update[T])) *view.Follower[T] {
	listTimeout := time.Duration(0)
	if n.s.FirstStart {
		listTimeout = firstListTimeout
	}
	return &view.Follower[T]{
		Kind: kind, Source: source, Wait: n.watchWait(kind), Clock: bootClock, Apply: apply, Log: n.log,
		Feed: n.feeds[kind], Reader: n.feedTransport, Policy: n.sourcePolicy, PeersKnown: n.peersKnown, PeerListTimeout: listTimeout, PauseAfterList: pauseAfterList,
	}
}

func (n *Node) follow(ctx context.Context) {
	configs := follower(n, kindConfig, n.p.Configs(), func(u view.Update[*catalog.Config]) {
		n.view.ApplyConfig(u)
		n.applyMemory()
	})
	endpoints := follower(n, kindEndpoints, n.p.Endpoints(), n.view.ApplyEndpoints)
	orders := follower(n, kindRollOuts, n.p.RollOuts(), func(u view.Update[catalog.RollOut]) {
		n.view.ApplyRollOuts(u)
		n.rollouts.update()
		n.rollOutsListed.Store(true)
	})
	out := follower(n, kindDataCentresOut, n.p.DataCentresOut(), func(u view.Update[struct{}]) {
		n.view.ApplyDataCentresOut(u)
		n.outListed.Store(true)
	})
	// Without old lists the cost at the restart of a whole fleet grows with its size. A VM that has
	// just started may learn the last roll-outs and data centres a moment later, but it must
	// know the current keys and endpoints from its first request on.
	crashes := follower(n, kindCrashes, n.p.CrashEvidence(), n.applyCrashEvidence)
	orders.StaleList, out.StaleList, crashes.StaleList = !n.s.FirstStart, !n.s.FirstStart, !n.s.FirstStart
	n.spawn(func() { configs.Run(ctx) })
	n.spawn(func() { endpoints.Run(ctx) })
	n.spawn(func() { orders.Run(ctx) })
	n.spawn(func() { out.Run(ctx) })
	n.spawn(func() { crashes.Run(ctx) })
}

func (n *Node) upkeep(ctx context.Context) {
	t := time.NewTicker(upkeepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.rollouts.due:
			n.rollouts.tick(ctx)
		case <-t.C:
			n.view.Tick()
			n.pool.Sweep()
			n.peerPool.Sweep()
			n.sticky.Sweep()
			n.sticky.Rebalance()
			n.quota.Sweep()
			n.buckets.Sweep(time.Now())
			n.rollouts.tick(ctx)
			n.storeCrashEvidence(ctx)
			n.budgets.report()
			n.reportSlowEndpoints()
			n.demand.tick()
		}
	}
}

// noteSilent applies what package silence found of an endpoint: whether its address is lost.
func (n *Node) noteSilent(address string, lost bool) {
	n.table.SetLost(address, lost)
	n.log.Info().Str("address", address).Bool("lost", lost).Msg("silent endpoint")
}
