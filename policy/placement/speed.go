package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"goldcrestfork/policy/speed"
)

const (
	// factorAge is how long the factors of a service's endpoints are used. Computing them takes an
	// exponential or two for each endpoint, and a choice would otherwise do that for hundreds.
	factorAge = 50 * time.Millisecond
	// fullWeightWork is the work ahead from which the time to a first event says most, and
	// minMeasuredWork the least from which it says anything.
	fullWeightWork, minMeasuredWork = 20.0, 2.0
	// spread is the range of a request's own work where the load from the other VMs isn't known: twice
	// that of a usual request, so that its mean is right.
	spread = 2.0
	// fixedTime is added to the measured and to the expected time to a first event, for the network
	// and the engine's first step, which take as long on a slow machine.
	fixedTime = 0.010 // seconds
	// fullWeightPauses is the number of pauses between events from which a stream says most.
	fullWeightPauses = 15.0
	// maxPauseKinds bounds the kinds of streams of a service whose usual pauses are known.
	maxPauseKinds = 64
	// slowFactor and recoveredFactor are the factors above which an endpoint is slow, and below which
	// it has recovered. One between them changes nothing.
	slowFactor, recoveredFactor = 2.0, 1.5
	// slowFor is how long an endpoint is slow or has recovered before it is logged. Moments of
	// 0.6 s on nine of sixty endpoints would else be several log lines a second at each VM.
	slowFor = time.Second
)

// attempt is what a table remembers of one request at an endpoint.
type attempt struct {
	endpoint *endpoint // as it was chosen; another one may have its ID after a restart
	// work is the current contribution to the load; it changes when the prompt is read and when the
	// request ends.
	work            float64
	workAfterPrompt float64 // contribution after the prompt is read
	prefill         float64
	saving          float64 // work that is saved if the prompt's shared parts are cached there
	begun           bool    // its first event arrived (Table.FirstEvent)
}

// serviceTimes are the usual times of a managed service's answers.
type serviceTimes struct {
	factorsAt time.Time
	usual     float64 // speed.Usual of its endpoints
	started   int     // first events that the unit time was learnt from
	answers   speed.Time
	pauses    map[string]*speed.Time // between events, by kind of stream
}

// refreshFactors computes the factors of a managed service's endpoints anew if they are too old.
func (t *Table) refreshFactors(now time.Time, p *pool) {
	if !t.managed(p) || !p.times.factorsAt.IsZero() && now.Sub(p.times.factorsAt) < factorAge && !now.Before(p.times.factorsAt) {
		return
	}
	sums := make([]speed.Sums, 0, len(p.list))
	for _, e := range p.list {
		sums = append(sums, e.speed.Measured(now))
	}
	p.times.usual, p.times.factorsAt = speed.Usual(sums), now
	for _, e := range p.list {
		e.factor = e.speed.Factor(now, p.times.usual)
	}
}

// timeFactor returns the time that work takes at an endpoint relative to the usual time of its
// service, 1 if the service isn't managed or nothing is known.
func (e *endpoint) timeFactor() float64 {
	if e.factor == 0 {
		return 1
	}
	return e.factor
}

// ownWork returns a request's own work, as part of the cost of an endpoint of a managed service. Without the
// load from the other VMs it is random: all VMs would else send their requests to the fastest endpoint
// at once. The endpoints then get about the share of the requests that their speed allows.
func (t *Table) ownWork(now time.Time, rng *rand.Rand, r *Request) float64 {
	if r.LoadUnknown || !t.peerLoadFresh(now) {
		return spread * rng.Float64()
	}
	return r.Work + r.Prefill
}

// FirstEvent records the time to the first event of a stream that an endpoint of a managed service has
// begun to send. It must be called before PromptRead.
func (t *Table) FirstEvent(now time.Time, c Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[c.ID]
	if e == nil || c.attempt.begun {
		return
	}
	c.attempt.begun = true
	p := t.services[e.Service]
	if !t.managed(p) {
		return
	}
	t.refreshFactors(now, p)
	took := now.Sub(c.sentAt)
	if ratio, weight, ok := p.startRatio(c, took, false); ok {
		e.speed.Measure(now, ratio, weight)
	}
	if c.Ahead >= minWorkAhead {
		p.times.started++
		p.unitTime.updateBy(speed.Gain(p.times.started), c.Ahead*e.timeFactor(), took)
	}
}

// startRatio returns the ratio of the measured to the expected time to a stream's first event, and its
// weight. unfinished says that there is no event yet, so that the time is a lower bound.
func (p *pool) startRatio(c Choice, took time.Duration, unfinished bool) (ratio, weight float64, ok bool) {
	// Whether the endpoint has the shared parts in its cache isn't known: any time between the
	// expected times with and without them is as expected.
	certain := c.Ahead - c.attempt.saving
	if p.times.started < minMeasuredStarts || certain < minMeasuredWork {
		return 0, 0, false
	}
	unit := p.unitTime.get()
	high, low := c.Ahead*unit+fixedTime, certain*unit+fixedTime
	ratio = 1
	switch measured := took.Seconds() + fixedTime; {
	case measured > high:
		ratio = measured / high
	case unfinished:
		return 0, 0, false
	case measured < low:
		ratio = measured / low
	}
	return ratio, certain / fullWeightWork, true
}

