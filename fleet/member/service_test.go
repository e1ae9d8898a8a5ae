package member

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/address"
	"goldcrestfork/fleet/peer"
	"goldcrestfork/standin/store"
)

// A VM begins a planned stop while one datagram in ten is lost. Callers keep an answer
// for address.AnswerTTL and the VM serves for address.DrainTime, so no VM may return its
// address after address.DrainPropagation; otherwise a caller would connect to a stopped
// VM.
func TestDrainingVMIsNamedNoLongerThanSpread(t *testing.T) {
	f := newFleet(112, 6)
	require.Less(t, f.until(90, f.converged), 90)
	leaver := f.tables[vmID(8)]
	leaver.Drain()
	f.loss = 0.1
	known := f.until(60, func() bool { return f.allDraining(vmID(8)) })
	require.LessOrEqual(t, time.Duration(known)*Tick, address.DrainPropagation)
	require.GreaterOrEqual(t, address.DrainTime, address.DrainPropagation+address.AnswerTTL)
	for i := range 12 {
		require.False(t, f.offers(f.tables[vmID(i)], leaver.self.CallerAddress))
	}
}

// offers reports whether a VM still returns the address to some caller.
func (f *fleet) offers(by *Table, addr string) bool {
	view := address.View{Candidates: Candidates(by.Self(), by.Members(f.now))}
	for i := range 20 {
		for _, named := range address.Choose(address.Query{Caller: fmt.Sprint(i)}, view).Addresses {
			if named == addr {
				return true
			}
		}
	}
	return false
}

// Three VMs run over real links while the platform's list is unavailable and each knows
// one seed. All must become fresh and see each other alive, and see the one that leaves
// as left.
func TestServicesOverRealLinks(t *testing.T) {
	ids := []string{"a", "b", "c"}
	set, err := peer.NewTrialSet(time.Now(), ids...)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	list := store.New()
	list.SetFaults(store.Faults{Down: true})
	var seeds []peer.Target
	var stop context.CancelFunc
	services := map[string]*Service{}
	for i, id := range ids {
		c, err := set.Credentials(id)
		require.NoError(t, err)
		l, err := peer.Listen(peer.Options{Listen: "127.0.0.1:0", Credentials: c})
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		s := NewService(Options{
			Self: Self{ID: id, Address: l.Addr(), Incarnation: uint64(i) + 1, Seeds: seeds},
			Link: l, Store: list, Registerer: prometheus.NewRegistry(),
		})
		seeds = []peer.Target{{Address: l.Addr()}}
		services[id] = s
		run := ctx
		if id == "c" {
			run, stop = context.WithCancel(ctx)
		}
		running.Go(func() { s.Run(run) })
	}
	eventually(ctx, t, func() bool {
		for _, s := range services {
			now := time.Now()
			if !s.Fresh(now) || s.Dump(now).States["alive"] != 2 {
				return false
			}
		}
		return true
	})
	stop()
	services["c"].Leave()
	eventually(ctx, t, func() bool { return services["a"].Dump(time.Now()).States["left"] == 1 })
}

// eventually polls done until it holds, and fails the test when the context ends first.
func eventually(ctx context.Context, t *testing.T, done func() bool) {
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for !done() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			require.FailNow(t, "condition not met in time")
		}
	}
}
