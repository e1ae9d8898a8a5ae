package picker

import (
	"time"

	"goldcrestfork/policy/limit"
)

// Tier is the distance of an endpoint from this VM.
type Tier int

// The tiers, nearest first.
const (
	TierLocal  Tier = iota // same data centre
	TierRegion             // same region
	TierFar                // another region
	tiers
)

// Spec is the configuration of an endpoint.
type Spec struct {
	// Name identifies the endpoint in the table.
	Name string
	// Pools are the names of the model versions, or the service, that it serves.
	Pools []string
	// DataCentre is the name of its data centre. Tier is the distance of that from this
	// VM.
	DataCentre string
	Tier       Tier
	// Bounds are the slots assigned to this VM.
	Bounds limit.Bounds
}

// State is the state of an endpoint apart from its load. An endpoint with the zero value
// accepts work.
type State struct {
	// Leaving and DataCentreOut exclude the endpoint from new work: it is being drained,
	// or its data centre is taken out.
	Leaving       bool
	DataCentreOut bool
	// Ejected and Probation are set by the outlier detector. Ejected excludes the
	// endpoint from new work. Probation allows one request at a time.
	Ejected   bool
	Probation bool
	// Down means that the endpoint cannot be reached.
	Down bool
}

// LoadReport is a load report of an endpoint. It is out of date by the time it is used.
type LoadReport struct {
	// InFlight is the number of requests of all VMs that run or are queued there.
	InFlight int
	// At is the time of the report by this VM's clock: its arrival minus half the
	// round-trip time.
	At time.Time
}

// Endpoint is one entry of the table. Filters and scorers may only read its fields, under
// the table's lock.
type Endpoint struct {
	Spec
	State  State
	Report LoadReport
	// Suspects is the number of requests in flight on the endpoint that were in flight at
	// an earlier crash.
	Suspects int
	limit    *limit.Limit
	// sinceReport is the number of this VM's dispatches since the report was taken.
	sinceReport int
	// pausedUntil is the end of the pause that the limit asked for, or the zero time if
	// there is none.
	pausedUntil time.Time
	// countedLimit and countedInFlight are the endpoint's contributions to the capacity
	// and inFlight of each of its pools.
	countedLimit, countedInFlight int
	// openIndex holds the index of the endpoint in the open set of each of its pools, or
	// -1 if it is in none.
	openIndex []int
	pools     []*pool
}

// InFlight returns the number of this VM's requests that run on the endpoint.
func (e *Endpoint) InFlight() int { return e.limit.InFlight() }

// Limit returns the number of this VM's requests that may run on the endpoint at once.
func (e *Endpoint) Limit() int {
	if e.State.Probation {
		return min(e.limit.Current(), 1)
	}
	return e.limit.Current()
}

// pool holds the endpoints of one model version or service.
type pool struct {
	name    string
	members []*Endpoint
	// open holds the members that may get new work, by tier.
	open [tiers][]*Endpoint
	ring ring
	// capacity and inFlight are the sums over the members that Table.Capacity returns.
	capacity, inFlight int
}

// pause excludes the endpoint from new work for the time that its limit asks for.
func (t *Table) pause(now time.Time, e *Endpoint) {
	pause := e.limit.Pause()
	if pause == 0 {
		return
	}
	if e.pausedUntil.IsZero() {
		t.paused = append(t.paused, e)
	}
	e.pausedUntil = now.Add(pause)
}

// endPauses ends the pauses that have expired. Pauses are rare.
func (t *Table) endPauses(now time.Time) {
	kept := t.paused[:0]
	for _, e := range t.paused {
		if now.Before(e.pausedUntil) {
			kept = append(kept, e)
			continue
		}
		e.pausedUntil = time.Time{}
		if e.pools != nil {
			t.refresh(e)
		}
	}
	clear(t.paused[len(kept):])
	t.paused = kept
}

// updatePoolTotals updates the sums of the endpoint's pools.
func (e *Endpoint) updatePoolTotals() {
	limit, running := 0, e.InFlight()
	if (TakesWork{}).Eligible(e) {
		limit = e.Limit()
	}
	for _, p := range e.pools {
		p.capacity += limit - e.countedLimit
		p.inFlight += running - e.countedInFlight
	}
	e.countedLimit, e.countedInFlight = limit, running
}

// setOpen adds the endpoint to the open sets of its pools or removes it from them.
func (e *Endpoint) setOpen(open bool) {
	for i, p := range e.pools {
		at := e.openIndex[i]
		set := p.open[e.Tier]
		switch {
		case open && at < 0:
			e.openIndex[i] = len(set)
			p.open[e.Tier] = append(set, e)
		case !open && at >= 0:
			last := set[len(set)-1]
			set[at] = last
			last.openIndex[last.indexOf(p)] = at
			p.open[e.Tier] = set[:len(set)-1]
			e.openIndex[i] = -1
		}
	}
}

// indexOf returns the index of the pool in e.pools.
func (e *Endpoint) indexOf(p *pool) int {
	for i, own := range e.pools {
		if own == p {
			return i
		}
	}
	panic("picker: endpoint is in the open set of a pool that it doesn't serve")
}
