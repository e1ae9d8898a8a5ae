package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcrestfork/policy/limit"
)

const seed = 9

var start = time.Unix(1_700_000_000, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// fleet returns the specs of n endpoints that serve two of the versions each.
func fleet(n, versions, slots int) []Spec {
	specs := make([]Spec, n)
	for i := range specs {
		specs[i] = Spec{
			Name:   fmt.Sprintf("e%04d", i),
			Pools:  []string{fmt.Sprint("v", i%versions), fmt.Sprint("v", (i+1)%versions)},
			Tier:   Tier(i / versions % 3),
			Bounds: limit.Bounds{Slots: slots, Cold: 1},
		}
	}
	return specs
}

func newTable(specs []Spec) *Table {
	t := NewTable(DefaultConfig(WeightsCost))
	t.SetEndpoints(specs)
	return t
}

// singleVersionFleet returns the specs of n local endpoints that all serve version v0.
func singleVersionFleet(n, slots int) []Spec {
	specs := fleet(n, 1, slots)
	for i := range specs {
		specs[i].Pools, specs[i].Tier = []string{"v0"}, TierLocal
	}
	return specs
}

// TestPickHonoursFilters checks under random sequences of changes that a picked endpoint
// serves the requested version, accepts work, has free capacity and was not tried before,
// and that one is picked whenever such an endpoint exists.
func TestPickHonoursFilters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		specs := fleet(8, 3, 2)
		tab, rng := newTable(specs), newRand()
		state := map[string]State{}
		running := map[string]int{}
		var picked []*Endpoint
		r := &Request{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := specs[rapid.IntRange(0, 7).Draw(t, "endpoint")].Name
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				s := State{
					Leaving: rapid.Bool().Draw(t, "leaving"), Down: rapid.Bool().Draw(t, "down"),
					DataCentreOut: rapid.Bool().Draw(t, "out"), Probation: rapid.Bool().Draw(t, "probation"),
				}
				state[name] = s
				tab.Update(name, func(to *State) { *to = s })
			case 1:
				if len(picked) > 0 {
					tab.Release(start, picked[0], r, limit.Sample{Failed: true})
					running[picked[0].Name]--
					picked = picked[1:]
				}
			case 2:
				tab.SetEndpoints(specs)
			default:
				r.Pool = fmt.Sprint("v", rapid.IntRange(0, 2).Draw(t, "version"))
				r.Exclude = []string{name}
				r.Prefix = []uint64{uint64(rapid.IntRange(0, 3).Draw(t, "prefix"))}
				may := map[string]bool{}
				for _, s := range specs {
					st := state[s.Name]
					if (s.Pools[0] == r.Pool || s.Pools[1] == r.Pool) && !st.Leaving && !st.Down &&
						!st.DataCentreOut && !st.Probation && running[s.Name] < 2 && s.Name != name {
						may[s.Name] = true
					}
				}
				e, miss := tab.Pick(start, rng, r)
				require.Equal(t, len(may) > 0, miss == Picked)
				if e != nil {
					require.True(t, may[e.Name], e.Name)
					running[e.Name]++
					picked = append(picked, e)
				}
			}
		}
	})
}

// TestProbation checks that an endpoint on probation gets only requests that may be
// repeated, one at a time.
func TestProbation(t *testing.T) {
	tab, rng := newTable(singleVersionFleet(1, 4)), newRand()
	tab.Update("e0000", func(s *State) { s.Probation = true })
	_, miss := tab.Pick(start, rng, &Request{Pool: "v0"})
	require.Equal(t, MissFiltered, miss)
	_, miss = tab.Pick(start, rng, &Request{Pool: "v0", Probe: true})
	require.Equal(t, Picked, miss)
	_, miss = tab.Pick(start, rng, &Request{Pool: "v0", Probe: true})
	require.Equal(t, MissFull, miss)
}

