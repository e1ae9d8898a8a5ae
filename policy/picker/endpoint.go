package picker

import (
	"time"

	"goldcrestfork/policy/limit"
)

// Tier is how far an endpoint is from this VM.
type Tier int

// The tiers, nearest first.
const (
	TierLocal  Tier = iota // same data centre
	TierRegion             // same region
	TierFar                // another region
	tiers
)

// Spec is what configuration says about an endpoint.
type Spec struct {
	Name string
	// Pools are the model versions, or the service, that it serves.
	Pools []string
	// DataCentre is where it is; Tier is how far that is from this VM.
	DataCentre string
	Tier       Tier
	// Bounds are the slots dealt to this VM.
	Bounds limit.Bounds
}

// State is what is known of an endpoint besides its load. The zero value takes work.
type State struct {
	// Leaving endpoints and those in a data centre that is out get no new work.
	Leaving       bool
	DataCentreOut bool
	// Ejected is the outlier detector's decision; Probation lets one request at a time through.
	Ejected   bool
	Probation bool
	// Down says that it can't be reached.
	Down bool
}

// Report is a load report of an endpoint; it is late by the time it is used.
type Report struct {
	// InFlight is the number of requests of all VMs running or queued there.
	InFlight int
	// At is when the report was taken, by this VM's clock (arrival less half a round trip).
	At time.Time
}

// Endpoint is one entry of the table. Its fields are read by filters and scorers
// only, under the table's lock.
type Endpoint struct {
	Spec
	State  State
	Report Report
	// Suspects is the number of requests in flight here that were at a crash.
	Suspects int
	limit    *limit.Limit
	// sinceReport counts own dispatches since the report was taken.
	sinceReport int
	// paused is until when the limit leaves it alone; the zero time when it doesn't.
	paused time.Time
	// counted is what it adds to the capacity of each of its pools, running what it
	// adds to their load.
	counted, running int
	// position is its place in each of its pools' open sets, -1 when it's in none.
	position []int
	pools    []*pool
}

// InFlight is the number of this VM's requests that run there.
func (e *Endpoint) InFlight() int { return e.limit.InFlight() }

// Limit is the number of this VM's requests that may run there.
func (e *Endpoint) Limit() int {
	if e.State.Probation {
		return min(e.limit.Current(), 1)
	}
	return e.limit.Current()
}

// pool is one version's endpoints.
type pool struct {
	name    string
	members []*Endpoint
	open    [tiers][]*Endpoint
	ring    ring
	// capacity and inFlight are the sums over the members that Capacity returns.
	capacity, inFlight int
}

// pause leaves the endpoint alone for as long as its limit says.
func (t *Table) pause(now time.Time, e *Endpoint) {
	pause := e.limit.Pause()
	if pause == 0 {
		return
	}
	if e.paused.IsZero() {
		t.paused = append(t.paused, e)
	}
	e.paused = now.Add(pause)
}

// resume ends the pauses that are over. There are none on most days.
func (t *Table) resume(now time.Time) {
	kept := t.paused[:0]
	for _, e := range t.paused {
		if now.Before(e.paused) {
			kept = append(kept, e)
			continue
		}
		e.paused = time.Time{}
		if e.pools != nil {
			t.refresh(e)
		}
	}
	clear(t.paused[len(kept):])
	t.paused = kept
}

// count brings the sums of its pools up to date.
func (e *Endpoint) count() {
	limit, running := 0, e.InFlight()
	if (TakesWork{}).Eligible(e) {
		limit = e.Limit()
	}
	for _, p := range e.pools {
		p.capacity += limit - e.counted
		p.inFlight += running - e.running
	}
	e.counted, e.running = limit, running
}

// setOpen puts the endpoint into the open sets of its pools, or takes it out.
func (e *Endpoint) setOpen(open bool) {
	for i, p := range e.pools {
		at := e.position[i]
		set := p.open[e.Tier]
		switch {
		case open && at < 0:
			e.position[i] = len(set)
			p.open[e.Tier] = append(set, e)
		case !open && at >= 0:
			last := set[len(set)-1]
			set[at] = last
			last.position[last.indexOf(p)] = at
			p.open[e.Tier] = set[:len(set)-1]
			e.position[i] = -1
		}
	}
}

func (e *Endpoint) indexOf(p *pool) int {
	for i, own := range e.pools {
		if own == p {
			return i
		}
	}
	panic("picker: endpoint is in the open set of a pool that it doesn't serve")
}
