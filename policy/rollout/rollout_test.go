package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcrestfork/config"
)

func rollOut(step int) *config.RollOut {
	return &config.RollOut{
		Meta: config.Meta{Name: "r", Revision: 7}, Model: "ierburi", From: "v1", To: "v2",
		Steps: []float64{1, 5, 25, 50, 100}, Step: step, State: config.RollOutRunning,
	}
}

func all(string) bool { return true }

// A session that got the new version must keep it while the share rises, on every
// VM.
func TestChooseIsMonotone(t *testing.T) {
	to := 0
	for i := range 20000 {
		key, had := fmt.Sprint("session-", i), false
		for step := range 5 {
			c, ok := Choose(rollOut(step), key, all)
			require.True(t, ok)
			if had {
				require.Equal(t, "v2", c.Version)
			}
			had = c.Version == "v2"
			if had && step == 1 {
				to++
			}
		}
		require.Equal(t, HashPosition(rollOut(0), key) < 1-OldVersionMinShare, had, "the last step covers all keys but the old version's minimum share")
	}
	require.InDelta(t, 1000, to, 4*math.Sqrt(20000*0.05*0.95), "5% of 20000 within four standard deviations")
}

func TestChooseUsable(t *testing.T) {
	only := func(v string) func(string) bool { return func(x string) bool { return x == v } }
	r := rollOut(4)
	r.State = config.RollOutDone
	c, ok := Choose(r, "k", only("v1"))
	require.True(t, ok)
	require.Equal(t, Choice{Version: "v1", Reason: ReasonUsable}, c)
	c, _ = Choose(r, "k", only("v2"))
	require.Equal(t, Choice{Version: "v2", Reason: ReasonUsable}, c)
	r.State = config.RollOutRolledBack
	_, ok = Choose(r, "k", only("v2"))
	require.False(t, ok, "a version that was rolled back doesn't replace a withdrawn old version")
	_, ok = Choose(r, "k", only(""))
	require.False(t, ok)
}

func TestOf(t *testing.T) {
	a, b, c := rollOut(0), rollOut(0), rollOut(0)
	a.Name, a.State, a.Revision = "a", config.RollOutDone, 9
	b.Name, c.Name, c.Revision = "b", "c", 8
	s := &config.Snapshot{RollOuts: map[string]*config.RollOut{"a": a, "b": b, "c": c}}
	require.Equal(t, c, ForModel(s, "ierburi"))
	require.Nil(t, ForModel(s, "other"))
	c.State = config.RollOutRolledBack
	require.Equal(t, b, ForModel(s, "ierburi"))
}

// tally builds a Tally from the numbers of requests, errors, slow, rated and poor
// answers.
func tally(n ...uint64) Tally { return Tally{n[0], n[1], n[2], n[3], n[4]} }

