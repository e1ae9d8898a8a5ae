package rollouts

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"goldcrestfork/config"
	"goldcrestfork/control/lease"
	"goldcrestfork/policy/rollout"
	"goldcrestfork/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var steps = []float64{5, 25, 100}

func newController(h Holder, v *view, n Counter) *Controller {
	return New(h, v, n, rollout.DefaultSettings(), prometheus.NewRegistry(), zerolog.Nop())
}

// until ticks the controllers in turn until the roll-out is in the state.
func until(t *testing.T, f *fakeStore, state config.RollOutState, controllers ...*Controller) {
	for range 10000 {
		if f.current().State == state {
			return
		}
		for _, c := range controllers {
			c.Tick(t.Context())
		}
		time.Sleep(Interval)
	}
	require.Fail(t, "never "+string(state), "%+v", f.current())
}

// requireEachStepOnce checks that a good roll-out took each step once, in order.
func requireEachStepOnce(t *testing.T, f *fakeStore) {
	require.Len(t, f.history, len(steps))
	for i, r := range f.history[:len(steps)-1] {
		require.Equal(t, i+1, r.Step)
	}
	require.Equal(t, config.RollOutDone, f.history[len(steps)-1].State)
	for i := range f.times[1:] {
		held := f.times[i+1].Sub(f.times[i])
		require.GreaterOrEqual(t, held, rollout.DefaultSettings().MinTime, "time in step %d", i+1)
	}
}

// Two controllers both believe that they hold the lease and judge the same
// revision at the same time; one of them is overtaken while it gathers counts or
// while its write is on its way. Callers must see each share once and for its
// time: a step taken twice would give a version four times the traffic that was
// judged safe.
func TestTwoControllersAtOnce(t *testing.T) {
	for _, overtaken := range []string{"gathering", "writing"} {
		t.Run(overtaken, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeStore(steps...)
				a, b := &view{store: f}, &view{store: f}
				counts := &traffic{f, neverBad, false, nil}
				first := newController(always{}, a, counts)
				second := newController(always{}, b, &traffic{f, neverBad, false, nil})
				if overtaken == "gathering" {
					counts.before = func() { second.Tick(t.Context()) }
				} else {
					a.before = func() { second.Tick(t.Context()) }
				}
				until(t, f, config.RollOutDone, first, second)
				requireEachStepOnce(t, f)
				require.Greater(t, a.writes+b.writes, len(steps), "they did race")
			})
		})
	}
}

// The holder is paused between its check of the lease and its write. Another VM
// takes the lease and the step. When the first wakes, its write must have no
// effect, and its next round must find that the lease is gone.
func TestHolderPausedBeforeItsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFakeStore(steps...), store.New()
		holder := func(name string) *lease.Lease {
			return lease.New(s, "roll-outs", name, lease.DefaultSettings(), prometheus.NewRegistry(), zerolog.Nop())
		}
		la, lb := holder("a"), holder("b")
		a, b := &view{store: f}, &view{store: f}
		first, second := newController(la, a, &traffic{f, neverBad, false, nil}), newController(lb, b, &traffic{f, neverBad, false, nil})
		a.before = func() { // the pause
			for f.current().Step == 0 {
				lb.Tick(t.Context())
				second.Tick(t.Context())
				time.Sleep(Interval)
			}
		}
		for range 2000 {
			la.Tick(t.Context())
			first.Tick(t.Context())
			if a.writes > 0 {
				break
			}
			time.Sleep(Interval)
		}
		require.Equal(t, 1, f.current().Step)
		require.Len(t, f.history, 1)
		require.Equal(t, writtenConflict, first.Dump()[0].Written)
		first.Tick(t.Context())
		require.Empty(t, first.Dump(), "no longer the holder")
	})
}

// The reply to a step is lost and the VM's configuration lags behind it. The
// controller judges the old revision again; the step must be taken once.
func TestLostReplyOfAStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore(steps...)
		v := &view{store: f}
		c := newController(always{}, v, &traffic{f, neverBad, false, nil})
		v.before = func() {
			if v.stale == nil {
				old := f.current()
				v.stale = &old
				f.lose = 1
			}
		}
		for v.writes < 3 {
			c.Tick(t.Context())
			time.Sleep(Interval)
		}
		require.Len(t, f.history, 1, "three writes, one step")
		v.stale, v.before = nil, nil
		until(t, f, config.RollOutDone, c)
		requireEachStepOnce(t, f)
	})
}

// The platform's store goes down for ten minutes, nobody holds the lease, and the
// version turns bad meanwhile. Nothing can be written then. With brakes callers
// without a session are spared it within its 200 requests; either way it is rolled
// back within the time of taking the lease anew once the store is back.
func TestStoreOutage(t *testing.T) {
	for _, braking := range []bool{true, false} {
		t.Run(fmt.Sprint("brakes=", braking), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runOutage(t, braking) })
		})
	}
}

