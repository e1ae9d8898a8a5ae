package view

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/durable"
	"goldcrestfork/gateway/catalog"
	"goldcrestfork/policy/watching"
)

// fixed is a SourcePolicy with fixed sources.
type fixed struct {
	sources []string
	outage  watching.Outage
	clock   Clock
}

func newFixed(clock Clock, sources ...string) *fixed { return &fixed{clock: clock, sources: sources} }

func (g *fixed) Sources() []string         { return g.sources }
func (g *fixed) Read(string)               {}
func (g *fixed) Failed(string, error)      {}
func (g *fixed) MayAsk(time.Duration) bool { return true }
func (g *fixed) Claim() bool               { return g.outage.Claim(g.clock()) }
func (g *fixed) Lost()                     { g.outage.Lost(g.clock(), 0) }
func (g *fixed) Regained()                 { g.outage.Regained() }
func (g *fixed) Turn() (time.Duration, bool) {
	t := g.outage.NextTurn(g.clock(), func() int { return 0 })
	return t.Wait, t.MayCall
}

// ranked is the SourcePolicy of one VM of a fleet in which all VMs know each other.
type ranked struct {
	fixed
	peers *watching.Peers
	place watching.Place
	rank  int
}

func (g *ranked) Sources() []string {
	return g.peers.Sources(g.clock(), g.place)
}
func (g *ranked) Read(peer string)               { g.peers.Read(peer) }
func (g *ranked) Failed(peer string, err error)  { g.peers.Failed(g.clock(), peer, err == ErrStale) }
func (g *ranked) MayAsk(left time.Duration) bool { return watching.MayCall(g.rank, left) }
func (g *ranked) Claim() bool                    { return g.outage.Claim(g.clock()) }
func (g *ranked) Lost()                          { g.outage.Lost(g.clock(), g.rank) }
func (g *ranked) Turn() (time.Duration, bool) {
	t := g.outage.NextTurn(g.clock(), func() int { return g.rank })
	return t.Wait, t.MayCall
}

// fleet holds VMs that follow four kinds of one platform, in virtual time.
type fleet struct {
	clock    Clock
	platform *fakeStore
	calls    atomic.Int64
	watches  atomic.Int64

	mu      sync.Mutex        // guards the fields below
	refused func(vm int) bool // whether the platform refuses the VM
	history int64             // oldest revision of which the platform has the history
	silent  bool              // calls get no answer
	hang    time.Duration     // watches due before this time get no answer
	vms     []*fleetVM
}

type fleetVM struct {
	fleet *fleet
	rank  int
	late  time.Duration // delay of its start
	feeds map[string]*Feed
	view  *View
}

var fleetKinds = []string{"configuration", "endpoints", "roll-outs", "data-centres-out"}

// fleetBound is how long after a change the change must be in force. The waits and the limit of
// the feeds are the same shares of it as in package node.
const fleetBound = 2 * time.Second

func startFleet(t *testing.T, n int) *fleet {
	f := &fleet{clock: sinceStart(), platform: &fakeStore{version: 5, wake: make(chan struct{})}, refused: func(int) bool { return false }}
	var names []watching.VM
	for i := range n {
		names = append(names, vmName(i))
		vm := &fleetVM{fleet: f, rank: i, feeds: make(map[string]*Feed), view: New(Settings{Clock: f.clock, Log: zerolog.Nop()})}
		for _, kind := range fleetKinds {
			vm.feeds[kind] = NewFeed(f.clock, 3*fleetBound/4)
		}
		f.vms = append(f.vms, vm)
	}
	for _, vm := range f.vms {
		vm.run(t, names, time.Second)
	}
	time.Sleep(5 * time.Second)
	synctest.Wait()
	f.requireVersion(t, 5)
	return f
}

// vmName returns the i-th VM of the ranking, in one of three data centres.
func vmName(i int) watching.VM {
	return watching.VM{Address: fmt.Sprint(i), DataCentre: fmt.Sprint("dc", i*i%7%3)}
}

func (f *fleet) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

// set changes the fleet or its platform under the mutex.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// peer returns a VM by its address; nil for none.
func (f *fleet) peer(name string) *fleetVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, vm := range f.vms {
		if fmt.Sprint(i) == name {
			return vm
		}
	}
	return nil
}

// run follows the kinds until the test ends.
func (vm *fleetVM) run(t *testing.T, names []watching.VM, listTimeout time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	g := &ranked{fixed: fixed{clock: vm.fleet.clock}, peers: watching.NewPeers(), place: watching.PlaceOf(names, vm.rank), rank: vm.rank}
	for _, kind := range fleetKinds {
		f := &Follower[*catalog.Config]{
			Kind: kind, Source: vm, Wait: fleetBound / 2, Clock: vm.fleet.clock, Apply: func(Update[*catalog.Config]) {},
			Log: zerolog.Nop(), Feed: vm.feeds[kind], Reader: vm, Policy: g, PeerListTimeout: listTimeout,
		}
		if listTimeout == 0 {
			f.StaleList, f.PauseAfterList = kind == "roll-outs" || kind == "data-centres-out", 300*time.Millisecond
		}
		if kind == "configuration" {
			f.Apply = vm.view.ApplyConfig
		}
		running.Go(func() {
			if vm.late > 0 {
				sleep(ctx, vm.late)
			}
			f.Run(ctx)
		})
	}
}

// Read implements Reader: it reads another VM's feed with a delay of 1 ms.
func (vm *fleetVM) Read(ctx context.Context, peer, kind string, after int64, silence time.Duration) (Step, error) {
	time.Sleep(time.Millisecond)
	other := vm.fleet.peer(peer)
	if other == nil {
		return Step{}, fmt.Errorf("no VM %s", peer)
	}
	return other.feeds[kind].Wait(ctx, after, silence)
}