// minMeasuredStarts is the number of first events from which the time per unit of work is known well
// enough to compare endpoints by it.
const minMeasuredStarts = 5

// RecordPauses records the time that a stream of a managed service took for the pauses between its
// events. Streams of one kind usually have pauses of the same length.
func (t *Table) RecordPauses(now time.Time, c Choice, kind string, pauses int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[c.ID]
	if e == nil || pauses <= 0 || !t.managed(t.services[e.Service]) {
		return
	}
	p := t.services[e.Service]
	usual := p.times.pauses[kind]
	if usual == nil {
		if len(p.times.pauses) >= maxPauseKinds {
			return
		}
		if p.times.pauses == nil {
			p.times.pauses = make(map[string]*speed.Time)
		}
		usual = &speed.Time{}
		p.times.pauses[kind] = usual
	}
	t.refreshFactors(now, p)
	e.measure(now, usual, took.Seconds()/float64(pauses), float64(pauses)/fullWeightPauses)
}

// measure compares a time with the usual one, and learns that from it.
func (e *endpoint) measure(now time.Time, usual *speed.Time, seconds, weight float64) {
	if expected, known := usual.Known(); known {
		e.speed.Measure(now, seconds/expected, weight)
	}
	usual.Add(seconds, e.timeFactor())
}

// recordEnd records the time of an attempt at a managed service that ended without a first event: of a
// whole answer, or of one that was given up.
func (t *Table) recordEnd(now time.Time, e *endpoint, c Choice, o Outcome) {
	p := t.services[e.Service]
	if c.attempt.begun || !t.managed(p) {
		return
	}
	t.refreshFactors(now, p)
	took := now.Sub(c.sentAt)
	switch {
	case o == Good && c.attempt.prefill == 0:
		e.measure(now, &p.times.answers, took.Seconds(), 1)
	case o != NoSignal && o != Failed:
	case c.attempt.prefill == 0:
		if usual, known := p.times.answers.Known(); known && took.Seconds() > usual {
			e.speed.Measure(now, took.Seconds()/usual, 1)
		}
	default:
		if ratio, weight, ok := p.startRatio(c, took, true); ok {
			e.speed.Measure(now, ratio, weight)
		}
	}
}

// Pace is what answers say of the speed of an endpoint, for other VMs.
type Pace struct {
	// Endpoint is the endpoint's short name (rendezvous.Hash.Short).
	Endpoint uint32
	speed.Sums
}

// Paces returns what this VM's answers say of the endpoints of managed services. It is nil if no
// service is managed.
func (t *Table) Paces(now time.Time) []Pace {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Pace
	if t.allManaged {
		out = []Pace{}
	}
	for _, p := range t.services {
		if !t.managed(p) {
			continue
		}
		if out == nil {
			out = []Pace{}
		}
		for _, e := range p.list {
			if s, ok := e.speed.Report(now); ok {
				out = append(out, Pace{Endpoint: e.idHash.Short(), Sums: s})
			}
		}
	}
	return out
}

// SetPaces sets the sums of Paces over all VMs, this one included. Services with an endpoint that is
// named become managed.
func (t *Table) SetPaces(now time.Time, list []Pace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := make(map[*endpoint]speed.Sums, len(list))
	for _, pace := range list {
		if e := t.byShortName[pace.Endpoint]; e != nil {
			totals[e] = pace.Sums
			t.services[e.Service].managed = true
		}
	}
	for _, p := range t.services {
		if !t.managed(p) {
			continue
		}
		for _, e := range p.list {
			e.speed.SetFleet(now, totals[e])
		}
		p.times.factorsAt = time.Time{}
	}
}

// SpeedChange is an endpoint that turned slow or recovered.
type SpeedChange struct {
	ID     string
	Factor float64
	Slow   bool
}

// SlowEndpoints returns the number of slow endpoints by managed service, and the endpoints that turned
// slow or recovered since the last call.
func (t *Table) SlowEndpoints(now time.Time) (slow map[string]int, changed []SpeedChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slow = make(map[string]int)
	for service, p := range t.services {
		if !t.managed(p) {
			continue
		}
		slow[service] = 0
		t.refreshFactors(now, p)
		for _, e := range p.list {
			f := e.timeFactor()
			if f > slowFactor {
				slow[service]++
			}
			switch differs := f > slowFactor && !e.slow || f < recoveredFactor && e.slow; {
			case !differs:
				e.slowSince = time.Time{}
			case e.slowSince.IsZero():
				e.slowSince = now
			case now.Sub(e.slowSince) >= slowFor:
				e.slow, e.slowSince = !e.slow, time.Time{}
				changed = append(changed, SpeedChange{ID: e.ID, Factor: f, Slow: e.slow})
			}
		}
	}
	slices.SortFunc(changed, func(a, b SpeedChange) int { return strings.Compare(a.ID, b.ID) })
	return slow, changed
}
