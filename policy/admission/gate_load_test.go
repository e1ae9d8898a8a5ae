package admission

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// 75 VMs, 60 endpoints with 8 slots and a queue of 16 each, 24 accounts.
const (
	simVMs, simEndpoints, simSlots, simQueue = 75, 60, 8, 16

	simAccounts = 24
	simEnd      = 20 * time.Second
)

type simKind struct {
	part                 float64 // of the requests
	hold, target, within time.Duration
}

// simService is the endpoints of a service and its kinds of requests, by rank.
type simService struct {
	endpoints, slots, queue int
	kinds                   []simKind
	step                    time.Duration
	speeds                  []float64 // of the endpoints, in turn
}

var (
	simEngines = simService{simEndpoints, simSlots, simQueue, []simKind{
		{0.26, 2500 * time.Millisecond, time.Second, 15 * time.Second},
		{0.25, 4 * time.Second, 1500 * time.Millisecond, 20 * time.Second},
		{0.49, 600 * time.Millisecond, time.Second, 4 * time.Second},
	}, 5 * time.Millisecond, []float64{0.8, 1, 1.25}}
	// simPlain has endpoints without a queue.
	simPlain = simService{5, 6, 0, []simKind{{1, 60 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond}}, time.Millisecond, []float64{1}}
)

// simDay is a load. From 5 s on three accounts send `loud` times their usual requests. From 9 to 15 s all
// traffic is `surge` times the usual, from 10 to 16 s two endpoints in five are gone if outage is set.
type simDay struct {
	service     simService // simEngines if it has no endpoints
	use         float64    // share of the slots in use on a calm day
	loud, surge float64
	outage      bool
	// network is the time that answers are under way after they left their slot.
	network time.Duration
	// untried is the share of the endpoints that run a version that no request may use yet.
	untried float64
}

func isLoud(account int) bool { return account == 1 || account == 4 || account == 9 }

type simPolicy string

const (
	simNone   simPolicy = "none"    // no admission
	simOwn    simPolicy = "own"     // each VM refuses by the rejections that it sees
	simByRank simPolicy = "by-rank" // Gate without the usual demands: by rank and equal shares only
	simFleet  simPolicy = "fleet"   // Gate
)

type simRequest struct {
	account, kind, vm       int
	arrived, sent, deadline time.Duration
	returned                bool
}

func (s *sim) first(r *simRequest) time.Duration {
	return r.deadline - s.day.service.kinds[r.kind].within
}

type simRun struct {
	*simRequest
	ends, held time.Duration
}

type simEndpoint struct {
	gone    bool
	speed   float64
	running []simRun
	queue   []*simRequest
}

// simCount counts requests; served ones begin within the target of their kind.
type simCount struct{ arrived, served float64 }

func (c simCount) share() float64 { return c.served / max(c.arrived, 1) }

type simGroup struct {
	second int // of the first arrival
	loud   bool
	kind   int
}

type sim struct {
	day        simDay
	policy     simPolicy
	rng        *rand.Rand
	at         time.Duration
	gates      []*Gate
	endpoints  []*simEndpoint
	returns    []*simRequest
	answers    []simRun                  // under way to their VM, until ends
	current    []Figure                  // totals that were collected last
	lost       func(s *sim, vm int) bool // whether a VM gets no totals now; may be nil
	refuse     [simVMs]float64           // simOwn: probability
	own        [simVMs]simCount          // simOwn: attempts, and rejections as served
	counts     map[simGroup]simCount
	firstTry   simCount // admitted among those under limits
	secondTry  simCount
	attempts   int
	rejections int
	refusals   int
}

func (s *sim) now() time.Time { return time.Unix(1000, 0).Add(s.at) }

// served returns the share of the requests of a kind that were served, of those that arrived from second
// a to b.
func (s *sim) served(loud bool, kind, a, b int) float64 {
	var sum simCount
	for g, c := range s.counts {
		if g.loud == loud && g.kind == kind && g.second >= a && g.second < b {
			sum = simCount{sum.arrived + c.arrived, sum.served + c.served}
		}
	}
	return sum.share()
}

