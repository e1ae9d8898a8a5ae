package admission

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// demandTimeConstant is the time over which demand is averaged. With 1 s, demand that rises to
	// its double within a second was admitted half too much meanwhile.
	demandTimeConstant = 500 * time.Millisecond
	// underWayTimeConstant is the time over which the requests under way are averaged. Requests of
	// plain services end within some 10 ms, so that a count at one moment is mostly chance.
	underWayTimeConstant = 300 * time.Millisecond
	// totalsMaxAge is how long the totals over the fleet are used.
	totalsMaxAge = 2 * time.Second
	// startupTime is how long a VM that has just started admits all requests.
	startupTime = time.Second
	// busyTime is how long a rejection, or an endpoint with half of its slots in use, makes a
	// service busy.
	busyTime = time.Second
	// versionTimeConstant is the time over which the requests to a version are averaged.
	versionTimeConstant = time.Second
	// heldTimeConstant is the time over which the mean time that requests hold a slot is taken. At
	// one request a second of a rank on each VM only the fleet together knows it within seconds.
	heldTimeConstant = 4 * time.Second
	// statedTimeConstant is the time over which the use that endpoints state is averaged.
	statedTimeConstant = time.Second
	// maxCredits bounds the refusals of an account and rank that are remembered, and creditTime is
	// how long after its return time a refused caller may come back.
	maxCredits = 64
	creditTime = 500 * time.Millisecond
	// lessTimeMemory is how long after a refusal a request that waits for less time than usual counts as
	// returning: the longest Retry-After of a request with 30 s.
	lessTimeMemory = 10 * time.Second
)

// Arrival is a request that asks for admission.
type Arrival struct {
	Account string
	Rank    int // 0 is the most urgent
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
	flows              map[subject]*flow
	held               [maxRank + 1]heldTime
	versions           map[string]*decayingSum // requests sent, by version
	rejected, attempts lastSecond
	admitted           [maxRank + 1]decayingSum
	statedUse          statedUse
	underWay           int
	underWayAverage    float64 // as of underWayAt
	underWayAt         time.Time
	busyUntil          time.Time
	lessTimeAt         time.Time // when a request waited for less time than usual

	// Totals over the fleet, zero before the first ones.
	fleet   totals
	fleetAt time.Time

	state gateState
}

// heldTime sums the recent time in seconds for which the requests of a rank held slots, and their
// number.
type heldTime struct{ seconds, requests decayingSum }

// statedUse sums the shares of their slots in use that endpoints stated recently, and their number.
type statedUse struct{ shares, answers decayingSum }

// NewGate returns a gate that admits all requests until Evaluate finds too little room. The gate owns
// rng.
func NewGate(service string, rng *rand.Rand) *Gate {
	g := &Gate{
		prefix: servicePrefix(service), rng: rng,
		flows: make(map[subject]*flow), versions: make(map[string]*decayingSum),
		state: gateState{shares: make(map[uint32]share), usual: make(map[uint32]float64), trim: 1},
	}
	g.statedUse.shares.constant, g.statedUse.answers.constant = statedTimeConstant, statedTimeConstant
	for rank := range g.held {
		g.admitted[rank] = newDemandSum()
		g.held[rank].seconds.constant, g.held[rank].requests.constant = heldTimeConstant, heldTimeConstant
	}
	return g
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
		f = &flow{offered: newDemandSum(), returning: newDemandSum(), balance: g.rng.Float64()}
		g.flows[s] = f
	}
	f.offered.add(now, 1)
	returning := g.returns(now, f, a.Returning)
	if returning {
		f.returning.add(now, 1)
	}
	share := g.share(now, s)
	if !f.admit(share, returning) {
		return GateVerdict{Verdict{Outcome: Refused, Reason: ReasonShare, RetryAfter: g.returnTime(now, f, g.state.slotTime[s.rank], a.Left)}, share.all}
	}
	g.admitted[s.rank].add(now, 1)
	return GateVerdict{Share: share.all}
}

// share returns the part of a subject's requests that are admitted now.
func (g *Gate) share(now time.Time, s subject) share {
	if !g.state.active || now.Sub(g.began) < startupTime {
		return fullShare
	}
	if share, ok := g.state.shares[subjectKey(g.prefix, shortHash(s.account), s.rank)]; ok {
		return share
	}
	if share, ok := g.state.shares[restKey(s.rank)]; ok {
		return share
	}
	return fullShare
}

// returns reports whether a request returns after a refusal. Callers that wait for less time than usual after
// recent refusals count as returning. If none states less time, the return times of this VM's refusals decide.
func (g *Gate) returns(now time.Time, f *flow, lessTime bool) bool {
	if lessTime {
		g.lessTimeAt = now
		return !g.state.lastActive.IsZero() && now.Sub(g.state.lastActive) < lessTimeMemory
	}
	return now.Sub(g.lessTimeAt) > lessTimeMemory && f.takeCredit(now)
}

// takeCredit reports whether a refused request of the subject was to return about now, and counts it as
// returned.
func (f *flow) takeCredit(now time.Time) bool {
	for len(f.credits) > 0 && now.Sub(f.credits[0]) > creditTime {
		f.credits = f.credits[1:]
	}
	if len(f.credits) == 0 || now.Before(f.credits[0]) {
		return false
	}
	f.credits = f.credits[1:]
	return true
}

// admit decides on one request of a subject. Over time it admits the share exactly.
func (f *flow) admit(s share, returning bool) bool {
	part := s.first
	if returning {
		part = s.returning
	}
	if part >= 1 {
		return true
	}
	f.balance += part
	if f.balance < 1 {
		return false
	}
	f.balance--
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
	g.attempts.add(now)
	v := g.versions[version]
	if v == nil {
		v = &decayingSum{constant: versionTimeConstant}
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
		g.rejected.add(now)
		g.busyUntil = now.Add(busyTime)
	}
}

// Held records for how long an admitted request of a rank held slots, in all its attempts.
func (g *Gate) Held(now time.Time, rank int, held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &g.held[clampRank(rank)]
	h.seconds.add(now, held.Seconds())
	h.requests.add(now, 1)
}

// ReportLoad records the requests that an endpoint stated, and its slots.
func (g *Gate) ReportLoad(now time.Time, inFlight, slots int) {
	if slots <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// An answer's own slot is in use at any load, which is much of an endpoint with few slots.
	own := min(1, slots-1)
	g.statedUse.shares.add(now, min(max(float64(inFlight-own), 0)/float64(slots-own), 1))
	g.statedUse.answers.add(now, 1)
	if 2*inFlight >= slots {
		g.busyUntil = now.Add(busyTime)
	}
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
	old := math.Exp(-now.Sub(g.underWayAt).Seconds() / underWayTimeConstant.Seconds())
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
