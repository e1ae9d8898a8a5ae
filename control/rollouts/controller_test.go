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

func newController(h Holder, v *vmConfiguration, n CountsSource) *Controller {
	return New(h, v, n, rollout.DefaultSettings(), prometheus.NewRegistry(), zerolog.Nop())
}

// tickUntil ticks the controllers in turn until the roll-out is in the state.
func tickUntil(t *testing.T, f *fakeStore, state config.RollOutState, controllers ...*Controller) {
	for range 10000 {
		if f.current().State == state {
			return
		}
		for _, c := range controllers {
			c.Tick(t.Context())
		}
		time.Sleep(Interval)
	}
	require.Fail(t, "state not reached: "+string(state), "%+v", f.current())
}

// requireEachStepOnce checks that a good roll-out took each step once, in order.
func requireEachStepOnce(t *testing.T, f *fakeStore) {
	require.Len(t, f.history, len(steps))
	for i, r := range f.history[:len(steps)-1] {
		require.Equal(t, i+1, r.Step)
	}
	require.Equal(t, config.RollOutDone, f.history[len(steps)-1].State)
	for i := range f.times[1:] {
		stepTime := f.times[i+1].Sub(f.times[i])
		require.GreaterOrEqual(t, stepTime, rollout.DefaultSettings().MinTime, "time in step %d", i+1)
	}
}

// Two controllers both believe that they hold the lease and evaluate the same revision;
// one overtakes the other while that reads counts or writes. Each step must take effect
// once and last for its minimum time: a step taken twice would give a version four
// times the traffic that was found safe.
func TestTwoControllersAtOnce(t *testing.T) {
	for _, overtakenWhile := range []string{"gathering", "writing"} {
		t.Run(overtakenWhile, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeStore(steps...)
				a, b := &vmConfiguration{store: f}, &vmConfiguration{store: f}
				counts := &trafficCounter{f, neverBad, false, nil}
				first := newController(alwaysHeld{}, a, counts)
				second := newController(alwaysHeld{}, b, &trafficCounter{f, neverBad, false, nil})
				if overtakenWhile == "gathering" {
					counts.beforeCounts = func() { second.Tick(t.Context()) }
				} else {
					a.beforeWrite = func() { second.Tick(t.Context()) }
				}
				tickUntil(t, f, config.RollOutDone, first, second)
				requireEachStepOnce(t, f)
				require.Greater(t, a.writes+b.writes, len(steps), "the controllers' writes raced")
			})
		})
	}
}

// The holder is paused between its check of the lease and its write, while another VM
// takes over the lease and takes the step. When the first VM resumes, its write must
// have no effect, and its next round must detect that it lost the lease.
func TestHolderPausedBeforeItsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFakeStore(steps...), store.New()
		holder := func(name string) *lease.Lease {
			return lease.New(s, "roll-outs", name, lease.DefaultSettings(), prometheus.NewRegistry(), zerolog.Nop())
		}
		la, lb := holder("a"), holder("b")
		a, b := &vmConfiguration{store: f}, &vmConfiguration{store: f}
		first, second := newController(la, a, &trafficCounter{f, neverBad, false, nil}), newController(lb, b, &trafficCounter{f, neverBad, false, nil})
		a.beforeWrite = func() { // the pause
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

// The reply to a step is lost and the VM's snapshot lags, so that the controller
// evaluates the old revision again. The step must take effect only once.
func TestLostReplyOfAStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore(steps...)
		v := &vmConfiguration{store: f}
		c := newController(alwaysHeld{}, v, &trafficCounter{f, neverBad, false, nil})
		v.beforeWrite = func() {
			if v.staleRollOut == nil {
				old := f.current()
				v.staleRollOut = &old
				f.loseReplies = 1
			}
		}
		for v.writes < 3 {
			c.Tick(t.Context())
			time.Sleep(Interval)
		}
		require.Len(t, f.history, 1, "three writes, one step")
		v.staleRollOut, v.beforeWrite = nil, nil
		tickUntil(t, f, config.RollOutDone, c)
		requireEachStepOnce(t, f)
	})
}

// The new version turns bad during a store outage of ten minutes, in which no VM can
// hold the lease or write. With brakes, requests without a session must avoid the version
// after at most 200 of its requests. With or without brakes, it must be rolled back as
// soon as the lease can be taken again.
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
	c := newController(l, &vmConfiguration{store: f}, &trafficCounter{f, turnsBad, false, nil})
	var brakes rollout.Brakes
	if braking {
		c.UseBrakes(&brakes, brakes.Set)
	}
	began, r, braked := time.Now(), f.current(), time.Duration(0)
	run := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(Interval) {
			l.Tick(t.Context())
			c.Tick(t.Context())
			if braked == 0 && brakes.IsBraked(&r) {
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
		require.Empty(t, c.Dump(), "the lease has expired")
	}
	s.SetFaults(store.Faults{})
	f.down = false
	run(10 * time.Second)
	require.Equal(t, config.RollOutRolledBack, f.current().State)
}