func runSim(policy simPolicy, seed uint64, day simDay, lost func(*sim, int) bool) *sim {
	if day.service.endpoints == 0 {
		day.service = simEngines
	}
	s := &sim{day: day, policy: policy, lost: lost, rng: rand.New(rand.NewPCG(seed, 1)), counts: make(map[simGroup]simCount)}
	for i := range simVMs {
		s.gates = append(s.gates, NewGate("s", rand.New(rand.NewPCG(seed, uint64(i)))))
	}
	for i := range day.service.endpoints {
		s.endpoints = append(s.endpoints, &simEndpoint{speed: day.service.speeds[i%len(day.service.speeds)], gone: float64(i) < day.untried*float64(day.service.endpoints)})
	}
	arrivals := simArrivals(seed, day)
	for ; s.at < simEnd; s.at += day.service.step {
		s.stepEndpoints()
		due := s.returns
		s.returns = nil
		for len(arrivals) > 0 && arrivals[0].arrived <= s.at {
			due, arrivals = append(due, arrivals[0]), arrivals[1:]
		}
		for _, r := range due {
			if r.arrived <= s.at {
				s.arrive(r)
			} else {
				s.returns = append(s.returns, r)
			}
		}
		if s.at%(250*time.Millisecond) == 0 {
			s.exchange()
		}
	}
	return s
}

// simArrivals returns all first requests, the same for each policy.
func simArrivals(seed uint64, day simDay) (out []*simRequest) {
	rng := rand.New(rand.NewPCG(seed, 2))
	hold, weights := 0.0, 0.0
	for _, k := range day.service.kinds {
		hold += k.part * k.hold.Seconds()
	}
	weight := func(account int) float64 { return math.Pow(float64(account+1), -0.7) }
	for a := range simAccounts {
		weights += weight(a)
	}
	for a := range simAccounts {
		for k, kind := range day.service.kinds {
			rate := day.use * float64(day.service.endpoints*day.service.slots) / hold * kind.part * weight(a) / weights
			for at := time.Duration(0); at < simEnd; {
				times := 1.0
				if isLoud(a) && at >= 5*time.Second {
					times *= day.loud
				}
				if at >= 9*time.Second && at < 15*time.Second {
					times *= day.surge
				}
				at += time.Duration(rng.ExpFloat64() / (times * rate) * float64(time.Second))
				out = append(out, &simRequest{account: a, kind: k, arrived: at, deadline: at + kind.within})
			}
		}
	}
	slices.SortFunc(out, func(a, b *simRequest) int { return cmp.Compare(a.arrived, b.arrived) })
	return out
}

func (s *sim) count(r *simRequest, c simCount) {
	g := simGroup{int(s.first(r) / time.Second), isLoud(r.account), r.kind}
	s.counts[g] = simCount{s.counts[g].arrived + c.arrived, s.counts[g].served + c.served}
}

func (s *sim) arrive(r *simRequest) {
	r.vm = s.rng.IntN(simVMs)
	if !r.returned {
		s.count(r, simCount{arrived: 1})
	}
	if admitted, after := s.admit(r); !admitted {
		s.refusals++
		s.comeBack(r, after)
		return
	}
	var tried []*simEndpoint
	for range 3 {
		e := s.pick(tried)
		if s.day.service.queue == 0 {
			tried = append(tried, e)
		}
		s.attempts++
		s.own[r.vm].arrived++
		s.gates[r.vm].Sent(s.now(), "v1")
		if len(e.running)+len(e.queue) < s.day.service.slots+s.day.service.queue {
			r.sent = s.at
			e.queue = append(e.queue, r)
			s.start(e)
			return
		}
		s.rejections++
		s.own[r.vm].served++
		s.gates[r.vm].Ended(s.now(), true)
	}
	s.comeBack(r, (r.deadline-s.at)/4)
}

// comeBack lets a refused caller return once.
func (s *sim) comeBack(r *simRequest, after time.Duration) {
	if !r.returned {
		s.returns = append(s.returns, &simRequest{account: r.account, kind: r.kind, arrived: s.at + after, deadline: r.deadline, returned: true})
	}
}

func (s *sim) admit(r *simRequest) (bool, time.Duration) {
	switch s.policy {
	case simNone:
		return true, 0
	case simOwn:
		return s.rng.Float64() >= s.refuse[r.vm], (r.deadline - s.at) / 4
	}
	v := s.gates[r.vm].Arrive(s.now(), Arrival{Account: fmt.Sprint(r.account), Rank: r.kind, Left: r.deadline - s.at, Returning: r.returned})
	if v.Share < 1 {
		c := &s.firstTry
		if r.returned {
			c = &s.secondTry
		}
		c.arrived++
		if v.Outcome == Run {
			c.served++
		}
	}
	return v.Outcome == Run, v.RetryAfter
}

