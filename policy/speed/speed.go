package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MinFactor and MaxFactor bound a factor. Beyond them an endpoint gets practically all or no work.
	MinFactor, MaxFactor = 1.0 / 4, 8.0
	// minRatio bounds the ratio of one answer from below. A prompt whose parts are cached is read in
	// a fraction of the expected time on any machine.
	minRatio = 0.4
	// decayTime is the time in which the weight of an answer falls to 1/e.
	decayTime = 2 * time.Second
	// priorWeight is the weight of the assumption that an endpoint is as fast as usual, in answers.
	priorWeight = 2.0
	// forgetAfter is how long this VM's answers are used after the last one.
	forgetAfter = 5 * time.Second
	// reportFor is how long they are reported to other VMs. Reports are in use for another second at
	// most, so that no VM uses them after forgetAfter.
	reportFor = 4 * time.Second
	// minReported is the least weight that is reported. It changes no factor by more than 1 in 20.
	minReported = 0.05
	// fleetMaxAge is how long the sums over the fleet are used.
	fleetMaxAge = 2 * time.Second
	// statedDecay is the time in which the weight of a stated slowdown falls to 1/e. Machines turn
	// slow for 0.6 s, so that after half a second the figure says little.
	statedDecay = 250 * time.Millisecond
	// maxStatedEffect bounds the effect of a stated slowdown beside answers of the last second
	// (recentAnswers), either way. A stated figure may be wrong.
	maxStatedEffect = 2.0
	recentAnswers   = time.Second
	// minPeerAnswers is the weight of other VMs' answers that counts as answers of the last second.
	minPeerAnswers = 1.0
)

// Sums are weighted sums over answers. They add up over VMs.
type Sums struct {
	// Log is the sum of weight times the logarithm of the ratio of measured to expected time.
	Log, Weight float64
}

func (s Sums) times(f float64) Sums { return Sums{s.Log * f, s.Weight * f} }
func (s Sums) plus(o Sums) Sums     { return Sums{s.Log + o.Log, s.Weight + o.Weight} }

// decay returns the share of its weight that an answer has left after a time.
func decay(age, in time.Duration) float64 { return math.Exp(-max(age, 0).Seconds() / in.Seconds()) }

// average is a decaying Sums.
type average struct {
	sums   Sums
	at     time.Time // time up to which the sums are decayed
	lastAt time.Time // time of the last answer
}

func (a *average) get(now time.Time) Sums {
	if a.sums.Weight == 0 || now.Sub(a.lastAt) >= forgetAfter {
		return Sums{}
	}
	return a.sums.times(decay(now.Sub(a.at), decayTime))
}

func (a *average) add(now time.Time, log, weight float64) {
	a.sums = a.get(now).plus(Sums{log * weight, weight})
	a.at, a.lastAt = now, now
}

// Endpoint is what one VM knows of the speed of an endpoint. It is not safe for concurrent use.
type Endpoint struct {
	own      average
	reported Sums // of own, as last reported
	peers    Sums // of the other VMs, at peersAt
	peersAt  time.Time

	stated        float64 // logarithm of the last stated slowdown
	statedAt      time.Time
	statedAverage average // of the stated logarithms
}

// Measure adds an answer of this VM: the ratio of its measured to its expected time, and its weight,
// up to 1 for an answer that says most.
func (e *Endpoint) Measure(now time.Time, ratio, weight float64) {
	if !(ratio > 0) || !(weight > 0) || math.IsInf(ratio, 0) {
		return
	}
	e.own.add(now, math.Log(min(max(ratio, minRatio), MaxFactor)), min(weight, 1))
}

// State records a slowdown that the endpoint stated, in percent of the usual time.
func (e *Endpoint) State(now time.Time, percent int) {
	if percent <= 0 {
		return
	}
	e.stated = math.Log(min(max(float64(percent)/100, MinFactor), MaxFactor))
	e.statedAt = now
	e.statedAverage.add(now, e.stated, 1)
}