func runOutage(t *testing.T, braking bool) {
	f, s := newFakeStore(steps...), store.New()
	l := lease.New(s, "roll-outs", "a", lease.DefaultSettings(), prometheus.NewRegistry(), zerolog.Nop())
	const turnsBad = time.Minute
	c := newController(l, &view{store: f}, &traffic{f, turnsBad, false, nil})
	var brakes rollout.Brakes
	if braking {
		c.UseBrakes(&brakes, brakes.Set)
	}
	began, r, braked := time.Now(), f.current(), time.Duration(0)
	run := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(Interval) {
			l.Tick(t.Context())
			c.Tick(t.Context())
			if braked == 0 && brakes.On(&r) {
				braked = time.Since(began)
			}
		}
	}
	run(30 * time.Second)
	require.Len(t, c.Dump(), 1)
	s.SetFaults(store.Faults{Down: true})
	f.down = true
	run(10 * time.Minute)
	require.Empty(t, f.history)
	if braking {
		exposed := 5 * (braked - turnsBad).Seconds() // 5% of 100 a second
		require.Positive(t, exposed)
		require.LessOrEqual(t, exposed, 200.0)
		require.True(t, c.Dump()[0].Braked)
		choice, ok := brakes.Choose(&r, "request", func(string) bool { return true })
		require.True(t, ok)
		require.Equal(t, "v1", choice.Version)
	} else {
		require.Empty(t, c.Dump(), "the lease has lapsed")
	}
	s.SetFaults(store.Faults{})
	f.down = false
	run(10 * time.Second)
	require.Equal(t, config.RollOutRolledBack, f.current().State)
}

// Another VM finds the version bad a round before the holder does and has it
// braked. Without requests the holder would never find out; it must follow, or the
// roll-out would neither go on nor back.
func TestHolderFollowsABrake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore(steps...)
		c := newController(always{}, &view{store: f}, &traffic{f, neverBad, false, nil})
		var brakes rollout.Brakes
		c.UseBrakes(&brakes, brakes.Set)
		brakes.Set("r", f.current().Revision)
		c.Tick(t.Context())
		require.Equal(t, config.RollOutRolledBack, f.current().State)
	})
}

// A roll-out stops halfway because its controller's VM is gone. Another VM takes
// it up from the object alone, and the steps go on where they stood.
func TestTakenUpHalfway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore(steps...)
		first := newController(always{}, &view{store: f}, &traffic{f, neverBad, false, nil})
		for f.current().Step == 0 {
			first.Tick(t.Context())
			time.Sleep(Interval)
		}
		second := newController(always{}, &view{store: f}, &traffic{f, neverBad, false, nil})
		until(t, f, config.RollOutDone, second)
		requireEachStepOnce(t, f)
	})
}

// An operator pauses the roll-out while the controller's next step is on its
// way. The pause stays: neither that step nor a later one undoes it, also not
// when the version turns out bad, until the operator resumes.
func TestOperatorWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore(steps...)
		v := &view{store: f}
		c := newController(always{}, v, &traffic{f, 6 * time.Minute, false, nil})
		operator := func(state config.RollOutState) {
			_, err := f.change(func(obj config.Object) error {
				r := obj.(*config.RollOut)
				r.State, r.Reason = state, "operator: looking into it"
				return nil
			}, f.current().Revision)
			require.NoError(t, err)
		}
		v.before = func() { operator(config.RollOutPaused) }
		until(t, f, config.RollOutPaused, c)
		require.Equal(t, writtenConflict, c.Dump()[0].Written)
		for range 1200 {
			c.Tick(t.Context())
			time.Sleep(Interval)
		}
		require.Equal(t, 0, f.current().Step)
		require.Equal(t, "paused by an operator", c.Dump()[0].Verdict.Reason)
		require.True(t, c.Dump()[0].Verdict.Findings[0].Worse, "the dump tells the operator")
		v.before = nil
		operator(config.RollOutRunning)
		until(t, f, config.RollOutDone, c)
	})
}

// What becomes of a roll-out by itself, and when.
func TestVerdictsAreWritten(t *testing.T) {
	for name, c := range map[string]struct {
		badAfter time.Duration
		missing  bool
		withdraw bool
		want     config.RollOutState
		requests float64
	}{
		"bad from the start":              {0, false, false, config.RollOutRolledBack, 200},
		"bad while counts are missing":    {0, true, false, config.RollOutRolledBack, 200},
		"bad after four minutes":          {4 * time.Minute, false, false, config.RollOutRolledBack, 1400},
		"good, but counts stay missing":   {neverBad, true, false, config.RollOutRunning, 0},
		"its new version is taken away":   {neverBad, false, true, config.RollOutRolledBack, 20},
		"good, and all counts are coming": {neverBad, false, false, config.RollOutDone, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeStore(steps...)
				if c.withdraw {
					f.rollOut.To = "v3"
				}
				began := time.Now()
				ctl := newController(always{}, &view{store: f}, &traffic{f, c.badAfter, c.missing, nil})
				if c.want == config.RollOutRunning {
					for range 3600 {
						ctl.Tick(t.Context())
						time.Sleep(Interval)
					}
					require.Equal(t, c.want, f.current().State)
					require.Equal(t, "counts of some VMs are missing", ctl.Dump()[0].Verdict.Reason)
					return
				}
				until(t, f, c.want, ctl)
				if c.requests > 0 {
					exposed := 5 * time.Since(began).Seconds() // 5% of 100 a second
					require.LessOrEqual(t, exposed, c.requests)
					require.Contains(t, f.current().Reason, ReasonPrefix)
				}
			})
		})
	}
}
