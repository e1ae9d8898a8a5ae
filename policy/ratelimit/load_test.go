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

// day is a load of requests at random VMs. A VM prefers limited endpoints, which are idle, and asks
// for at most maxQueries of them; a denied one is left out for the time that the limiter names.
type day struct {
	vms, endpoints, limited int
	limit                   float64 // of each limited endpoint, in requests a second
	perSecond               int
	length                  time.Duration
	seed                    uint64
}

// dayResult counts the requests of a day.
type dayResult struct {
	sent, unserved, atLimited int
	asked                     int // questions for a request at a limited endpoint
	worstWindow               int // the most requests that a limited endpoint got in a window
}

// limiter decides on one request of a VM at an endpoint. It returns 0 if the request may be sent,
// and otherwise how long the VM leaves the endpoint out.
type limiter func(now time.Time, vm int, endpoint rendezvous.Hash) time.Duration

const (
	maxQueries = 4   // in a choice
	maxScarce  = 16  // the same where all endpoints are limited
	sampleSize = 100 // of the endpoints, in a choice
)

// play plays a day with a limiter. If paced, VMs adapt how often they ask; otherwise they ask again
// as soon as a request may be granted.
func (d day) play(allow limiter, paced bool) (out dayResult) {
	rng := rand.New(rand.NewPCG(d.seed, 35))
	arrivals := make([][]time.Time, d.endpoints)
	paces := make([]map[int]*Pace, d.vms)
	for i := range paces {
		paces[i] = make(map[int]*Pace)
	}
	for i := range int(d.length.Seconds()) * d.perSecond {
		now := start.Add(time.Duration((float64(i) + rng.Float64()) * float64(time.Second) / float64(d.perSecond)))
		vm := rng.IntN(d.vms)
		out.sent++
		// ask asks for up to most of the limited endpoints in a sample.
		ask := func(most int, needed bool) bool {
			from, n := rng.IntN(d.endpoints), min(d.endpoints, sampleSize)
			for j := range n {
				e := (from + j*d.endpoints/n) % d.endpoints
				pace := paces[vm][e]
				if pace == nil {
					pace = &Pace{}
					paces[vm][e] = pace
				}
				if e >= d.limited || !pace.MayAsk(now, needed || !paced) {
					continue
				}
				if most--; most < 0 {
					return false
				}
				out.asked++
				wait := allow(now, vm, endpointHash(e))
				if wait == 0 {
					out.atLimited++
					arrivals[e] = append(arrivals[e], now)
					return true
				}
				pace.Denied(now, wait, AskInterval(d.vms, d.limit))
			}
			return false
		}
		if !ask(maxQueries, false) && d.limited == d.endpoints && !ask(maxScarce, true) {
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
	return func(now time.Time, _ int, e rendezvous.Hash) time.Duration { return b.Take(now, e, d.limit, First) }
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
	return func(now time.Time, vm int, e rendezvous.Hash) time.Duration {
		if !slices.Contains(ranks[e], names[vm]) {
			return time.Hour
		}
		return own[vm].Take(now, e, d.limit/float64(sharing), First)
	}
}

// alone keeps to the whole limit at each VM.
func (d day) alone() limiter {
	own := make([]*Buckets, d.vms)
	for i := range own {
		own[i] = NewBuckets()
	}
	return func(now time.Time, vm int, e rendezvous.Hash) time.Duration {
		return own[vm].Take(now, e, d.limit, First)
	}
}

const (
	// questionBytes is the size of a question and its answer, with the heads of their packets, at the
	// VM that asks and at the keeper.
	questionBytes = 2 * (46 + 20 + 2*28)
	// controlBytes is the target for all traffic between VMs, in bytes a second and VM.
	controlBytes = 14e3
)

// questions returns the questions a second and VM.
func (d day) questions(r dayResult) float64 {
	return float64(r.asked) / d.length.Seconds() / float64(d.vms)
}

// days are a few limited endpoints among others, and fleets all of whose endpoints are limited to a
// little more than is asked.
func days(seed uint64) map[string]day {
	const length = 20 * time.Second
	return map[string]day{
		"7 VMs, a third limited":   {vms: 7, endpoints: 9, limited: 3, limit: 1, perSecond: 30, length: length, seed: seed},
		"7 VMs, all limited":       {vms: 7, endpoints: 9, limited: 9, limit: 1, perSecond: 8, length: length, seed: seed},
		"7 VMs, all limited to 10": {vms: 7, endpoints: 9, limited: 9, limit: 10, perSecond: 80, length: length, seed: seed},
		"195 VMs, a third limited": {vms: 195, endpoints: 66, limited: 22, limit: 1, perSecond: 300, length: length, seed: seed},
		"195 VMs, all limited":     {vms: 195, endpoints: 66, limited: 66, limit: 1, perSecond: 60, length: length, seed: seed},
		"400 VMs, a tenth limited": {vms: 400, endpoints: 2000, limited: 200, limit: 2, perSecond: 12000, length: length / 5, seed: seed},
	}
}

// Guards against endpoints that get more than their limit, and against refusals while there is room within the limits.
func TestLimitsUnderLoad(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		for name, d := range days(seed) {
			if d.vms == 400 && seed > 1 {
				continue // as long as all others together
			}
			keeper, eager := d.play(d.byKeeper(), true), d.play(d.byKeeper(), false)
			share, alone := d.play(d.byShare(), true), d.play(d.alone(), true)
			t.Logf("%s, seed %d, %d requests, allowed %d in a window", name, seed, keeper.sent, allowed(d.limit))
			for way, r := range map[string]dayResult{"keeper": keeper, "eager": eager, "shares": share, "alone": alone} {
				t.Logf("  %-6s  worst window %3d, unserved %5d, at limited endpoints %5d, %.1f questions a second and VM", way, r.worstWindow, r.unserved, r.atLimited, d.questions(r))
			}
			require.LessOrEqual(t, keeper.worstWindow, allowed(d.limit), name)
			require.LessOrEqual(t, keeper.unserved, share.unserved, name)
			require.LessOrEqual(t, d.questions(keeper)*questionBytes, controlBytes, name)
			if d.limited < d.endpoints {
				require.Zero(t, keeper.unserved, name)
			}
		}
	}
}
