package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// recordLife is the time in which an attempt's weight in the record falls to a third.
	recordLife = 4 * time.Second
	// leastRuns is the weight below which a VM's attempts at an endpoint tell nothing any more.
	leastRuns = 0.1
	// otherLife is how long an endpoint gets nothing when another life answers at its address:
	// by then its entry has lapsed or names the new one.
	otherLife = 3 * time.Second
	// recordsFor is how long the fleet's word on failures is believed.
	recordsFor = 2 * time.Second
	// fewRuns is the weight of attempts below which a share of failures is taken for chance.
	fewRuns = 4.0
	// badShare is the share beyond the usual from which an endpoint gets hardly any work: it
	// costs five requests then.
	badShare = 0.1
	// chances is by how many standard deviations a share must be above the usual one.
	chances = 2.0
	// failingPenalty is what an endpoint that fails all requests costs, in requests. A failed
	// attempt costs the caller one of a few, and what it waited for so far.
	failingPenalty = 50.0
)

// Record is what became of the attempts at an endpoint lately, with weights that fall with time.
type Record struct {
	// Failed are those that it answered with a failure or broke off, Runs all that it ran.
	Failed, Runs float64
	// OtherLife says that another life answered at its address.
	OtherLife bool
}

type record struct {
	failed, runs float64
	at           time.Time // of the weights
	goneUntil    time.Time
}

func (r *record) fall(now time.Time) {
	if r.runs > 0 {
		f := math.Exp(-now.Sub(r.at).Seconds() / recordLife.Seconds())
		r.failed, r.runs = r.failed*f, r.runs*f
	}
	r.at = now
}

func (r *record) add(now time.Time, failed bool) {
	r.fall(now)
	r.runs++
	if failed {
		r.failed++
	}
}

// tells says that there is something to report of the endpoint.
func (r *record) tells(now time.Time) bool {
	r.fall(now)
	return r.runs >= leastRuns || now.Before(r.goneUntil)
}

// Records is what this VM's attempts told of the endpoints lately, by id.
func (t *Table) Records(now time.Time) map[string]Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Record, len(t.busy))
	for e := range t.busy {
		if e.record.tells(now) {
			out[e.ID] = Record{Failed: e.record.failed, Runs: e.record.runs, OtherLife: now.Before(e.record.goneUntil)}
		}
	}
	return out
}

// Judgement is what the fleet holds against an endpoint.
type Judgement struct {
	ID string
	// Failing is the share of its requests that it fails beyond what is usual in its service.
	Failing   float64
	OtherLife bool
}

// bad says that the judgement keeps most work away from the endpoint.
func (e *endpoint) bad() bool { return e.fleet.OtherLife || e.worse >= badShare }

// SetRecords takes the sums over all VMs, by the endpoints' short names; of those not named
// there is nothing to tell. It returns the judgements that became bad or good by it.
func (t *Table) SetRecords(now time.Time, sums map[uint32]Record) (changed []Judgement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := make(map[*endpoint]bool, len(t.judged))
	for _, e := range t.judged {
		before[e] = e.bad()
	}
	pools := make(map[*pool]struct{})
	for _, e := range t.judged {
		e.fleet, e.worse = Record{}, 0
		pools[t.services[e.Service]] = struct{}{}
	}
	t.judged = t.judged[:0]
	for short, r := range sums {
		if e := t.short[short]; e != nil {
			e.fleet = r
			t.judged = append(t.judged, e)
			pools[t.services[e.Service]] = struct{}{}
		}
	}
	for p := range pools {
		p.judge()
	}
	t.judgedAt = now
	for _, e := range t.judged {
		if _, ok := before[e]; !ok {
			before[e] = false
		}
	}
	for e, was := range before {
		if e.bad() != was {
			changed = append(changed, Judgement{ID: e.ID, Failing: e.worse, OtherLife: e.fleet.OtherLife})
		}
	}
	return changed
}

// failing estimates the share of its requests that an endpoint fails. One failure is chance,
// and few attempts tell little.
func (r Record) failing() float64 { return max(r.Failed-1, 0) / (r.Runs + fewRuns) }

// judge finds how much more of its requests each endpoint of a pool fails than what is usual in
// the better quarter of the pool and the chance in its attempts explain: requests that fail
// everywhere make no endpoint worse.
func (p *pool) judge() {
	if len(p.list) == 0 {
		return
	}
	shares := make([]float64, len(p.list))
	for i, e := range p.list {
		shares[i] = e.fleet.failing()
	}
	slices.Sort(shares)
	usual := shares[len(shares)/4]
	for _, e := range p.list {
		chance := chances * math.Sqrt(usual*(1-min(usual, 1))/(e.fleet.Runs+fewRuns))
		e.worse = max(e.fleet.failing()-usual-chance, 0)
	}
}

// risk is what an endpoint costs for the failures that the fleet met there, in requests.
func (t *Table) risk(now time.Time, e *endpoint) float64 {
	if now.Sub(t.judgedAt) >= recordsFor {
		return 0
	}
	if e.fleet.OtherLife {
		return avoidedPenalty
	}
	return failingPenalty * e.worse
}
