package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/policy/speed"
)

// unevenFleet is a load on engines that differ in speed and turn slow for a while.
type unevenFleet struct {
	vms, engines int
	rate         float64 // prompts a second
	// slowdown returns how many times longer than usual the engine's work takes.
	slowdown func(engine int, at time.Duration) float64
}

// unevenWay is what the VMs know.
type unevenWay struct{ managed, sums, stated bool }

// play lets VMs place prompts for 14 s and returns the sorted times to the first events after 3 s.
func (f unevenFleet) play(seed uint64, way unevenWay) []time.Duration {
	r := rand.New(rand.NewPCG(seed, 9))
	tables := make([]*Table, f.vms)
	for i := range tables {
		tables[i] = table(f.engines)
		if way.managed {
			tables[i].SetAllManaged()
		}
	}
	free, work := make(map[string]time.Time), make(map[string]float64)
	type job struct {
		vm   int
		c    Choice
		end  time.Time
		work float64
	}
	var jobs []job
	var out []time.Duration
	step := time.Duration(float64(time.Second) / f.rate)
	exchanged := start
	for now := start; now.Before(start.Add(14 * time.Second)); now = now.Add(step) {
		jobs = slices.DeleteFunc(jobs, func(j job) bool {
			if j.end.After(now) {
				return false
			}
			tb := tables[j.vm]
			if way.stated {
				tb.ReportSlowdown(j.end, j.c.ID, int(100*f.slowdown(engineOf(j.c.ID), j.end.Sub(start))/unevenSpeed(engineOf(j.c.ID))))
			}
			tb.FirstEvent(j.end, j.c)
			tb.PromptRead(j.end, j.c)
			tb.Done(j.end, j.c, Good)
			work[j.c.ID] -= j.work
			return true
		})
		if way.sums && now.Sub(exchanged) >= 500*time.Millisecond {
			exchanged = now
			exchangePaces(now, tables)
		}
		vm := r.IntN(f.vms)
		own := tables[vm].LocalLoad(now)
		setPeerLoad(tables[vm], now, func(id string) EndpointLoad { return EndpointLoad{Work: max(work[id]-own[id].Work, 0)} })
		// Sizes are log-normal with a mean of 8 thousand tokens; reading takes 9 ms per thousand.
		tokens := min(3*math.Exp(1.4*r.NormFloat64()), 60)
		c, _ := tables[vm].Pick(now, r, &Request{Service: "s", Work: 1, Prefill: tokens})
		begin := now
		if free[c.ID].After(now) {
			begin = free[c.ID]
		}
		factor := f.slowdown(engineOf(c.ID), begin.Sub(start))
		free[c.ID] = begin.Add(time.Duration(tokens * 9 * factor * float64(time.Millisecond)))
		if now.Sub(start) > 3*time.Second {
			out = append(out, free[c.ID].Sub(now))
		}
		work[c.ID] += 1 + tokens
		jobs = append(jobs, job{vm, c, free[c.ID], 1 + tokens})
	}
	slices.Sort(out)
	return out
}

func engineOf(id string) (n int) {
	_, _ = fmt.Sscanf(id, "e%d", &n)
	return n
}

// unevenSpeed is the usual time of an engine's work: speeds of 0.6, 1 and 1.6.
func unevenSpeed(engine int) float64 { return []float64{1 / 0.6, 1, 1 / 1.6}[engine%3] }

// exchangePaces sets the sums over all tables in each of them.
func exchangePaces(now time.Time, tables []*Table) {
	totals := make(map[uint32]speed.Sums)
	for _, t := range tables {
		for _, p := range t.Paces(now) {
			s := totals[p.Endpoint]
			totals[p.Endpoint] = speed.Sums{Log: s.Log + p.Log, Weight: s.Weight + p.Weight}
		}
	}
	var list []Pace
	for endpoint, s := range totals {
		list = append(list, Pace{Endpoint: endpoint, Sums: s})
	}
	for _, t := range tables {
		t.SetPaces(now, list)
	}
}