// Report returns the sums of this VM's answers for the other VMs; ok is false if there is nothing to
// report.
func (e *Endpoint) Report(now time.Time) (s Sums, ok bool) {
	e.reported = Sums{}
	if s = e.own.get(now); now.Sub(e.own.lastAt) >= reportFor || s.Weight < minReported {
		return Sums{}, false
	}
	e.reported = s
	return s, true
}

// SetFleet sets the sums over all VMs, this one included; zero if they don't name the endpoint.
func (e *Endpoint) SetFleet(now time.Time, total Sums) {
	e.peers, e.peersAt = Sums{}, now
	// This VM's part is missing from the totals if its report was lost or didn't fit.
	if weight := total.Weight - e.reported.Weight; weight >= minReported {
		e.peers = Sums{total.Log - e.reported.Log, weight}
	}
}

// Measured returns the sums of the answers of all VMs.
func (e *Endpoint) Measured(now time.Time) Sums { return e.own.get(now).plus(e.peersNow(now)) }

func (e *Endpoint) peersNow(now time.Time) Sums {
	if e.peers.Weight == 0 || now.Sub(e.peersAt) >= fleetMaxAge {
		return Sums{}
	}
	return e.peers.times(decay(now.Sub(e.peersAt), decayTime))
}

// Factor returns the time that work takes at the endpoint relative to the usual time of its service.
// usual is the result of Usual for the service.
func (e *Endpoint) Factor(now time.Time, usual float64) float64 {
	m := e.Measured(now)
	if m.Weight == 0 && now.Sub(e.statedAt) >= forgetAfter {
		return 1 // without exponentials, for services with thousands of endpoints
	}
	log := (m.Log - usual*m.Weight) / (m.Weight + priorWeight)
	effect := e.statedEffect(now, m.Weight/(m.Weight+priorWeight))
	if e.hasRecentAnswers(now) {
		effect = min(max(effect, -math.Log(maxStatedEffect)), math.Log(maxStatedEffect))
	}
	return min(max(math.Exp(log+effect), MinFactor), MaxFactor)
}

// statedEffect returns by how much the stated slowdown changes the factor's logarithm. Measured
// answers already contain, with their share in the factor, what the endpoint stated meanwhile.
func (e *Endpoint) statedEffect(now time.Time, measuredShare float64) float64 {
	if e.statedAt.IsZero() {
		return 0
	}
	contained := 0.0
	if s := e.statedAverage.get(now); s.Weight > 0 {
		contained = measuredShare * s.Log / s.Weight
	}
	return decay(now.Sub(e.statedAt), statedDecay) * (e.stated - contained)
}

func (e *Endpoint) hasRecentAnswers(now time.Time) bool {
	return !e.own.lastAt.IsZero() && now.Sub(e.own.lastAt) < recentAnswers || e.peersNow(now).Weight >= minPeerAnswers
}

// Usual returns the usual logarithm of the ratio among the endpoints of a service: the mean of the
// middle half. Up to a quarter of the endpoints don't change it however slow they are. Each endpoint
// weighs at most 1, so that one with many answers isn't taken for the usual one. It changes the list.
func Usual(list []Sums) float64 {
	list = slices.DeleteFunc(list, func(s Sums) bool { return s.Weight <= 0 })
	total := 0.0
	for i, s := range list {
		list[i] = Sums{s.Log / s.Weight, s.Weight / (s.Weight + priorWeight)}
		total += list[i].Weight
	}
	if total == 0 {
		return 0
	}
	slices.SortFunc(list, func(a, b Sums) int { return cmp.Compare(a.Log, b.Log) })
	from, to := total/4, total*3/4
	sum, before := 0.0, 0.0
	for _, s := range list {
		sum += max(min(before+s.Weight, to)-max(before, from), 0) * s.Log
		before += s.Weight
	}
	return sum / (to - from)
}
