package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/rendezvous"
)

// The target of an endpoint's limit: in any window it gets at most factor times what the limit
// allows, and slack requests.
const (
	window = 4 * time.Second
	factor = 1.5
	slack  = 5.0
)

// day is a load of requests at random VMs, each of which takes any endpoint that has room.
type day struct {
	vms, endpoints, limited int
	limit                   float64 // of each limited endpoint, in requests a second
	perSecond               int
	seed                    uint64
}

// dayResult counts the requests of a day.
type dayResult struct {
	sent, unserved, atLimited int
	worstWindow               int // the most requests that a limited endpoint got in a window
}

// limiter decides on one request of a VM at an endpoint.
type limiter func(now time.Time, vm int, endpoint rendezvous.Hash) (ok bool)

const dayLength = 20 * time.Second

// play plays a day with a limiter.
func (d day) play(allow limiter) (out dayResult) {
	rng := rand.New(rand.NewPCG(d.seed, 35))
	arrivals := make([][]time.Time, d.endpoints)
	for i := range int(dayLength.Seconds()) * d.perSecond {
		now := start.Add(time.Duration((float64(i) + rng.Float64()) * float64(time.Second) / float64(d.perSecond)))
		vm := rng.IntN(d.vms)
		out.sent++
		served := false
		for _, e := range rng.Perm(d.endpoints) {
			if e >= d.limited {
				served = true
				break
			}
			if allow(now, vm, endpointHash(e)) {
				served = true
				out.atLimited++
				arrivals[e] = append(arrivals[e], now)
				break
			}
		}
		if !served {
			out.unserved++
		}
	}
	for _, list := range arrivals {
		out.worstWindow = max(out.worstWindow, busiest(list))
	}
	return out
}

// busiest returns the most arrivals in any window.
func busiest(sorted []time.Time) (most int) {
	from := 0
	for i, at := range sorted {
		for at.Sub(sorted[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

func endpointHash(i int) rendezvous.Hash { return rendezvous.HashOf(fmt.Sprint("e", i)) }

// allowed is the target for a limit.
func allowed(limit float64) int { return int(factor*limit*window.Seconds() + slack) }

// byKeeper asks the bucket of one VM for each request.
func (d day) byKeeper() limiter {
	b := NewBuckets()
	return func(now time.Time, _ int, e rendezvous.Hash) bool { return b.Take(now, e, d.limit, First) == 0 }
}

// byShare splits a limit in equal parts among the VMs that rank first for the endpoint, as many as
// may send one request each at once within the target.
func (d day) byShare() limiter {
	names := make([]string, d.vms)
	for i := range names {
		names[i] = fmt.Sprint("vm", i)
	}
	sharing := min(d.vms, allowed(d.limit)-int(d.limit*window.Seconds()))
	own := make([]*Buckets, d.vms)
	for i := range own {
		own[i] = NewBuckets()
	}
	ranks := make(map[rendezvous.Hash][]string)
	for e := range d.endpoints {
		ranks[endpointHash(e)] = rendezvous.Rank(fmt.Sprint("e", e), names)[:sharing]
	}
	return func(now time.Time, vm int, e rendezvous.Hash) bool {
		return slices.Contains(ranks[e], names[vm]) && own[vm].Take(now, e, d.limit/float64(sharing), First) == 0
	}
}

// alone keeps to the whole limit at each VM.
func (d day) alone() limiter {
	own := make([]*Buckets, d.vms)
	for i := range own {
		own[i] = NewBuckets()
	}
	return func(now time.Time, vm int, e rendezvous.Hash) bool { return own[vm].Take(now, e, d.limit, First) == 0 }
}

// days are a few limited endpoints among others, and fleets all of whose endpoints are limited to a
// little more than is asked.
func days(seed uint64) map[string]day {
	return map[string]day{
		"7 VMs, a third limited":   {vms: 7, endpoints: 9, limited: 3, limit: 1, perSecond: 30, seed: seed},
		"7 VMs, all limited":       {vms: 7, endpoints: 9, limited: 9, limit: 1, perSecond: 8, seed: seed},
		"7 VMs, all limited to 10": {vms: 7, endpoints: 9, limited: 9, limit: 10, perSecond: 80, seed: seed},
		"195 VMs, a third limited": {vms: 195, endpoints: 66, limited: 22, limit: 1, perSecond: 300, seed: seed},
		"195 VMs, all limited":     {vms: 195, endpoints: 66, limited: 66, limit: 1, perSecond: 60, seed: seed},
	}
}

// Guards against endpoints that get more than their limit, and against refusals while there is room within the limits.
func TestLimitsUnderLoad(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		for name, d := range days(seed) {
			keeper, share, alone := d.play(d.byKeeper()), d.play(d.byShare()), d.play(d.alone())
			t.Logf("%s, seed %d, %d requests, allowed %d in a window", name, seed, keeper.sent, allowed(d.limit))
			for way, r := range map[string]dayResult{"keeper": keeper, "shares": share, "alone": alone} {
				t.Logf("  %-6s worst window %3d, unserved %5d, at limited endpoints %5d", way, r.worstWindow, r.unserved, r.atLimited)
			}
			require.LessOrEqual(t, keeper.worstWindow, allowed(d.limit), name)
			require.LessOrEqual(t, keeper.unserved, share.unserved, name)
			if d.limited < d.endpoints {
				require.Zero(t, keeper.unserved, name)
			}
		}
	}
}
