package view

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/policy/watching"
)

// Guards against a call for each kind of each VM when the store stops answering: one kind calls
// for its VM until the failure is known.
func TestSilenceCostsOneCallAVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 60)
		f.set(func() { f.silent = true })
		// The state of all VMs becomes too old at about the same time.
		f.advance(1400 * time.Millisecond)
		require.LessOrEqual(t, f.advance(600*time.Millisecond), int64(70))
		f.set(func() { f.silent = false })
		f.platform.change()
		f.advance(fleetBound)
		f.requireVersion(t, 6)
	})
}

// Guards against all VMs calling the platform when watches hang and the history is then
// missing, while other calls are answered. No state may get older than the bound.
func TestHangingWatchesCostFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 195)
		f.set(func() { f.hang = f.clock() + 100*time.Millisecond })
		calls := int64(0)
		for range 20 {
			calls += f.advance(100 * time.Millisecond)
			f.requireVersion(t, 5)
		}
		f.set(func() { f.history = 6 })
		f.platform.change()
		calls += f.advance(2 * time.Second)
		f.requireVersion(t, 6)
		require.LessOrEqual(t, calls, int64(150))
	})
}

// Guards against expensive lists when all VMs restart at once. Kinds that may be some seconds
// old are read from the cheap list, which confirms nothing for readers.
func TestRestartOfAllReadsOldLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := sinceStart()
		time.Sleep(time.Minute)
		s := &fakeSource{revision: 10, err: nil}
		f := &Follower[*catalog.Config]{
			Kind: "roll-outs", Source: s, Wait: time.Second, Clock: clock, Apply: func(Update[*catalog.Config]) {}, Log: zerolog.Nop(),
			Feed: NewFeed(clock, time.Hour), Policy: newFixed(clock), StaleList: true, PauseAfterList: 300 * time.Millisecond,
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		s.set(func() { require.Equal(t, [2]int{0, 1}, [2]int{s.lists, s.old}) })
		_, err := f.Feed.Wait(ctx, 0, time.Hour)
		require.ErrorIs(t, err, ErrStale)
		time.Sleep(2 * time.Second)
		step, err := f.Feed.Wait(ctx, 0, time.Hour)
		require.NoError(t, err)
		require.True(t, step.All)
		require.Less(t, step.Age, 2*time.Second)
		s.set(func() { require.Equal(t, [2]int{0, 1}, [2]int{s.lists, s.old}) })
		cancel()
		<-done
	})
}

// Guards against a restart of all VMs after which the unconfirmed lists send each VM to the
// platform for the other kinds as well.
func TestRestartOfAllCostsFewWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 60
		f := &fleet{clock: sinceStart(), platform: &fakeStore{version: 5, wake: make(chan struct{})}, refused: func(int) bool { return false }}
		time.Sleep(time.Minute)
		var names []watching.VM
		for i := range n {
			names = append(names, vmName(i))
			vm := &fleetVM{
				fleet: f, rank: i, late: time.Duration(i*37%n) * 4 * time.Millisecond,
				feeds: make(map[string]*Feed), view: New(Settings{Clock: f.clock, Log: zerolog.Nop()}),
			}
			for _, kind := range fleetKinds {
				vm.feeds[kind] = NewFeed(f.clock, 3*fleetBound/4)
			}
			f.vms = append(f.vms, vm)
		}
		for _, vm := range f.vms {
			vm.run(t, names, 0)
		}
		f.advance(5 * time.Second)
		f.requireVersion(t, 5)
		require.LessOrEqual(t, f.watches.Load(), int64(100), "two VMs watch four kinds, each a second")
	})
}