func TestEvaluate(t *testing.T) {
	good, goodTo := tally(20000, 200, 200, 20000, 2000), tally(1000, 10, 10, 1000, 100)
	few := tally(1900, 19, 19, 1900, 190)
	long := DefaultSettings().SettleTime
	for name, c := range map[string]struct {
		step       int
		state      config.RollOutState
		from, to   Tally
		elapsed    time.Duration
		incomplete bool
		want       Action
	}{
		"equal":                            {1, config.RollOutRunning, good, goodTo, long, false, Advance},
		"equal, too early":                 {1, config.RollOutRunning, good, goodTo, time.Minute, false, Hold},
		"equal, counts missing":            {1, config.RollOutRunning, good, goodTo, long, true, Hold},
		"too few requests":                 {1, config.RollOutRunning, good, tally(300, 3, 3, 300, 30), long, false, Hold},
		"no ratings come":                  {1, config.RollOutRunning, good, tally(1000, 10, 10, 0, 0), long, false, Hold},
		"errors":                           {1, config.RollOutRunning, few, tally(100, 20, 1, 100, 10), 0, false, RollBack},
		"errors, counts missing":           {1, config.RollOutRunning, few, tally(100, 20, 1, 100, 10), 0, true, RollBack},
		"errors while paused":              {1, config.RollOutPaused, few, tally(100, 20, 1, 100, 10), 0, false, RollBack},
		"poor ratings":                     {1, config.RollOutRunning, few, tally(100, 1, 1, 100, 50), 0, false, RollBack},
		"slow":                             {1, config.RollOutRunning, few, tally(100, 1, 25, 100, 10), 0, false, Pause},
		"slow while settling":              {1, config.RollOutPaused, few, tally(100, 1, 25, 100, 10), 0, false, Hold},
		"slow after settling":              {1, config.RollOutPaused, few, tally(100, 1, 25, 100, 10), long, false, RollBack},
		"both fail, pool down":             {1, config.RollOutRunning, tally(9500, 9000, 0, 500, 50), tally(500, 480, 0, 25, 3), 0, false, Hold},
		"strong evidence, tiny difference": {3, config.RollOutRunning, tally(1e6, 500, 0, 1e6, 0), tally(1e6, 1500, 0, 1e6, 0), long, false, Hold},
		"likely worse":                     {1, config.RollOutRunning, good, tally(1000, 18, 10, 1000, 100), long, false, Hold},
		"last step":                        {4, config.RollOutRunning, tally(500, 5, 5, 500, 50), tally(9500, 95, 95, 9500, 950), long, false, Finish},
		"last step, errors":                {4, config.RollOutRunning, tally(500, 5, 0, 500, 50), tally(9500, 1900, 0, 0, 0), 0, false, RollBack},
		"last step, both fail":             {4, config.RollOutRunning, tally(500, 250, 0, 500, 50), tally(9500, 4800, 0, 0, 0), 0, false, Hold},
		"last step, too early":             {4, config.RollOutRunning, tally(500, 5, 5, 500, 50), tally(9500, 95, 95, 9500, 950), 0, false, Hold},
		"done":                             {4, config.RollOutDone, good, goodTo, long, false, Hold},
		"rolled back":                      {1, config.RollOutRolledBack, good, goodTo, long, false, Hold},
	} {
		t.Run(name, func(t *testing.T) {
			r := rollOut(c.step)
			r.State = c.state
			s := DefaultSettings()
			v := evaluate(s, r, []comparison{{c.from, c.to, s.epochLimit(r)}}, c.elapsed, !c.incomplete)
			require.Equal(t, c.want.String(), v.Action.String(), v.Reason)
			require.NotEmpty(t, v.Reason)
		})
	}
}

// A version serves well for an hour and then degrades in the same step. If only the
// totals of the epoch counted, the good hour would hide the failures for long.
func TestTurnsBadLate(t *testing.T) {
	m, r, now := NewMonitor(DefaultSettings()), rollOut(1), time.Unix(0, 0)
	m.Begin(r.Revision, now)
	c := Counts{Source: "vm-1", Epoch: r.Revision}
	second := func(errors uint64) Verdict {
		c.From.add(tally(380, 4, 4, 380, 38))
		c.To.add(tally(20, errors, 0, 20, 2))
		m.Add(c)
		return m.Evaluate(r, now, true)
	}
	for i := range uint64(3600) {
		require.Equal(t, Hold, second(i%5/4).Action)
	}
	seconds := 1
	for second(6).Action != RollBack {
		seconds++
	}
	require.LessOrEqual(t, 20*seconds, 200, "requests of the bad version until it is rolled back")
}

// Reports reach the controller duplicated, late and in any order. If the sum
// weren't that of each source's last report, verdicts would count requests twice.
func TestTotalsAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var reports []Counts
		var want Tally
		for vm := range 7 {
			c := Counts{Source: fmt.Sprint("vm-", vm), RollOut: "r", Epoch: 7}
			for range rng.IntN(5) {
				c.To.Requests += 1 + rng.Uint64N(9)
				c.To.Errors += rng.Uint64N(2)
				reports = append(reports, c, c)
			}
			want.add(c.To)
			reports = append(reports, Counts{Source: c.Source, Epoch: 6, To: Tally{Requests: 1 << 40}})
		}
		rng.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		var totals Totals
		totals.Reset(7)
		for _, c := range reports {
			totals.Add(c)
		}
		_, to := totals.Sum()
		require.Equal(t, want, to)
	})
}

