package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// recordDecay is the time in which the weight of an attempt falls to 1/e.
	recordDecay = 4 * time.Second
	// minRuns is the weight of this VM's attempts at an endpoint below which they are not
	// reported.
	minRuns = 0.1
	// otherLifeAvoidance is how long an endpoint is avoided after another incarnation answered
	// at its address. By then its entry has expired or names the new incarnation.
	otherLifeAvoidance = 3 * time.Second
	// recordsMaxAge is how long the records of all VMs are used.
	recordsMaxAge = 2 * time.Second
	// priorRuns is added to the weight of the attempts, so that the share of failures from few
	// attempts stays small.
	priorRuns = 4.0
	// badExcess is the excess failure share from which an endpoint counts as bad. It costs five
	// requests then and gets hardly any work.
	badExcess = 0.1
	// excessDeviations is the number of standard deviations above the usual share that are
	// attributed to chance.
	excessDeviations = 2.0
	// failingPenalty is the cost of an endpoint that fails all requests, in requests. A failed
	// attempt uses up one of the caller's few attempts and the time waited so far.
	failingPenalty = 50.0
)

// Record sums the recent attempts at an endpoint, with exponentially decaying weights.
type Record struct {
	// Failed is the weight of attempts that failed or broke off, Runs the weight of all that
	// ran.
	Failed, Runs float64
	// OtherLife says that another incarnation answered at the endpoint's address.
	OtherLife bool
}

// record is the Record of this VM's attempts, decayed up to a time.
type record struct {
	failed, runs   float64
	at             time.Time // time up to which the weights are decayed
	otherLifeUntil time.Time
}

// decay reduces the weights to their values at now.
func (r *record) decay(now time.Time) {
	if r.runs > 0 {
		f := math.Exp(-now.Sub(r.at).Seconds() / recordDecay.Seconds())
		r.failed, r.runs = r.failed*f, r.runs*f
	}
	r.at = now
}

// add counts one attempt.
func (r *record) add(now time.Time, failed bool) {
	r.decay(now)
	r.runs++
	if failed {
		r.failed++
	}
}

// reportable reports whether the record has something to report to other VMs.
func (r *record) reportable(now time.Time) bool {
	r.decay(now)
	return r.runs >= minRuns || now.Before(r.otherLifeUntil)
}

// Records returns the records of this VM's attempts that are worth reporting, by endpoint ID.
func (t *Table) Records(now time.Time) map[string]Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Record, len(t.active))
	for e := range t.active {
		if !t.pathsLost && e.record.reportable(now) {
			out[e.ID] = Record{Failed: e.record.failed, Runs: e.record.runs, OtherLife: now.Before(e.record.otherLifeUntil)}
		}
	}
	return out
}

// Judgement is the assessment of an endpoint from the records of all VMs.
type Judgement struct {
	ID string
	// Failing is the share of its requests that the endpoint fails beyond what is usual in its
	// service.
	Failing   float64
	OtherLife bool
}

// bad reports whether the records keep most work away from the endpoint.
func (e *endpoint) bad() bool { return e.fleetRecord.OtherLife || e.excessFailures >= badExcess }

// SetRecords sets the sums of the records over all VMs by the endpoints' short names
// (rendezvous.Hash.Short); endpoints that are not named have none. It returns the judgement of
// each endpoint that turned bad or good.
func (t *Table) SetRecords(now time.Time, sums map[uint32]Record) (changed []Judgement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := make(map[*endpoint]bool, len(t.withRecords))
	for _, e := range t.withRecords {
		before[e] = e.bad()
	}
	pools := make(map[*pool]struct{})
	for _, e := range t.withRecords {
		e.fleetRecord, e.excessFailures = Record{}, 0
		pools[t.services[e.Service]] = struct{}{}
	}
	t.withRecords = t.withRecords[:0]
	for short, r := range sums {
		if e := t.byShortName[short]; e != nil {
			e.fleetRecord = r
			t.withRecords = append(t.withRecords, e)
			pools[t.services[e.Service]] = struct{}{}
		}
	}
	for p := range pools {
		p.updateExcessFailures()
	}
	t.recordsAt = now
	for _, e := range t.withRecords {
		if _, ok := before[e]; !ok {
			before[e] = false
		}
	}
	for e, was := range before {
		if e.bad() != was {
			changed = append(changed, Judgement{ID: e.ID, Failing: e.excessFailures, OtherLife: e.fleetRecord.OtherLife})
		}
	}
	return changed
}

// failing estimates the share of its requests that an endpoint fails. One failure is attributed
// to chance, and few attempts give a low estimate.
func (r Record) failing() float64 { return max(r.Failed-1, 0) / (r.Runs + priorRuns) }

// updateExcessFailures computes, for each endpoint of a pool, the failure share that exceeds
// both the usual one, that of the better quarter of the pool, and what chance explains.
// Requests that fail at all endpoints thus change none of them.
func (p *pool) updateExcessFailures() {
	if len(p.list) == 0 {
		return
	}
	shares := make([]float64, len(p.list))
	for i, e := range p.list {
		shares[i] = e.fleetRecord.failing()
	}
	slices.Sort(shares)
	usual := shares[len(shares)/4]
	for _, e := range p.list {
		chance := excessDeviations * math.Sqrt(usual*(1-min(usual, 1))/(e.fleetRecord.Runs+priorRuns))
		e.excessFailures = max(e.fleetRecord.failing()-usual-chance, 0)
	}
}

// failureCost is the cost of an endpoint for the failures that all VMs observed there, in
// requests.
func (t *Table) failureCost(now time.Time, e *endpoint) float64 {
	if now.Sub(t.recordsAt) >= recordsMaxAge {
		return 0
	}
	if e.fleetRecord.OtherLife {
		return avoidedPenalty
	}
	return failingPenalty * e.excessFailures
}
