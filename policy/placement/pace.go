package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultUnitTime is the time that engines take for a unit of work, used until a request is
	// measured.
	defaultUnitTime = 4 * time.Millisecond
	// unitTimeGain is the weight of one request in the moving average, which spans about fifty.
	unitTimeGain = 0.02
	// minWorkAhead is the least work from which a request's time is used. Below it the network
	// time and the engine's first step dominate.
	minWorkAhead = 20.0
	// maxSampleRatio bounds one request's time per unit as a multiple of the average, so that
	// one slow or suspended engine does not distort the estimate for the others.
	maxSampleRatio = 4
)

// unitTime is a moving average of the time that a service's endpoints take for a unit of work.
type unitTime struct{ perUnit float64 } // seconds; 0 if unknown

// get returns the average in seconds, or the default if none is known.
func (u *unitTime) get() float64 {
	if u.perUnit == 0 {
		return defaultUnitTime.Seconds()
	}
	return u.perUnit
}

// update adds the time that a request took to its first event with the given work ahead of it.
func (u *unitTime) update(ahead float64, took time.Duration) {
	if ahead >= minWorkAhead {
		u.updateBy(unitTimeGain, ahead, took)
	}
}

// updateBy is update with the given weight of the request, whatever the work ahead of it.
func (u *unitTime) updateBy(gain, ahead float64, took time.Duration) {
	average := u.get()
	measured := min(took.Seconds()/ahead, maxSampleRatio*average)
	u.perUnit = average + gain*(measured-average)
}

// WaitEstimate is an estimate of the time that a request waits for its first event.
type WaitEstimate struct {
	// Wait is the time for the work ahead of the request, Read the time for reading its own
	// prompt.
	Wait, Read time.Duration
	// Scarce says that no usable endpoint is without a request limit, so that the request may not
	// get one.
	Scarce bool
}

// EstimateWait estimates the time to a request's first event at the usable endpoint where it would come
// first, by the recent time per unit of work in the service. The share of an engine's slots in use is a
// poor predictor: long prompts make requests wait while most slots are free. The request's version
// counts in managed services only.
func (t *Table) EstimateWait(now time.Time, rng *rand.Rand, r *Request) WaitEstimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[r.Service]
	if p == nil {
		return WaitEstimate{}
	}
	list := t.estimated(now, rng, p, r)
	own := r.Work + r.Prefill
	ofCost := 0.0
	if t.managed(p) {
		ofCost = own
	}
	under, factor, scarce := 0.0, 1.0, true
	for i, e := range list {
		scarce = scarce && e.limit.Limited
		if w, f := t.workAt(now, e), e.timeFactor(); i == 0 || (w+ofCost)*f < (under+ofCost)*factor {
			under, factor = w, f
		}
	}
	unit := factor * p.unitTime.get() * float64(time.Second)
	return WaitEstimate{Wait: time.Duration(under * unit), Read: time.Duration(own * unit), Scarce: scarce}
}

// estimated returns the endpoints that EstimateWait considers.
func (t *Table) estimated(now time.Time, rng *rand.Rand, p *pool, r *Request) []*endpoint {
	anyVersion := *r
	anyVersion.Version = ""
	if !t.managed(p) {
		anyVersion.NotVersion = ""
		r = &anyVersion
	}
	t.refreshFactors(now, p)
	warm, cold, _ := t.candidates(now, rng, p, r)
	if len(warm)+len(cold) == 0 && r.Version != "" {
		// A request whose version has no endpoint may use another one.
		warm, cold, _ = t.candidates(now, rng, p, &anyVersion)
	}
	if len(warm) == 0 {
		warm = cold
	}
	if t.managed(p) {
		return t.withoutAvoided(now, warm)
	}
	return warm
}
