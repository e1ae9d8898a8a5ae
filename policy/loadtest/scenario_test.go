package loadtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/policy/picker"
)

// The seeds of the tests; docs/DECISIONS.md shows the same.
const (
	seedOne = 11
	seedTwo = 23
)

// goal is what callers must receive under one load pattern, whatever the seed.
// Shares are of requests or of capacity.
type goal struct {
	scenario string
	without  string  // the variant that must do worse, by `worse`
	done     float64 // least share completed in time
	check    func(t *testing.T, all, without *Result)
}

// TestPatterns runs each load pattern with the real modules and without the one
// that answers it. The caller is told in time or gets the whole answer; a module
// without effect on what callers receive fails here.
func TestPatterns(t *testing.T) {
	goals := []goal{
		{"burst 10x 5s", "no admission", 0.92, lessTimeouts},
		{"hot caller 20x", "no admission", 0.90, lessTimeouts},
		{"hot lookups", "no admission", 0.65, othersServed},
		{"hot key", "no picker", 0.99, moreHits},
		{"prefixes", "no picker", 0.99, moreHits},
		{"slow endpoint", "none", 0.99, fewerTimeouts},
		{"fast errors", "no outlier", 0.99, lessFailed},
		{"long jobs", "no admission", 0.94, lessTimeouts},
		{"memory full", "no limit", 0.50, moreDone},
		{"overload 2x", "no admission", 0.85, overload},
		{"pool down", "no cold limit", 0.88, noOvershoot},
		{"pool failing", "no outlier", 0.82, lessFailed},
		{"pool cold", "no cold limit", 0.93, noOvershoot},
		{"poison", "no poison", 0.98, fewCrashes},
		{"stale reports", "least reported", 0.99, notSlower},
		{"several", "none", 0.85, moreDone},
	}
	for _, w := range []Workload{Cluj, Norte} {
		for _, g := range goals {
			t.Run(w.Name+"/"+g.scenario, func(t *testing.T) {
				t.Parallel()
				for _, seed := range []uint64{seedOne, seedTwo} {
					all := Run(w, scenario(t, g.scenario), All, seed)
					without := Run(w, scenario(t, g.scenario), variant(t, g.without), seed)
					require.GreaterOrEqual(t, all.All.Share(), g.done, "seed %d", seed)
					require.Zero(t, all.Overshoot, "requests above what a cold endpoint bears")
					require.Zero(t, all.FalseQuarantines)
					require.LessOrEqual(t, all.Extra(), 0.10, "work of retries and hedges")
					g.check(t, all, without)
				}
			})
		}
	}
}

func lessTimeouts(t *testing.T, all, without *Result) {
	require.Less(t, 2*all.All.TimedOut, without.All.TimedOut)
}

func othersServed(t *testing.T, all, without *Result) {
	require.GreaterOrEqual(t, all.Others.Share(), 0.97)
	require.Less(t, without.Others.Share(), 0.9)
}

func fewerTimeouts(t *testing.T, all, without *Result) {
	require.Less(t, all.All.TimedOut, without.All.TimedOut)
}

func lessFailed(t *testing.T, all, without *Result) {
	require.Less(t, 2*all.All.Failed, without.All.Failed)
}

func moreDone(t *testing.T, all, without *Result) {
	require.Greater(t, all.All.Share(), without.All.Share()+0.05)
}

func moreHits(t *testing.T, all, without *Result) {
	require.Greater(t, all.Hits(), without.Hits()+0.10)
}

func notSlower(t *testing.T, all, without *Result) {
	require.LessOrEqual(t, all.Immediate().Latency(50), without.Immediate().Latency(50))
}

func noOvershoot(t *testing.T, _, without *Result) {
	require.Positive(t, without.Overshoot, "the pattern must tempt the modules to overshoot")
}

func fewCrashes(t *testing.T, all, without *Result) {
	require.LessOrEqual(t, all.Crashes, 4)
	require.Greater(t, without.Crashes, 8)
}

// overload: goodput stays at 95% of capacity while twice as much is sent, and is
// back there ten seconds after the load has fallen, since nothing is left behind.
func overload(t *testing.T, all, without *Result) {
	s := scenario(t, "overload 2x")
	require.GreaterOrEqual(t, all.Goodput(s.From+10*time.Second, s.To), 0.95)
	require.GreaterOrEqual(t, all.Goodput(s.To+10*time.Second, s.Length), 0.95)
	require.Greater(t, all.Immediate().Share(), 10*without.Immediate().Share()-0.5)
	lessTimeouts(t, all, without)
}

// TestHotCaller: one account sends twenty times its share. The others send the same
// requests as on a calm day and wait little longer for them: what they lose is the
// larger batch at the engines, not a place behind the flood.
func TestHotCaller(t *testing.T) {
	for _, w := range []Workload{Cluj, Norte} {
		calm, hot := time.Duration(0), time.Duration(0)
		for _, seed := range []uint64{seedOne, seedTwo} {
			before := Run(w, scenario(t, "calm"), All, seed)
			during := Run(w, scenario(t, "hot caller 20x"), All, seed)
			require.Equal(t, before.Others.Offered, during.Others.Offered)
			require.GreaterOrEqual(t, during.Others.Share(), 0.98)
			calm += before.Others.Latency(99)
			hot += during.Others.Latency(99)
		}
		require.LessOrEqual(t, hot.Seconds(), 1.2*calm.Seconds(), w.Name)
	}
}

// TestWeights: with either default, prefixes are found cached more often than when
// load alone decides, and immediate requests take no longer for it.
func TestWeights(t *testing.T) {
	s := scenario(t, "prefixes")
	for _, w := range []Workload{Cluj, Norte} {
		for _, weights := range []picker.Weights{picker.WeightsCost, picker.WeightsLatency} {
			byLoad := w
			w.Weights, byLoad.Weights = weights, picker.Weights{Load: 1}
			got, base := Run(w, s, All, seedOne), Run(byLoad, s, All, seedOne)
			require.Greater(t, got.Hits(), base.Hits()+0.03, "%s %+v", w.Name, weights)
			require.LessOrEqual(t, got.Immediate().Latency(50), base.Immediate().Latency(50))
		}
	}
}

// TestSameSeedSameRun: a seed that shows a fault must show it again.
func TestSameSeedSameRun(t *testing.T) {
	s := scenario(t, "several")
	one, two := Run(Norte, s, All, seedOne), Run(Norte, s, All, seedOne)
	require.Equal(t, one.All.Completed, two.All.Completed)
	require.Equal(t, one.worked, two.worked)
	require.Equal(t, one.goodput, two.goodput)
}

func scenario(t *testing.T, name string) Scenario {
	t.Helper()
	s, ok := Find(name)
	require.True(t, ok, name)
	return s
}

func variant(t *testing.T, name string) Modules {
	t.Helper()
	for _, v := range Variants {
		if v.Name == name {
			return v.Modules
		}
	}
	t.Fatalf("no variant %q", name)
	return Modules{}
}