// TestPause checks that an endpoint whose limit is below one request is paused after each
// request and becomes available again without any further event.
func TestPause(t *testing.T) {
	tab, rng, r := newTable(singleVersionFleet(1, 1)), newRand(), &Request{Pool: "v0"}
	now, latency := start, time.Second
	for range 5 {
		e, miss := tab.Pick(now, rng, r)
		require.Equal(t, Picked, miss)
		now = now.Add(latency)
		tab.Release(now, e, r, limit.Sample{Latency: latency, Size: 1})
		now = now.Add(time.Minute)
		latency = 8 * time.Second
	}
	e, _ := tab.Pick(now, rng, r)
	tab.Release(now, e, r, limit.Sample{Latency: latency, Size: 1})
	_, miss := tab.Pick(now, rng, r)
	require.Equal(t, MissFull, miss)
	limit, _ := tab.Capacity("v0")
	require.Equal(t, 1, limit, "the pool keeps its capacity")
	_, miss = tab.Pick(now.Add(time.Minute), rng, r)
	require.Equal(t, Picked, miss)
}

// TestSeparateSuspects checks that two requests that were in flight at a crash never
// share an endpoint.
func TestSeparateSuspects(t *testing.T) {
	tab, rng := newTable(singleVersionFleet(2, 8)), newRand()
	r := &Request{Pool: "v0", Suspect: true}
	a, _ := tab.Pick(start, rng, r)
	b, _ := tab.Pick(start, rng, r)
	require.NotEqual(t, a.Name, b.Name)
	_, miss := tab.Pick(start, rng, r)
	require.Equal(t, MissFiltered, miss)
	tab.Release(start, a, r, limit.Sample{})
	c, _ := tab.Pick(start, rng, r)
	require.Equal(t, a.Name, c.Name)
}

// reportOnly scores by the load report alone, whatever its age.
type reportOnly struct{}

func (reportOnly) Score(_ time.Time, _ *Request, c Candidate) float64 {
	return -float64(c.Report.InFlight)
}

// TestStaleReportCausesNoHerding guards against herding. Seven VMs hold the same stale
// report, in which one endpoint is idle and the others are full, and send 84 requests
// before the next one. Even with a scorer that trusts the report, the idle endpoint must
// not get most of them, since it is only compared where it is drawn.
func TestStaleReportCausesNoHerding(t *testing.T) {
	got := map[string]int{}
	cfg := DefaultConfig(WeightsCost)
	cfg.Scorers = []Weighted{{reportOnly{}, 1}}
	for vm := range 7 {
		tab := NewTable(cfg)
		tab.SetEndpoints(singleVersionFleet(12, 8))
		rng := rand.New(rand.NewPCG(seed, uint64(vm)))
		for i, s := range singleVersionFleet(12, 8) {
			tab.ApplyLoadReport(s.Name, LoadReport{InFlight: 8 * min(i, 1), At: start})
		}
		for range 12 {
			e, _ := tab.Pick(start.Add(2*time.Second), rng, &Request{Pool: "v0"})
			got[e.Name]++
		}
	}
	require.LessOrEqual(t, got["e0000"], 21, "at most three times its share of 7")
	require.Len(t, got, 12)
}

// TestReportWeightDecays checks that a report from two seconds ago weighs less than this
// VM's own requests, whose number is exact.
func TestReportWeightDecays(t *testing.T) {
	idle, busy := newTable(singleVersionFleet(1, 8)).endpoints["e0000"], newTable(singleVersionFleet(1, 8)).endpoints["e0000"]
	idle.Report = LoadReport{InFlight: 0, At: start}
	busy.Report = LoadReport{InFlight: 8, At: start}
	for range 2 {
		idle.limit.Acquire()
	}
	score := func(e *Endpoint, age time.Duration) float64 {
		return LeastLoad{}.Score(start.Add(age), &Request{}, Candidate{Endpoint: e})
	}
	require.Greater(t, score(busy, 2*time.Second), score(idle, 2*time.Second))
	require.Less(t, score(busy, 0), score(idle, 0), "a fresh report weighs more")
}