// pick returns the least loaded of three endpoints, as a placement whose view of the load is late.
func (s *sim) pick(tried []*simEndpoint) (best *simEndpoint) {
	for found := 0; found < 3; {
		e := s.endpoints[s.rng.IntN(s.day.service.endpoints)]
		if e.gone || slices.Contains(tried, e) {
			continue
		}
		found++
		if best == nil || len(e.running)+len(e.queue) < len(best.running)+len(best.queue) {
			best = e
		}
	}
	return best
}

// start begins the requests for which the endpoint has free slots, the most urgent first.
func (s *sim) start(e *simEndpoint) {
	for len(e.running) < s.day.service.slots && len(e.queue) > 0 {
		first := 0
		for i, r := range e.queue {
			if r.kind < e.queue[first].kind {
				first = i
			}
		}
		r := e.queue[first]
		e.queue = slices.Delete(e.queue, first, first+1)
		if s.at-s.first(r) <= s.day.service.kinds[r.kind].target {
			s.count(r, simCount{served: 1})
		}
		hold := time.Duration((0.5 + s.rng.Float64()) / e.speed * float64(s.day.service.kinds[r.kind].hold))
		inSlot := min(float64(s.day.service.slots)/float64(len(e.running)+len(e.queue)+1), 1)
		e.running = append(e.running, simRun{simRequest: r, ends: s.at + hold, held: hold + time.Duration(inSlot*float64(s.at-r.sent))})
	}
}

// stepEndpoints ends and starts requests at endpoints, and lets endpoints go and come back.
func (s *sim) stepEndpoints() {
	for i, e := range s.endpoints {
		if s.day.outage && i%5 < 2 {
			e.gone = s.at >= 10*time.Second && s.at < 16*time.Second
		}
		if e.gone {
			for _, run := range e.running {
				e.queue = append(e.queue, run.simRequest)
			}
			for _, r := range e.queue {
				s.gates[r.vm].Ended(s.now(), false)
			}
			e.running, e.queue = nil, nil
		}
		e.running = slices.DeleteFunc(e.running, func(run simRun) bool {
			if run.ends > s.at {
				return false
			}
			s.gates[run.vm].ReportLoad(s.now(), len(e.running)+len(e.queue), s.day.service.slots)
			run.ends, run.held = s.at+s.day.network, run.held+s.day.network
			if s.day.network > 0 {
				s.answers = append(s.answers, run)
			} else {
				s.answered(run)
			}
			return true
		})
		s.start(e)
	}
	s.answers = slices.DeleteFunc(s.answers, func(run simRun) bool {
		if run.ends > s.at {
			return false
		}
		s.answered(run)
		return true
	})
}

// answered lets a VM get an answer.
func (s *sim) answered(run simRun) {
	s.gates[run.vm].Ended(s.now(), false)
	s.gates[run.vm].Held(s.now(), run.kind, run.held)
}

// exchange collects the totals twice a second and passes them on a quarter of a second later: VMs send at
// times of their own, and a keeper answers with the last lists that it has.
func (s *sim) exchange() {
	collect := s.at%(500*time.Millisecond) == 0
	slots := map[string]int{"v1": 0, "v2": int(s.day.untried * float64(s.day.service.endpoints*s.day.service.slots))}
	for _, e := range s.endpoints {
		if !e.gone {
			slots["v1"] += s.day.service.slots
		}
	}
	for vm, g := range s.gates {
		if !collect && s.current != nil && (s.lost == nil || !s.lost(s, vm)) {
			g.ApplyTotals(s.now(), s.current)
		}
		g.Evaluate(s.now(), Capacity{Slots: slots, VMs: simVMs})
		if s.policy == simByRank {
			clear(g.state.usual)
		}
		if collect {
			s.refuse[vm] = max(s.refuse[vm]-0.05, 0)
			if s.own[vm].share() > maxRejections {
				s.refuse[vm] = min(s.refuse[vm]+0.2, 0.95)
			}
			s.own[vm] = simCount{}
		}
	}
	if collect {
		s.current = simTotals(s.now(), s.gates)
	}
}