// When the aggregating VM of a data centre is replaced, its successor lacks the
// counts of the VMs that no longer run, and may exceed the earlier report in requests
// before it does in errors. If a count shrank, the difference to a window's start
// would wrap around and a good version would look extremely bad.
func TestTotalsNeverShrink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		m, r, now := NewMonitor(DefaultSettings()), rollOut(1), time.Unix(0, 0)
		m.Begin(r.Revision, now)
		scale := uint64(1)
		for range 40 {
			scale += rng.Uint64N(30)
			part := 1 + rng.Uint64N(2) // 2 reports half of the counts, 1 all of them
			share := func(n uint64) uint64 { return scale * n / part / 100 }
			m.Add(Counts{
				Source: "nord", Epoch: r.Revision,
				From: tally(share(9500), share(95+rng.Uint64N(5)), share(190), share(9500), share(950)),
				To:   tally(share(500), share(5), share(10), share(500), share(50)),
			})
			v := m.Evaluate(r, now, true)
			require.Equal(t, Hold, v.Action, v.Reason)
			for _, f := range v.Findings {
				require.LessOrEqual(t, max(f.From, f.To), 1.0)
			}
		}
	})
}

// One caller resends a request that crashes its endpoints, and a session fails as a
// whole; their keys belong to the new version each time. Both versions would fail
// these requests, so the roll-out must not be rolled back for them.
func TestOneKeyIsNoEvidence(t *testing.T) {
	rec, r := NewRecorder("vm-1"), rollOut(1)
	for range 500 {
		rec.Request(r, ArmTo, "poison", Outcome{Failed: true, Slow: true})
		rec.Rating(r, ArmTo, "poison", true)
	}
	for i := range 9500 {
		key := fmt.Sprint(i)
		rec.Request(r, ArmFrom, key, Outcome{Failed: i%100 == 0})
		rec.Rating(r, ArmFrom, key, false)
	}
	counts := rec.Counts(&config.Snapshot{RollOuts: map[string]*config.RollOut{"r": r}})
	require.Len(t, counts, 1)
	require.Equal(t, tally(500, 1, 1, 500, 1), counts[0].To)
	require.Equal(t, tally(9500, 95, 0, 9500, 0), counts[0].From)
	m := NewMonitor(DefaultSettings())
	m.Begin(r.Revision, time.Unix(0, 0))
	m.Add(counts[0])
	v := m.Evaluate(r, time.Unix(0, 0), true)
	require.Equal(t, Hold, v.Action, v.Reason)
}

func TestRecorderEpochs(t *testing.T) {
	rec, old, next := NewRecorder("vm-1"), rollOut(1), rollOut(2)
	next.Revision = 8
	s := &config.Snapshot{RollOuts: map[string]*config.RollOut{"r": next}}
	rec.Request(old, ArmTo, "a", Outcome{})
	rec.Request(next, ArmTo, "b", Outcome{Slow: true})
	rec.Request(old, ArmTo, "c", Outcome{}) // an answer from the previous step
	rec.Request(next, ArmNone, "d", Outcome{})
	counts := rec.Counts(s)
	require.Equal(t, []Counts{{Source: "vm-1", RollOut: "r", Epoch: 8, To: Tally{Requests: 1, Slow: 1}}}, counts)
	next.State = config.RollOutDone
	require.Empty(t, rec.Counts(s))
}

func BenchmarkChoose(b *testing.B) {
	r := rollOut(1)
	b.ReportAllocs()
	for b.Loop() {
		Choose(r, "session-0123456789", all)
	}
}

func BenchmarkEvaluate(b *testing.B) {
	r := rollOut(1)
	m, now := NewMonitor(DefaultSettings()), time.Unix(0, 0)
	m.Begin(r.Revision, now)
	for vm := range 19 {
		m.Add(Counts{Source: fmt.Sprint(vm), Epoch: r.Revision,
			From: tally(20000, 200, 200, 20000, 2000), To: tally(1000, 10, 10, 1000, 100)})
	}
	b.ReportAllocs()
	for b.Loop() {
		m.Evaluate(r, now, true)
	}
}

// BenchmarkMemory measures what a Recorder allocates for a number of keys that each
// have a bad event.
func BenchmarkMemory(b *testing.B) {
	for _, keys := range []int{256, 1024, maxBadEvents} {
		b.Run(fmt.Sprint("keys=", keys), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				rec, r := NewRecorder("vm-1"), rollOut(1)
				for i := range keys {
					rec.Request(r, ArmTo, fmt.Sprint(i), Outcome{Failed: true})
				}
			}
		})
	}
}
