package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/rendezvous"
)

var start = time.Unix(1000, 0)

func table(n int) *Table {
	t := New("a")
	for i := range n {
		t.Set(start, Spec{ID: fmt.Sprintf("e%02d", i), Service: "s", DataCentre: "a", Version: "v1", Slots: 8})
	}
	return t
}

// setPeerLoad sets the load from the other VMs at each endpoint of a table.
func setPeerLoad(t *Table, now time.Time, of func(id string) EndpointLoad) {
	shares := make(map[uint32]EndpointLoad)
	for id := range t.endpoints {
		if s := of(id); s != (EndpointLoad{}) {
			shares[rendezvous.HashOf(id).Short()] = s
		}
	}
	t.SetPeerLoad(now, shares)
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against requests on idle connections to an endpoint that does not respond. The other
// VMs learn of it, and a request fails immediately if all endpoints are lost. The endpoint is
// used again when it responds or its address changes.
func TestLostEndpointGetsNothing(t *testing.T) {
	tb, r := table(2), rng()
	for i, address := range []string{"a0", "a1"} {
		tb.Set(start, Spec{ID: fmt.Sprintf("e%02d", i), Service: "s", Address: address, DataCentre: "a", Version: "v1", Slots: 8})
	}
	tb.SetLost("a0", true)
	require.Equal(t, map[string]EndpointLoad{"e00": {Avoided: true}}, tb.LocalLoad(start))
	for range 20 {
		c, _ := tb.Pick(start, r, &Request{Service: "s", Work: 1})
		require.Equal(t, "e01", c.ID)
	}
	tb.SetLost("a1", true)
	_, miss := tb.Pick(start, r, &Request{Service: "s", Work: 1})
	require.Equal(t, NoEndpoint, miss)
	tb.SetLost("a0", false)
	tb.Set(start, Spec{ID: "e01", Service: "s", Address: "a2", DataCentre: "a", Version: "v1", Slots: 8})
	for _, other := range []string{"e00", "e01"} {
		_, miss = tb.Pick(start, r, &Request{Service: "s", Work: 1, Exclude: []string{other}})
		require.Equal(t, Picked, miss)
	}
}

// Guards against an endpoint that refuses connections attracting the traffic because it has the
// least work. After a failure it gets one probe at a time, at growing intervals, until a
// connection succeeds.
func TestDeadEndpointDrawsNothing(t *testing.T) {
	tb, r := table(3), rng()
	var dead []time.Duration
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		c, miss := tb.Pick(now, r, &Request{Service: "s", Work: 1})
		require.Equal(t, Picked, miss)
		if c.ID == "e00" {
			dead = append(dead, now.Sub(start))
			tb.Done(now, c, Broken)
			continue
		}
		tb.Done(now, c, Good)
	}
	require.LessOrEqual(t, len(dead), 8)
	c, _ := tb.Pick(start.Add(time.Minute), r, &Request{Service: "s", Work: 1, Exclude: []string{"e01", "e02"}})
	require.Equal(t, "e00", c.ID)
	_, miss := tb.Pick(start.Add(time.Minute), r, &Request{Service: "s", Work: 1, Exclude: []string{"e01", "e02"}})
	require.Equal(t, AllTried, miss, "a second request during the probe")
	tb.Done(start.Add(time.Minute), c, Good)
	c, _ = tb.Pick(start.Add(time.Minute), r, &Request{Service: "s", Work: 1, Exclude: []string{"e01", "e02"}})
	require.Equal(t, "e00", c.ID)
}

// An endpoint that fails most of its requests over intact connections is ejected after some
// requests.
func TestFailingEndpointIsLeft(t *testing.T) {
	tb, r := table(6), rng()
	failed := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		c, _ := tb.Pick(now, r, &Request{Service: "s", Work: 1})
		if c.ID == "e03" && i%10 < 8 {
			failed++
			tb.Done(now, c, Failed)
			continue
		}
		tb.Done(now, c, Good)
	}
	require.Less(t, failed, 40)
}

// Six VMs send as much as they may to one cold endpoint with a limit of ten requests per
// second. No second may exceed the limit by more than half.
func TestColdRateHoldsOverVMs(t *testing.T) {
	const vms, rate = 6, 10.0
	var at []time.Time
	for v := range vms {
		tb := New("a")
		tb.Set(start, Spec{ID: "e", Service: "s", DataCentre: "a", Slots: 8, Cold: time.Minute, ColdRate: func() float64 { return rate / vms }})
		r := rand.New(rand.NewPCG(uint64(v), 1))
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(5 * time.Millisecond) {
			if c, miss := tb.Pick(now, r, &Request{Service: "s", Work: 1}); miss == Picked {
				require.True(t, c.Cold)
				at = append(at, now)
				tb.Done(now, c, Good)
			} else {
				require.Equal(t, AllCold, miss)
			}
		}
	}
	for _, from := range at {
		n := 0
		for _, x := range at {
			if !x.Before(from) && x.Before(from.Add(time.Second)) {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), 1.5*rate+1)
	}
}

// A VM without a share of a cold endpoint's rate sends it nothing; warm endpoints go first.
func TestColdEndpoints(t *testing.T) {
	tb, r := table(1), rng()
	tb.Set(start, Spec{ID: "cold", Service: "s", DataCentre: "a", Slots: 8, Cold: 3 * time.Second, ColdRate: func() float64 { return 5 }})
	for range 20 {
		c, _ := tb.Pick(start, r, &Request{Service: "s", Work: 1})
		require.Equal(t, "e00", c.ID)
	}
	tb = New("a")
	tb.Set(start, Spec{ID: "cold", Service: "s", DataCentre: "a", Slots: 8, Cold: 3 * time.Second, ColdRate: func() float64 { return 0 }})
	_, miss := tb.Pick(start, r, &Request{Service: "s", Work: 1})
	require.Equal(t, AllCold, miss)
	_, miss = tb.Pick(start.Add(4*time.Second), r, &Request{Service: "s", Work: 1})
	require.Equal(t, Picked, miss)
}

