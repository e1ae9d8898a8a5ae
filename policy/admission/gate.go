package admission

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// demandTimeConstant is the time over which demand and rejections are averaged.
	demandTimeConstant = time.Second
	// totalsMaxAge is how long the totals over the fleet are used.
	totalsMaxAge = 2 * time.Second
	// startupTime is how long a VM that has just started admits all requests.
	startupTime = time.Second
	// busyTime is how long a rejection, or an endpoint with half of its slots in use, makes a
	// service busy.
	busyTime = time.Second
	// slotTimeGain is the weight of one request in the mean time that requests of a route hold a
	// slot.
	slotTimeGain = 0.03
	// maxAdvance is the number of returning requests by which an account and rank may exceed its
	// share on one VM. Later requests of the same account make up for it.
	maxAdvance = 2.0
	// maxCredits bounds the refusals of an account and rank that are remembered, and creditTime is
	// how long after its return time a refused caller may come back.
	maxCredits = 64
	creditTime = 500 * time.Millisecond
)

// Arrival is a request that asks for admission.
type Arrival struct {
	Account string
	Rank    int // 0 is the most urgent
	// Route identifies requests that hold a slot for about as long as each other.
	Route string
	// Left is the time that the caller still waits.
	Left time.Duration
	// Returning says that the caller waits for less time than usual, as after a refusal.
	Returning bool
}

// GateVerdict is the answer to an arrival. Share is the part of the requests of its account and rank
// that are admitted.
type GateVerdict struct {
	Verdict
	Share float64
}

// Gate decides on one VM which requests of one service are admitted, from figures of all VMs. It is
// safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	prefix  uint32
	rng     *rand.Rand
	began   time.Time // zero before the first arrival
	retries retrySchedule

	// Figures of this VM.
	slotTimes          map[string]*slotTime // by route
	flows              map[subject]*flow
	versions           map[string]*decayingSum // requests sent, by version
	rejected, attempts decayingSum
	underWay           int
	underWayAverage    float64 // as of underWayAt
	underWayAt         time.Time
	busyUntil          time.Time

	// Totals over the fleet, zero before the first ones.
	fleet   totals
	fleetAt time.Time

	state gateState
}

// slotTime is the mean time in seconds that the requests of a route hold slots.
type slotTime struct {
	n    int
	mean float64
}

// NewGate returns a gate that admits all requests until Evaluate finds too little room. The gate owns
// rng.
func NewGate(service string, rng *rand.Rand) *Gate {
	return &Gate{
		prefix: servicePrefix(service), rng: rng,
		slotTimes: make(map[string]*slotTime), flows: make(map[subject]*flow), versions: make(map[string]*decayingSum),
		rejected: newDemandSum(), attempts: newDemandSum(),
		state: gateState{shares: make(map[uint32]float64), usual: make(map[uint32]float64), trim: 1},
	}
}

func newDemandSum() decayingSum { return decayingSum{constant: demandTimeConstant} }

// Arrive counts a request and decides whether it is admitted.
func (g *Gate) Arrive(now time.Time, a Arrival) GateVerdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.began.IsZero() {
		g.began = now
	}
	s := subject{a.Account, clampRank(a.Rank)}
	f := g.flows[s]
	if f == nil {
		f = &flow{offered: newDemandSum(), admitted: newDemandSum(), balance: g.rng.Float64()}
		g.flows[s] = f
	}
	work := 0.0
	if t := g.slotTimes[a.Route]; t != nil {
		work = t.mean
	}
	f.offered.add(now, work)
	share := g.share(now, s)
	if share < 1 && !f.admit(now, share, a.Returning) {
		return GateVerdict{Verdict{Outcome: Refused, Reason: ReasonShare, RetryAfter: g.returnTime(now, f, work, a.Left)}, share}
	}
	f.admitted.add(now, work)
	return GateVerdict{Share: share}
}

// share returns the part of a subject's requests that are admitted now.
func (g *Gate) share(now time.Time, s subject) float64 {
	if !g.state.active || now.Sub(g.began) < startupTime {
		return 1
	}
	if share, ok := g.state.shares[subjectKey(g.prefix, shortHash(s.account), s.rank)]; ok {
		return share
	}
	if share, ok := g.state.shares[restKey(s.rank)]; ok {
		return share
	}
	return 1
}