// simTotals sums the figures as fleet/tally does, which keeps the 70 with the largest B.
func simTotals(now time.Time, gates []*Gate) (out []Figure) {
	out = []Figure{} // VMs get totals also while no service has requests
	total := make(map[uint32]Figure)
	for _, g := range gates {
		for _, f := range g.Figures(now) {
			total[f.Key] = Figure{Key: f.Key, A: total[f.Key].A + f.A, B: total[f.Key].B + f.B}
		}
	}
	for _, f := range total {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b Figure) int { return cmp.Or(cmp.Compare(b.B, a.B), cmp.Compare(a.Key, b.Key)) })
	return out[:min(len(out), 70)]
}

var overloadedDay = simDay{use: 0.33, loud: 12, surge: 1.8, outage: true}

func (s *sim) log(t *testing.T) {
	t.Helper()
	line := fmt.Sprintf("%s: endpoints rejected %d of %d, refused %d, served of usual/loud accounts by kind", s.policy, s.rejections, s.attempts, s.refusals)
	for _, phase := range [][2]int{{5, 9}, {9, 10}, {10, 16}, {16, 19}} {
		line += fmt.Sprintf("; %d-%d s", phase[0], phase[1])
		for kind := range s.day.service.kinds {
			line += fmt.Sprintf(" %.2f/%.2f", s.served(false, kind, phase[0], phase[1]), s.served(true, kind, phase[0], phase[1]))
		}
	}
	t.Logf("%s; under limits first %.2f returned %.2f", line, s.firstTry.share(), s.secondTry.share())
}

// Guards against a few accounts, more requests of all and lost endpoints together that cost the urgent requests of others, and against refusals that are worse than the endpoints' own.
func TestOverloadedDay(t *testing.T) {
	for seed := range uint64(2) {
		days := make(map[simPolicy]*sim)
		for _, p := range []simPolicy{simNone, simOwn, simByRank, simFleet} {
			days[p] = runSim(p, seed, overloadedDay, nil)
			days[p].log(t)
		}
		s := days[simFleet]
		require.Less(t, float64(s.rejections), 0.01*float64(s.attempts))
		for kind := range simEngines.kinds {
			require.Greater(t, s.served(false, kind, 5, 9), 0.95, "kind %d, as on a calm day", kind)
			for _, p := range []simPolicy{simNone, simOwn} {
				require.Greater(t, float64(days[p].rejections), 0.2*float64(days[p].attempts))
				require.Greater(t, s.served(false, kind, 10, 19), days[p].served(false, kind, 10, 19)+0.1, "kind %d, more than %s", kind, p)
			}
		}
		require.Greater(t, s.served(false, 0, 10, 16), 0.9, "urgent requests")
		require.Greater(t, s.served(false, 0, 10, 16), s.served(false, 1, 10, 16))
		require.Greater(t, s.served(false, 1, 10, 16), s.served(false, 2, 10, 16))
		require.Greater(t, s.served(false, 1, 16, 19), days[simByRank].served(false, 1, 16, 19)+0.05)
		require.Greater(t, s.secondTry.share(), 2*s.firstTry.share(), "returning requests come first")
	}
}

// Guards against accounts that send as usual and pay for a few that send twelve times as much.
func TestLoudAccounts(t *testing.T) {
	for seed := range uint64(2) {
		day := simDay{use: 0.45, loud: 12, surge: 1}
		none, s := runSim(simNone, seed, day, nil), runSim(simFleet, seed, day, nil)
		none.log(t)
		s.log(t)
		require.Less(t, float64(s.rejections), 0.01*float64(s.attempts))
		for kind := range simEngines.kinds {
			require.Less(t, none.served(false, kind, 10, 19), 0.75)
			require.Greater(t, s.served(false, kind, 10, 19), 0.95, "kind %d", kind)
		}
	}
}

// Guards against refusals on days with room, also during a roll-out and without totals.
func TestCalmDaysRefuseNobody(t *testing.T) {
	for seed := range uint64(2) {
		for name, day := range map[string]simDay{
			"usual":    {use: 0.33, loud: 1, surge: 1},
			"busy":     {use: 0.8, loud: 1, surge: 1},
			"surge":    {use: 0.33, loud: 1, surge: 1.8},
			"roll-out": {use: 0.38, loud: 1, surge: 1, untried: 0.5},
		} {
			require.Zero(t, runSim(simFleet, seed, day, nil).refusals, name)
			require.Zero(t, runSim(simFleet, seed, day, func(*sim, int) bool { return true }).refusals, "%s without totals", name)
		}
	}
}