// Requests with a shared prefix go to the same two endpoints on each VM until the work there
// exceeds the cost of reading the prefix again.
func TestSharedPartStaysTogether(t *testing.T) {
	used := map[string]int{}
	for v := range 5 {
		tb, r := table(12), rand.New(rand.NewPCG(uint64(v), 3))
		for range 8 {
			c, _ := tb.Pick(start, r, &Request{Service: "s", Work: 1, Affinity: "part", Saving: 6})
			used[c.ID]++
		}
	}
	require.Len(t, used, 2)
	tb, r := table(12), rng()
	spread := map[string]int{}
	for range 100 {
		c, _ := tb.Pick(start, r, &Request{Service: "s", Work: 1, Affinity: "part", Saving: 6})
		spread[c.ID]++
	}
	require.Len(t, spread, 12)
	for _, n := range spread {
		require.LessOrEqual(t, n, 15)
	}
}

// Guards against herding: seven VMs decide independently, each from its own requests, and no
// endpoint may get many more requests than the others.
func TestVMsDoNotHerd(t *testing.T) {
	const vms, endpoints = 7, 9
	var tables []*Table
	for range vms {
		tables = append(tables, table(endpoints))
	}
	running, most := map[string]int{}, 0
	type job struct {
		vm  int
		c   Choice
		end time.Time
	}
	var jobs []job
	r := rng()
	for i := range 4000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		kept := jobs[:0]
		for _, j := range jobs {
			if j.end.After(now) {
				kept = append(kept, j)
				continue
			}
			running[j.c.ID]--
			tables[j.vm].Done(now, j.c, Good)
		}
		jobs = kept
		vm := r.IntN(vms)
		c, miss := tables[vm].Pick(now, r, &Request{Service: "s", Work: 1})
		require.Equal(t, Picked, miss)
		running[c.ID]++
		most = max(most, running[c.ID])
		jobs = append(jobs, job{vm, c, now.Add(time.Duration(200+r.IntN(200)) * time.Millisecond)})
	}
	// About 30 requests run at once on 9 endpoints, 3.3 each.
	require.LessOrEqual(t, most, 9)
}

func TestEligibleEndpoints(t *testing.T) {
	tb, r := New("a"), rng()
	tb.Set(start, Spec{ID: "old", Service: "s", DataCentre: "a", Region: "x", Version: "v1", Slots: 8})
	tb.Set(start, Spec{ID: "new", Service: "s", DataCentre: "b", Region: "y", Version: "v2", Slots: 8})
	tb.Set(start, Spec{ID: "leaving", Service: "s", DataCentre: "b", Region: "y", Version: "v1", Slots: 8, Draining: true})
	tb.SetOut(map[string]bool{"c": true})
	for want, req := range map[string]*Request{
		"old": {Service: "s", NotVersion: "v2"},
		"new": {Service: "s", Version: "v2"},
	} {
		c, miss := tb.Pick(start, r, req)
		require.Equal(t, Picked, miss)
		require.Equal(t, want, c.ID)
	}
	_, miss := tb.Pick(start, r, &Request{Service: "s", Version: "v1", Regions: []string{"y"}})
	require.Equal(t, NoEndpoint, miss)
	_, miss = tb.Pick(start, r, &Request{Service: "none"})
	require.Equal(t, NoEndpoint, miss)
	tb.SetOut(map[string]bool{"a": true, "b": true})
	_, miss = tb.Pick(start, r, &Request{Service: "s"})
	require.Equal(t, NoEndpoint, miss)
}

func BenchmarkPick60(b *testing.B) {
	tb, r := table(60), rng()
	req := &Request{Service: "s", Work: 1, Affinity: "part", Saving: 6}
	b.ReportAllocs()
	for b.Loop() {
		c, _ := tb.Pick(start, r, req)
		tb.Done(start, c, Good)
	}
}

// In a pool of three thousand engines a choice looks at a sample. It must still find an idle
// engine, keep a shared prefix on the engines that all VMs prefer for it, and find the only
// eligible endpoint.
func TestChoiceAmongThousands(t *testing.T) {
	const n = 3000
	a, b := table(n), table(n)
	r := rng()
	used := make(map[string]int)
	for i := range 400 {
		tb := a
		if i%2 == 1 {
			tb = b
		}
		c, miss := tb.Pick(start, r, &Request{Service: "s", Work: 1, Affinity: "part", Saving: 1e6})
		require.Equal(t, Picked, miss)
		used[c.ID]++
		tb.Done(start, c, Good)
	}
	require.LessOrEqual(t, len(used), affinityReplicas, "both VMs keep the prefix on the same engines")

	setPeerLoad(a, start, func(id string) EndpointLoad {
		if id < "e2900" {
			return EndpointLoad{Work: 50}
		}
		return EndpointLoad{}
	})
	idle := 0
	for range 200 {
		c, _ := a.Pick(start, r, &Request{Service: "s", Work: 1})
		if c.ID >= "e2900" {
			idle++
		}
	}
	require.Greater(t, idle, 150, "one engine in thirty is idle")

	a.Set(start, Spec{ID: "only", Service: "s", DataCentre: "a", Version: "v2", Slots: 8})
	c, miss := a.Pick(start, r, &Request{Service: "s", Work: 1, Version: "v2"})
	require.Equal(t, Picked, miss)
	require.Equal(t, "only", c.ID)
	require.Len(t, a.LocalLoad(start), 201, "only endpoints with work under way are reported")
}