// admit decides on one request of a subject. Over time it admits the share exactly. Requests that
// return after a refusal come first: they may use the share of later ones.
func (f *flow) admit(now time.Time, share float64, returning bool) bool {
	f.balance = min(f.balance+share, 2)
	for len(f.credits) > 0 && now.Sub(f.credits[0]) > creditTime {
		f.credits = f.credits[1:]
	}
	due := len(f.credits) > 0 && !now.Before(f.credits[0])
	if f.balance < 1 && (!due && !returning || f.balance < 1-maxAdvance) {
		return false
	}
	f.balance--
	if due {
		f.credits = f.credits[1:]
	}
	return true
}

// returnTime returns the time after which a refused caller may return, and remembers it. An overload
// is expected to last as long again as it has lasted so far.
func (g *Gate) returnTime(now time.Time, f *flow, work float64, left time.Duration) time.Duration {
	lasting := min(max(now.Sub(g.state.since), minRetryAfter), maxRetryAfter)
	after := g.retries.book(now, lasting, seconds(work/max(retryShare*g.state.ownCapacity, 1e-3)))
	after = time.Duration(float64(after) * (0.75 + 0.5*g.rng.Float64()))
	if most := left / 3; after > most {
		// Callers that would return at the same limit are spread below it.
		after = time.Duration(float64(most) * (0.5 + 0.5*g.rng.Float64()))
	}
	if at := now.Add(after); len(f.credits) < maxCredits {
		i := len(f.credits)
		for i > 0 && f.credits[i-1].After(at) {
			i--
		}
		f.credits = append(f.credits[:i], append([]time.Time{at}, f.credits[i:]...)...)
	}
	return max(after, time.Millisecond)
}

// Sent records that an attempt was sent to an endpoint of a version.
func (g *Gate) Sent(now time.Time, version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setUnderWay(now, g.underWay+1)
	g.attempts.add(now, 1)
	v := g.versions[version]
	if v == nil {
		v = &decayingSum{constant: demandTimeConstant}
		g.versions[version] = v
	}
	v.add(now, 1)
}

// Ended records that an attempt ended. rejected says that the endpoint refused it for want of room.
func (g *Gate) Ended(now time.Time, rejected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setUnderWay(now, max(g.underWay-1, 0))
	if rejected {
		g.rejected.add(now, 1)
		g.busyUntil = now.Add(busyTime)
	}
}

// Held records for how long a request of a route held slots, in all its attempts.
func (g *Gate) Held(route string, held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.slotTimes[route]
	if t == nil {
		t = &slotTime{}
		g.slotTimes[route] = t
	}
	t.n++
	t.mean += max(slotTimeGain, 1/float64(t.n)) * (held.Seconds() - t.mean)
}

// ReportLoad records the requests that an endpoint stated, and its slots.
func (g *Gate) ReportLoad(now time.Time, inFlight, slots int) {
	if slots <= 0 || 2*inFlight < slots {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busyUntil = now.Add(busyTime)
}

// Busy reports whether an endpoint rejected a request or stated that half of its slots are in use in
// the last second.
func (g *Gate) Busy(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.busyUntil)
}

// underWayMean returns the recent mean of the requests under way.
func (g *Gate) underWayMean(now time.Time) float64 {
	if g.underWayAt.IsZero() {
		return 0
	}
	old := math.Exp(-now.Sub(g.underWayAt).Seconds() / demandTimeConstant.Seconds())
	return old*g.underWayAverage + (1-old)*float64(g.underWay)
}

func (g *Gate) setUnderWay(now time.Time, n int) {
	g.underWayAverage, g.underWayAt = g.underWayMean(now), now
	g.underWay = n
}

// Figures returns this VM's figures for the exchange.
func (g *Gate) Figures(now time.Time) []Figure {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.figures(now)
}

// ApplyTotals sets the sums of the figures over all VMs. Those of other services are ignored.
func (g *Gate) ApplyTotals(now time.Time, figures []Figure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet, g.fleetAt = newTotals(g.prefix, figures), now
}