// TestPrefixConfidence checks the confidence that an endpoint holds a prefix when events
// are late or lost, or a restart empties the cache.
func TestPrefixConfidence(t *testing.T) {
	const prefix = 42
	cases := []struct {
		name   string
		events []CacheEvent
		cold   bool
		want   float64 // confidence that e0000 holds it
	}{
		{"stored", []CacheEvent{{Sequence: 1, Stored: []uint64{prefix}}}, false, confirmedConfidence},
		{"a later event was lost", []CacheEvent{{Sequence: 1, Stored: []uint64{prefix}}, {Sequence: 4}}, false, doubtedConfidence},
		{"an old event is repeated", []CacheEvent{{Sequence: 2, Stored: []uint64{prefix}}, {Sequence: 1, Removed: []uint64{prefix}}}, false, confirmedConfidence},
		{"removed", []CacheEvent{{Sequence: 1, Stored: []uint64{prefix}}, {Sequence: 2, Removed: []uint64{prefix}}}, false, 0},
		{"cleared", []CacheEvent{{Sequence: 1, Stored: []uint64{prefix}}, {Sequence: 2, Cleared: true}}, false, 0},
		{"back in cold start", []CacheEvent{{Sequence: 1, Stored: []uint64{prefix}}}, true, 0},
		{"stored after a restart", []CacheEvent{{Sequence: 9, Cleared: true}, {Sequence: 10, Stored: []uint64{prefix}}}, false, confirmedConfidence},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tab := newTable(singleVersionFleet(4, 8))
			for _, ev := range c.events {
				tab.ApplyCacheEvent("e0000", ev)
			}
			if c.cold {
				tab.SetCold("e0000", true)
			}
			got := 0.0
			if entry, ok := tab.prefixes.entries.Get(prefix); ok && entry[0].e != nil {
				got = tab.prefixes.confidence(entry[0])
			}
			require.Equal(t, c.want, got)
		})
	}
}

// TestRingAgreesAcrossVMs checks that VMs without cache events for a prefix choose the
// same endpoint for it in most cases.
func TestRingAgreesAcrossVMs(t *testing.T) {
	tabs := []*Table{newTable(singleVersionFleet(12, 64)), newTable(singleVersionFleet(12, 64))}
	agree := 0
	for i := range uint64(100) {
		a, _ := tabs[0].Pick(start, rand.New(rand.NewPCG(seed, 1)), &Request{Pool: "v0", Prefix: []uint64{i}})
		b, _ := tabs[1].Pick(start, rand.New(rand.NewPCG(seed, 2)), &Request{Pool: "v0", Prefix: []uint64{i}})
		if a.Name == b.Name {
			agree++
		}
	}
	require.GreaterOrEqual(t, agree, 70)
}

// TestAllocations checks that a decision allocates no more in a large fleet than in a
// small one.
func TestAllocations(t *testing.T) {
	perPick := func(n int) float64 {
		tab, rng := newTable(fleet(n, 19, 4)), newRand()
		r := &Request{Pool: "v3", Prefix: []uint64{1, 2, 3, 4}, Exclude: []string{"e0003"}}
		return testing.AllocsPerRun(1000, func() {
			e, _ := tab.Pick(start, rng, r)
			tab.Release(start, e, r, limit.Sample{Latency: time.Second, Size: 1})
		})
	}
	require.LessOrEqual(t, perPick(2000), perPick(100))
	require.LessOrEqual(t, perPick(2000), 1.0)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{100, 500, 2000} {
		for _, full := range []int{0, 95} {
			b.Run(fmt.Sprintf("endpoints=%d/versions=19/full=%d%%", n, full), func(b *testing.B) {
				specs := fleet(n, 19, 4)
				tab, rng := newTable(specs), newRand()
				for i, s := range specs {
					tab.ApplyLoadReport(s.Name, LoadReport{InFlight: i % 5, At: start})
					if i%100 < full {
						tab.Update(s.Name, func(st *State) { st.Down = true })
					}
				}
				requests := make([]Request, 19*50)
				for i := range requests {
					requests[i] = Request{Pool: fmt.Sprint("v", i%19), Prefix: []uint64{uint64(i), uint64(i) << 8, uint64(i) << 16, uint64(i) << 24}}
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					r := &requests[i%len(requests)]
					i++
					if e, _ := tab.Pick(start, rng, r); e != nil {
						tab.Release(start, e, r, limit.Sample{Latency: time.Second, Size: 1})
					}
				}
			})
		}
	}
}

// BenchmarkSet measures a change of configuration or membership.
func BenchmarkSet(b *testing.B) {
	for _, n := range []int{100, 500, 2000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			specs := fleet(n, 19, 4)
			tab := newTable(specs)
			b.ReportAllocs()
			for b.Loop() {
				tab.SetEndpoints(specs)
			}
		})
	}
}

func BenchmarkCapacity(b *testing.B) {
	for _, n := range []int{100, 500, 2000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			tab := newTable(fleet(n, 19, 4))
			for b.Loop() {
				tab.Capacity("v3")
			}
		})
	}
}