// Another VM brakes a bad version one round before the holder detects the failure.
// Without further requests the holder can't detect it, so it must roll the braked
// version back; otherwise the roll-out would neither advance nor end.
func TestHolderRollsBackBrakedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore(steps...)
		c := newController(alwaysHeld{}, &vmConfiguration{store: f}, &trafficCounter{f, neverBad, false, nil})
		var brakes rollout.Brakes
		c.UseBrakes(&brakes, brakes.Set)
		brakes.Set("r", f.current().Revision)
		c.Tick(t.Context())
		require.Equal(t, config.RollOutRolledBack, f.current().State)
	})
}

// The VM of the controller fails in the middle of a roll-out. Another VM must continue
// from the current step with the roll-out object alone.
func TestTakeoverMidRollOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore(steps...)
		first := newController(alwaysHeld{}, &vmConfiguration{store: f}, &trafficCounter{f, neverBad, false, nil})
		for f.current().Step == 0 {
			first.Tick(t.Context())
			time.Sleep(Interval)
		}
		second := newController(alwaysHeld{}, &vmConfiguration{store: f}, &trafficCounter{f, neverBad, false, nil})
		tickUntil(t, f, config.RollOutDone, second)
		requireEachStepOnce(t, f)
	})
}

// An operator pauses the roll-out while the controller writes its next step. Neither
// that step nor a later one may undo the pause, even if the version turns bad, until
// the operator resumes the roll-out.
func TestOperatorPauseIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore(steps...)
		v := &vmConfiguration{store: f}
		c := newController(alwaysHeld{}, v, &trafficCounter{f, 6 * time.Minute, false, nil})
		operator := func(state config.RollOutState) {
			_, err := f.change(func(obj config.Object) error {
				r := obj.(*config.RollOut)
				r.State, r.Reason = state, "operator: looking into it"
				return nil
			}, f.current().Revision)
			require.NoError(t, err)
		}
		v.beforeWrite = func() { operator(config.RollOutPaused) }
		tickUntil(t, f, config.RollOutPaused, c)
		require.Equal(t, writtenConflict, c.Dump()[0].Written)
		for range 1200 {
			c.Tick(t.Context())
			time.Sleep(Interval)
		}
		require.Equal(t, 0, f.current().Step)
		require.Equal(t, "paused by an operator", c.Dump()[0].Verdict.Reason)
		require.True(t, c.Dump()[0].Verdict.Findings[0].Worse, "the dump shows the finding to the operator")
		v.beforeWrite = nil
		operator(config.RollOutRunning)
		tickUntil(t, f, config.RollOutDone, c)
	})
}

// The controller must write its verdict on a good or bad roll-out to the configuration,
// a roll-back before the given number of requests.
func TestVerdictsAreWritten(t *testing.T) {
	for name, c := range map[string]struct {
		badAfter time.Duration
		missing  bool
		withdraw bool
		want     config.RollOutState
		requests float64
	}{
		"bad from the start":            {0, false, false, config.RollOutRolledBack, 200},
		"bad while counts are missing":  {0, true, false, config.RollOutRolledBack, 200},
		"bad after four minutes":        {4 * time.Minute, false, false, config.RollOutRolledBack, 1400},
		"good, but counts stay missing": {neverBad, true, false, config.RollOutRunning, 0},
		"its new version is withdrawn":  {neverBad, false, true, config.RollOutRolledBack, 20},
		"good, and counts are complete": {neverBad, false, false, config.RollOutDone, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeStore(steps...)
				if c.withdraw {
					f.rollOut.To = "v3"
				}
				began := time.Now()
				ctl := newController(alwaysHeld{}, &vmConfiguration{store: f}, &trafficCounter{f, c.badAfter, c.missing, nil})
				if c.want == config.RollOutRunning {
					for range 3600 {
						ctl.Tick(t.Context())
						time.Sleep(Interval)
					}
					require.Equal(t, c.want, f.current().State)
					require.Equal(t, "counts of some VMs are missing", ctl.Dump()[0].Verdict.Reason)
					return
				}
				tickUntil(t, f, c.want, ctl)
				if c.requests > 0 {
					exposed := 5 * time.Since(began).Seconds() // 5% of 100 a second
					require.LessOrEqual(t, exposed, c.requests)
					require.Contains(t, f.current().Reason, ReasonPrefix)
				}
			})
		})
	}
}
