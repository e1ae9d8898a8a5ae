package loadtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/policy/picker"
)

const (
	// The tests use the default seeds of cmd/decisions.
	seedOne = 11
	seedTwo = 23
)

// goal is what callers must receive in one scenario with any seed. Shares are
// shares of requests or of capacity.
type goal struct {
	scenario     string
	without      string  // the variant that check compares with
	minCompleted float64 // minimum share of requests completed in time
	check        func(t *testing.T, all, without *Result)
}

// TestPatterns runs each load pattern with all modules and without the module that
// handles it. The test fails if callers neither get an answer nor a refusal in
// time, or if a module makes no difference to what callers receive.
func TestPatterns(t *testing.T) {
	goals := []goal{
		{"burst 10x 5s", "no admission", 0.92, halfTheTimeouts},
		{"hot caller 20x", "no admission", 0.90, halfTheTimeouts},
		{"hot lookups", "no admission", 0.65, othersServed},
		{"hot key", "no picker", 0.99, moreHits},
		{"prefixes", "no picker", 0.99, moreHits},
		{"slow endpoint", "none", 0.99, fewerTimeouts},
		{"fast errors", "no outlier", 0.99, fewerFailures},
		{"long jobs", "no admission", 0.94, halfTheTimeouts},
		{"memory full", "no limit", 0.50, moreCompleted},
		{"overload 2x", "no admission", 0.85, goodputUnderOverload},
		{"pool down", "no cold limit", 0.88, noOvershoot},
		{"pool failing", "no outlier", 0.82, fewerFailures},
		{"pool cold", "no cold limit", 0.93, noOvershoot},
		{"poison", "no poison", 0.98, fewCrashes},
		{"stale reports", "least reported", 0.99, notSlower},
		{"several", "none", 0.85, moreCompleted},
	}
	for _, w := range []Workload{Cluj, Norte} {
		for _, g := range goals {
			t.Run(w.Name+"/"+g.scenario, func(t *testing.T) {
				t.Parallel()
				for _, seed := range []uint64{seedOne, seedTwo} {
					all := Run(w, scenario(t, g.scenario), All, seed)
					without := Run(w, scenario(t, g.scenario), variant(t, g.without), seed)
					require.GreaterOrEqual(t, all.All.CompletedShare(), g.minCompleted, "seed %d", seed)
					require.Zero(t, all.Overshoot, "requests beyond the cold slots of an endpoint")
					require.Zero(t, all.FalseQuarantines)
					require.LessOrEqual(t, all.RepeatedWorkRatio(), 0.10, "work of retries and hedges")
					g.check(t, all, without)
				}
			})
		}
	}
}

func halfTheTimeouts(t *testing.T, all, without *Result) {
	require.Less(t, 2*all.All.TimedOut, without.All.TimedOut)
}

func othersServed(t *testing.T, all, without *Result) {
	require.GreaterOrEqual(t, all.Others.CompletedShare(), 0.97)
	require.Less(t, without.Others.CompletedShare(), 0.9)
}

func fewerTimeouts(t *testing.T, all, without *Result) {
	require.Less(t, all.All.TimedOut, without.All.TimedOut)
}

func fewerFailures(t *testing.T, all, without *Result) {
	require.Less(t, 2*all.All.Failed, without.All.Failed)
}

func moreCompleted(t *testing.T, all, without *Result) {
	require.Greater(t, all.All.CompletedShare(), without.All.CompletedShare()+0.05)
}

func moreHits(t *testing.T, all, without *Result) {
	require.Greater(t, all.PrefixHitRatio(), without.PrefixHitRatio()+0.10)
}

func notSlower(t *testing.T, all, without *Result) {
	require.LessOrEqual(t, all.Immediate().Latency(50), without.Immediate().Latency(50))
}

func noOvershoot(t *testing.T, _, without *Result) {
	require.Positive(t, without.Overshoot, "without the limit, the pattern must exceed the cold slots")
}

func fewCrashes(t *testing.T, all, without *Result) {
	require.LessOrEqual(t, all.Crashes, 4)
	require.Greater(t, without.Crashes, 8)
}

// goodputUnderOverload checks that goodput stays at 95% of capacity while the load
// is twice the capacity, and returns there within ten seconds after the load has
// fallen, because no backlog remains.
func goodputUnderOverload(t *testing.T, all, without *Result) {
	s := scenario(t, "overload 2x")
	require.GreaterOrEqual(t, all.Goodput(s.From+10*time.Second, s.To), 0.95)
	require.GreaterOrEqual(t, all.Goodput(s.To+10*time.Second, s.Length), 0.95)
	require.Greater(t, all.Immediate().CompletedShare(), 10*without.Immediate().CompletedShare()-0.5)
	halfTheTimeouts(t, all, without)
}

// TestHotCaller guards against one account delaying the others when it sends twenty
// times its share. The other accounts send the same requests as in the calm
// scenario, and their latency may grow only by the effect of larger batches at the
// engines, not by waiting behind the excess requests.
func TestHotCaller(t *testing.T) {
	for _, w := range []Workload{Cluj, Norte} {
		calm, hot := time.Duration(0), time.Duration(0)
		for _, seed := range []uint64{seedOne, seedTwo} {
			before := Run(w, scenario(t, "calm"), All, seed)
			during := Run(w, scenario(t, "hot caller 20x"), All, seed)
			require.Equal(t, before.Others.Offered, during.Others.Offered)
			require.GreaterOrEqual(t, during.Others.CompletedShare(), 0.98)
			calm += before.Others.Latency(99)
			hot += during.Others.Latency(99)
		}
		require.LessOrEqual(t, hot.Seconds(), 1.2*calm.Seconds(), w.Name)
	}
}

// TestWeights checks both default weights: prefixes are found in the cache more
// often than with load as the only criterion, and the median latency of immediate
// requests doesn't grow.
func TestWeights(t *testing.T) {
	s := scenario(t, "prefixes")
	for _, w := range []Workload{Cluj, Norte} {
		for _, weights := range []picker.Weights{picker.WeightsCost, picker.WeightsLatency} {
			byLoad := w
			w.Weights, byLoad.Weights = weights, picker.Weights{Load: 1}
			got, base := Run(w, s, All, seedOne), Run(byLoad, s, All, seedOne)
			require.Greater(t, got.PrefixHitRatio(), base.PrefixHitRatio()+0.03, "%s %+v", w.Name, weights)
			require.LessOrEqual(t, got.Immediate().Latency(50), base.Immediate().Latency(50))
		}
	}
}

// TestSameSeedSameRun checks that a run is reproducible, so that a seed that
// exposes a fault exposes it again.
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