// Guards against refusals by a plain service with few slots whose demand and rejections vary by chance, and against an overload of it that is not limited.
func TestPlainService(t *testing.T) {
	for seed := range uint64(2) {
		day := simDay{service: simPlain, use: 0.8, loud: 1, surge: 1}
		none, s := runSim(simNone, seed, day, nil), runSim(simFleet, seed, day, nil)
		none.log(t)
		s.log(t)
		require.Less(t, 200*s.refusals, s.attempts, "refusals at 0.8 of the slots")
		require.LessOrEqual(t, float64(s.rejections), 1.2*float64(none.rejections))

		// From 5 s on the loud accounts bring the demand to twice the capacity.
		day = simDay{service: simPlain, use: 0.5, loud: 18, surge: 1}
		none, s = runSim(simNone, seed, day, nil), runSim(simFleet, seed, day, nil)
		none.log(t)
		s.log(t)
		require.Less(t, s.rejections, none.rejections/5)
		require.Greater(t, s.served(false, 0, 8, 19), 0.85, "accounts that send as usual")
		require.Greater(t, s.served(false, 0, 8, 19), none.served(false, 0, 8, 19)+0.5)
		require.Less(t, s.served(true, 0, 8, 19), 0.2, "the others pay")
	}
}

// Guards against refusals for answers that take as long to reach the VM as they hold a slot: they seem to need twice the slots.
func TestDistantPlainService(t *testing.T) {
	for seed := range uint64(2) {
		s := runSim(simFleet, seed, simDay{service: simPlain, use: 0.6, loud: 1, surge: 1, network: 60 * time.Millisecond}, nil)
		s.log(t)
		require.Less(t, 200*s.refusals, s.attempts)
	}
}

// Guards against refusals of a plain service with room when all VMs start anew, when totals are lost for some seconds, when endpoints leave and come back, and during a roll-out.
func TestDisturbedPlainServiceRefusesNobody(t *testing.T) {
	none := func(*sim, int) bool { return false }
	for name, c := range map[string]struct {
		day  simDay
		lost func(*sim, int) bool
	}{
		"restart": {simDay{use: 0.8}, func(s *sim, vm int) bool {
			if s.at == 8250*time.Millisecond {
				s.gates[vm] = NewGate("s", rand.New(rand.NewPCG(7, uint64(vm))))
			}
			return false
		}},
		"totals lost":           {simDay{use: 0.8}, func(s *sim, _ int) bool { return s.at > 8*time.Second && s.at < 12*time.Second }},
		"totals lost, each VM":  {simDay{use: 0.8}, func(s *sim, vm int) bool { return int(s.at/time.Second)%12 == vm%12 }},
		"endpoints leave":       {simDay{use: 0.45, outage: true}, none},
		"roll-out of a version": {simDay{use: 0.4, untried: 0.4}, none},
	} {
		for seed := range uint64(2) {
			c.day.service, c.day.loud, c.day.surge = simPlain, 1, 1
			s := runSim(simFleet, seed, c.day, c.lost)
			t.Logf("%s seed %d: refused %d, rejected %d of %d", name, seed, s.refusals, s.rejections, s.attempts)
			require.Less(t, 200*s.refusals, s.attempts, "%s: %d refused of %d", name, s.refusals, s.attempts)
		}
	}
}

// Guards against an overload that nobody limits because totals are lost, one in three or all.
func TestTotalsLostInAnOverload(t *testing.T) {
	none := runSim(simNone, 0, overloadedDay, nil)
	some := runSim(simFleet, 0, overloadedDay, func(s *sim, _ int) bool { return s.rng.IntN(3) == 0 })
	some.log(t)
	require.Less(t, float64(some.rejections), 0.01*float64(some.attempts))
	all := runSim(simFleet, 0, overloadedDay, func(s *sim, _ int) bool { return s.at > 11*time.Second })
	all.log(t)
	require.Less(t, all.rejections, none.rejections/2)
	require.Greater(t, all.served(false, 0, 11, 16), none.served(false, 0, 11, 16)+0.2)
}