// Guards against requests that queue at slow engines while fast ones idle: engines with speeds of 0.6, 1 and 1.6, of which some are slow for moments of 0.6 s, or a third for seconds.
func TestWorkFollowsSpeed(t *testing.T) {
	for name, slow := range map[string]func(int, time.Duration) float64{
		"speeds": func(e int, _ time.Duration) float64 { return unevenSpeed(e) },
		"moments": func(e int, at time.Duration) float64 {
			if (e*7919+int(at/(600*time.Millisecond))*104729)%100 < 15 {
				return 2.5 * unevenSpeed(e)
			}
			return unevenSpeed(e)
		},
		"seconds": func(e int, at time.Duration) float64 {
			if e/3%3 == 0 && at > 6*time.Second {
				return 4.5 * unevenSpeed(e)
			}
			return unevenSpeed(e)
		},
	} {
		fleet := unevenFleet{vms: 12, engines: 30, rate: 220, slowdown: slow}
		for _, seed := range []uint64{1, 2} {
			p := func(w []time.Duration, part float64) time.Duration { return w[int(float64(len(w))*part)] }
			before := fleet.play(seed, unevenWay{})
			own := fleet.play(seed, unevenWay{managed: true})
			shared := fleet.play(seed, unevenWay{managed: true, sums: true})
			stated := fleet.play(seed, unevenWay{managed: true, sums: true, stated: true})
			for _, w := range [][]time.Duration{before, own, shared, stated} {
				t.Logf("%s, seed %d: p50 %v p90 %v p99 %v", name, seed, p(w, .5), p(w, .9), p(w, .99))
			}
			require.Less(t, p(own, .9), p(before, .9), name)
			require.Less(t, p(shared, .9), p(before, .9)*4/5, name)
			require.Less(t, p(stated, .9), p(before, .9)*4/5, name)
			require.Less(t, p(stated, .99), p(before, .99)*7/10, name)
		}
	}
}

var plainTimes = []time.Duration{75 * time.Millisecond, 30 * time.Millisecond, 30 * time.Millisecond, 19 * time.Millisecond}

// playPlain lets VMs place requests of a plain service for 12 s at four endpoints with six slots, of
// which the first takes 2.5 times as long as usual (plainTimes). It returns the shares of the arrivals at
// endpoints that were rejected, and of the answers that came from the slow endpoint.
func playPlain(seed uint64, managed, loadUnknown bool) (rejected, slow float64) {
	const vms, endpoints, rate, slots = 30, 4, 280, 6
	r := rand.New(rand.NewPCG(seed, 5))
	tables := make([]*Table, vms)
	for i := range tables {
		tables[i] = table(endpoints)
		if managed {
			tables[i].SetAllManaged()
		}
	}
	type job struct {
		vm  int
		c   Choice
		end time.Time
	}
	var jobs []job
	running := make(map[string]int)
	var arrivals, rejections, answers, fromSlow float64
	exchanged := start
	for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(time.Millisecond) {
		jobs = slices.DeleteFunc(jobs, func(j job) bool {
			if j.end.After(now) {
				return false
			}
			running[j.c.ID]--
			tables[j.vm].Done(j.end, j.c, Good)
			return true
		})
		if now.Sub(exchanged) >= 500*time.Millisecond {
			exchanged = now
			exchangePaces(now, tables)
		}
		if r.Float64() >= rate/1000.0 {
			continue
		}
		vm := r.IntN(vms)
		tables[vm].SetPeerLoad(now, nil) // the load of streams is known
		req := &Request{Service: "s", Work: 1, LoadUnknown: loadUnknown}
		for c, miss := tables[vm].Pick(now, r, req); miss == Picked; c, miss = tables[vm].Pick(now, r, req) {
			arrivals++
			if running[c.ID] == slots {
				rejections++
				tables[vm].Done(now, c, AtCapacity)
				req.Exclude = append(req.Exclude, c.ID)
				continue
			}
			answers++
			if c.ID == "e00" {
				fromSlow++
			}
			running[c.ID]++
			jobs = append(jobs, job{vm, c, now.Add(plainTimes[engineOf(c.ID)])})
			break
		}
	}
	return rejections / arrivals, fromSlow / answers
}

// Guards against a slow plain endpoint that gets as many requests as the others and rejects many, and against VMs that all send to the fastest endpoint because none knows what the others send.
func TestPlainWorkFollowsSpeed(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		before, evenly := playPlain(seed, false, true)
		fastest, _ := playPlain(seed, true, false)
		spread, share := playPlain(seed, true, true)
		t.Logf("seed %d: rejected before %.3f, always the fastest %.3f, spread %.3f; slow endpoint's share %.3f, then %.3f", seed, before, fastest, spread, evenly, share)
		require.Less(t, spread, before/2)
		require.Less(t, spread, fastest/2)
		require.Less(t, share, evenly*3/4)
	}
}
