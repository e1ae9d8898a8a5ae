package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"goldcrestfork/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	seedA = 71
	seedB = 72
)

func newLease(s *store.Store, holder string) *Lease {
	return New(s, "roll-outs", holder, DefaultSettings(), prometheus.NewRegistry(), zerolog.Nop())
}

func held(l *Lease) bool {
	_, ok := l.Held()
	return ok
}

// The holder is paused for longer than its lease and another VM takes over. When
// the first VM resumes, its own clock shows before any platform call that the lease
// has expired, and its next renewal must fail.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ctx := store.New(), context.Background()
		a, b := newLease(s, "a"), newLease(s, "b")
		a.Tick(ctx)
		require.True(t, held(a))
		for !held(b) {
			require.True(t, held(a) || time.Since(a.heldUntil) >= 0, "a holds the lease until its own deadline")
			b.Tick(ctx)
			time.Sleep(b.settings.Interval)
			require.False(t, held(a) && held(b))
		}
		require.False(t, held(a))
		require.LessOrEqual(t, time.Since(a.heldUntil), 2*b.settings.Interval, "taken over soon after the lease expired")
		a.Tick(ctx)
		require.False(t, held(a))
		require.Equal(t, "b", a.Dump().Holder)
	})
}

// The reply to a renewal is lost after the write took effect. The holder must not
// mistake its own write for another VM's, or the loop would stop for a whole lease.
func TestLostRepliesKeepTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ctx := store.New(), context.Background()
		l := newLease(s, "a")
		l.Tick(ctx)
		for range 20 {
			s.SetFaults(store.Faults{LoseReplies: 1})
			l.Tick(ctx)
			time.Sleep(l.settings.Interval)
			require.True(t, held(l))
			l.Tick(ctx)
		}
		require.True(t, held(l))
	})
}

// The holder stops as planned, or it is no longer among the candidates because the
// list of VMs grew, so that the other VMs no longer send it counts. Another VM must
// get the lease at once, not after the TTL.
func TestRelease(t *testing.T) {
	for _, planned := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := store.New()
			a, b := newLease(s, "a"), newLease(s, "b")
			var ranked atomic.Bool
			ranked.Store(true)
			ctx, stop := t.Context(), func() {}
			if planned {
				ctx, stop = context.WithCancel(ctx)
			}
			go a.Run(ctx, ranked.Load)
			synctest.Wait()
			require.True(t, held(a))
			ranked.Store(planned)
			stop()
			time.Sleep(a.settings.Interval + time.Millisecond)
			b.Tick(t.Context())
			require.True(t, held(b))
			require.False(t, held(a))
		})
	}
}

// Three VMs compete for the lease while the platform is slow, is down or loses
// replies, and VMs are paused for longer than a lease. Two VMs must never hold the
// lease at once, and one must hold it after the faults end.
func TestOneHolderUnderFaults(t *testing.T) {
	for _, seed := range []uint64{seedA, seedB} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, seed) })
		})
	}
}

// pausable ticks a lease as Run does, but can stop without releasing it.
type pausable struct {
	*Lease
	stop context.CancelFunc
	// resume is the test round in which the VM resumes; zero while it runs.
	resume int
}

func (p *pausable) start(ctx context.Context) {
	ctx, p.stop = context.WithCancel(ctx)
	p.resume = 0
	go func() {
		ticker := time.NewTicker(p.settings.Interval)
		defer ticker.Stop()
		for {
			p.Tick(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
}

func runFaults(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	s := store.New()
	var vms []*pausable
	for _, name := range []string{"a", "b", "c"} {
		vms = append(vms, &pausable{Lease: newLease(s, name)})
		vms[len(vms)-1].start(t.Context())
	}
	takeovers, last := 0, ""
	for round := range 4000 { // of 200 ms on average
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		switch rng.IntN(30) {
		case 0:
			s.SetFaults(store.Faults{Down: true})
		case 1:
			s.SetFaults(store.Faults{Delay: time.Duration(rng.IntN(2500)) * time.Millisecond, LoseReplies: rng.IntN(3)})
		case 2:
			s.SetFaults(store.Faults{LoseReplies: rng.IntN(4), RefuseWrites: rng.IntN(2)})
		case 3, 4:
			s.SetFaults(store.Faults{})
		case 5:
			if vm := vms[rng.IntN(len(vms))]; vm.resume == 0 {
				vm.stop()
				vm.resume = round + 20 + rng.IntN(60) // 4 to 16 s
			}
		}
		holders := 0
		for _, vm := range vms {
			if vm.resume > 0 && round >= vm.resume {
				vm.start(t.Context())
			}
			if held(vm.Lease) {
				holders++
				if vm.holder != last {
					takeovers, last = takeovers+1, vm.holder
				}
			}
		}
		require.LessOrEqual(t, holders, 1)
	}
	require.Greater(t, takeovers, 5, "the faults caused takeovers")
	s.SetFaults(store.Faults{})
	for _, vm := range vms {
		vm.stop()
		vm.start(t.Context())
	}
	time.Sleep(30 * time.Second)
	require.True(t, held(vms[0].Lease) || held(vms[1].Lease) || held(vms[2].Lease))
	t.Logf("%d takeovers", takeovers)
}

// Platform calls are limited. Whatever the size of the fleet, a lease must cost one
// write per renewal, and one read per renewal for each further candidate.
func TestPlatformCalls(t *testing.T) {
	for _, candidates := range []int{1, 3, 10} {
		t.Run(fmt.Sprint(candidates), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New()
				ctx, stop := context.WithCancel(t.Context())
				for i := range candidates {
					go newLease(s, fmt.Sprint("vm-", i)).Run(ctx, func() bool { return true })
				}
				const watched = time.Hour
				time.Sleep(watched)
				n, renewals := s.Counts(), int(watched/DefaultSettings().Interval)
				stop()
				synctest.Wait()
				require.InDelta(t, renewals, n.Writes(), float64(candidates+1))
				require.InDelta(t, renewals*(candidates-1), n.Gets, float64(2*candidates))
				t.Logf("%d candidates: %.2f writes/s, %.2f reads/s", candidates,
					float64(n.Writes())/watched.Seconds(), float64(n.Gets)/watched.Seconds())
			})
		})
	}
}