// call counts a call of the VM to the platform, which takes 4 ms.
func (vm *fleetVM) call() error {
	vm.fleet.calls.Add(1)
	time.Sleep(4 * time.Millisecond)
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	if vm.fleet.refused(vm.rank) {
		return durable.ErrUnavailable
	}
	return nil
}

func (vm *fleetVM) List(ctx context.Context) (Listing[*catalog.Config], error) {
	if err := vm.call(); err != nil {
		return Listing[*catalog.Config]{}, err
	}
	return vm.fleet.platform.List(ctx)
}

func (vm *fleetVM) Recent(ctx context.Context) (Listing[*catalog.Config], error) {
	return vm.List(ctx)
}

func (vm *fleetVM) Watch(ctx context.Context, after int64, wait time.Duration) (Changes[*catalog.Config], error) {
	vm.fleet.watches.Add(1)
	if err := vm.call(); err != nil {
		return Changes[*catalog.Config]{}, err
	}
	if vm.fleet.isSilent() {
		<-ctx.Done()
		return Changes[*catalog.Config]{}, durable.ErrUnavailable
	}
	vm.fleet.mu.Lock()
	gone, hang := after < vm.fleet.history, vm.fleet.hang
	vm.fleet.mu.Unlock()
	if gone {
		return Changes[*catalog.Config]{}, durable.ErrGone
	}
	c, err := vm.fleet.platform.Watch(ctx, after, wait)
	vm.fleet.mu.Lock()
	hangs := vm.fleet.clock()-wait < hang && wait > probeWait
	vm.fleet.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return Changes[*catalog.Config]{}, durable.ErrUnavailable
	}
	return c, err
}

func (vm *fleetVM) Decode(raw []byte) Item[*catalog.Config] { return vm.fleet.platform.Decode(raw) }

// requireVersion requires that the VMs have a version and that its age is within the bound.
func (f *fleet) requireVersion(t *testing.T, version int64, except ...int) {
	for i, vm := range f.vms {
		if slices.Contains(except, i) {
			continue
		}
		require.NotNil(t, vm.view.Config(), "VM %d", i)
		require.Equal(t, version, vm.view.Config().Version, "VM %d", i)
		require.Less(t, vm.view.ConfigAge(), fleetBound, "VM %d", i)
	}
}

// advance lets time pass and returns the number of calls to the platform in it.
func (f *fleet) advance(d time.Duration) int64 {
	before := f.calls.Load()
	time.Sleep(d)
	synctest.Wait()
	return f.calls.Load() - before
}

// Guards against 60 VMs that each call an unavailable store twice a second for each kind, which
// made 3,800 calls in eight seconds; each call is billed, refused ones too. The store's return,
// with a change, must still be known on all VMs within a second.
func TestOutageCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 60)
		calm := f.advance(8 * time.Second)
		require.LessOrEqual(t, calm, int64(80), "two VMs watch four kinds")
		f.set(func() { f.refused = func(int) bool { return true } })
		require.LessOrEqual(t, f.advance(8*time.Second), int64(500))
		f.set(func() { f.refused = func(int) bool { return false } })
		f.platform.change()
		f.advance(time.Second)
		f.requireVersion(t, 6)
	})
}

// Guards against all VMs calling the store when it refuses, by errors, the two that watch it and
// serves the others. Two backup watchers call it instead, the others read from these, and a
// change is in force on them within the bound.
func TestRefusedWatchersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 60)
		f.set(func() { f.refused = func(vm int) bool { return vm < 2 } })
		f.advance(500 * time.Millisecond)
		f.platform.change()
		f.advance(fleetBound)
		f.requireVersion(t, 6, 0, 1)
		// Each second: two backup watchers with one watch of each kind, two watchers with an
		// attempt each half second, and up to four attempts of other VMs by rank.
		require.LessOrEqual(t, f.advance(6*time.Second), int64(6*(2*4+2*2+4)))
		f.requireVersion(t, 6, 0, 1)
	})
}

// Guards against a missing history that counts as a failed call. The store returns from an
// outage without its history: treating its answer as a failure spaced the attempts of the kinds
// 0.8 s apart, and a revoked key was accepted for another 4.1 s.
func TestHistoryGoneAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 7)
		f.set(func() { f.refused = func(int) bool { return true } })
		f.advance(2 * time.Second)
		f.set(func() { f.refused = func(int) bool { return false } })
		f.platform.change()
		f.set(func() { f.history = 6 })
		f.advance(1200 * time.Millisecond)
		f.requireVersion(t, 6)
		for i, vm := range f.vms {
			for kind, feed := range vm.feeds {
				require.Positive(t, feed.remaining(), "VM %d, %s", i, kind)
			}
		}
	})
}

// Guards against a restarted VM that waits for a store that refuses it: it serves nobody until
// it knows the kinds, and must read them from other VMs.
func TestRestartedVMRefusedByPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 12)
		var names []watching.VM
		for i := range f.vms {
			names = append(names, vmName(i))
		}
		f.set(func() { f.refused = func(vm int) bool { return vm == 7 } })
		vm := &fleetVM{fleet: f, rank: 7, feeds: make(map[string]*Feed), view: New(Settings{Clock: f.clock, Log: zerolog.Nop()})}
		for _, kind := range fleetKinds {
			vm.feeds[kind] = NewFeed(f.clock, 3*fleetBound/4)
		}
		f.set(func() { f.vms[7] = vm })
		vm.run(t, names, 0)
		f.advance(time.Second)
		f.requireVersion(t, 5)
	})
}
