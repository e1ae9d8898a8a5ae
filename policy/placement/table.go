package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/policy/outlier"
)

// affine is how many endpoints a shared prompt part is kept on: two, so that a
// part in demand has a second place when the first is busy or gone.
const affine = 2

// Request is what a choice depends on.
type Request struct {
	Service string
	// Version is the only version that may serve, NotVersion one that may not; empty for any.
	Version, NotVersion string
	// Regions are where it may run; empty for all.
	Regions []string
	// Exclude are endpoints that it was sent to before.
	Exclude []string
	// Affinity names the shared prompt part and the model that reads it; empty for none.
	Affinity string
	// Saving is what an endpoint that has read the part saves, in requests' worth of work.
	Saving float64
	// Work is the request's weight among others, 1 for a usual one.
	Work float64
	// Prefill is the work of reading its prompt, in the same unit; it counts until Began.
	Prefill float64
}

func (r *Request) inRegion(region string) bool { return slices.Contains(r.Regions, region) }
func (r *Request) excluded(id string) bool     { return slices.Contains(r.Exclude, id) }

// Choice is an endpoint with one request's place taken; give it back by Table.Done.
type Choice struct {
	ID, Address, DataCentre, Version string
	// Cold says that the endpoint is in cold start.
	Cold bool
	// Expected is when the request's first event is expected; only for work that tells it,
	// as prompts do.
	Expected time.Duration
	// work is what the request counts for now; Began and Done change it.
	work *float64
	rest float64 // what it counts for when its prompt is read
	// ahead is the work that was to be done before its first event, its own included,
	// and at when it was sent.
	ahead float64
	at    time.Time
}

// Miss says why nothing was chosen.
type Miss int

// The reasons for no choice.
const (
	Picked Miss = iota
	// NoEndpoint: none may serve the request.
	NoEndpoint
	// AllCold: those that may are in cold start and have their share.
	AllCold
	// AllTried: the request was at all of them.
	AllTried
)

// Outcome is what an attempt told of its endpoint.
type Outcome int

// The outcomes of an attempt.
const (
	// Neutral tells nothing, as when the caller left.
	Neutral Outcome = iota
	// Good: it answered as it should.
	Good
	// Failed: it answered, but not with what it should.
	Failed
	// Full: it refused for want of room.
	Full
	// Unreached: the connection could not be made.
	Unreached
	// Broken: the connection broke.
	Broken
	// Gone: another life answers at its address.
	Gone
)

// Table holds the endpoints of all services. It is safe for concurrent use.
type Table struct {
	// DataCentre is this VM's own, which wins between equals.
	DataCentre string

	mu        sync.Mutex
	endpoints map[string]*endpoint
	services  map[string]*pool
	out       map[string]bool
	// busy are the endpoints that this VM has something to tell of: few of thousands.
	busy map[*endpoint]struct{}
	// short are the endpoints by the names that VMs use among each other.
	short map[uint32]*endpoint
	// told are the endpoints of which the other VMs told, at toldAt.
	told   []*endpoint
	toldAt time.Time
	// judged are the endpoints of whose failures the fleet told, at judgedAt.
	judged   []*endpoint
	judgedAt time.Time
}

type pool struct {
	list     []*endpoint
	detector *outlier.Detector
	changed  bool // list changed since the detector was told
	pace     pace
}

// New returns a table without endpoints for a VM in a data centre.
func New(dataCentre string) *Table {
	return &Table{DataCentre: dataCentre, endpoints: make(map[string]*endpoint), services: make(map[string]*pool), short: make(map[uint32]*endpoint), busy: make(map[*endpoint]struct{})}
}

// Set adds an endpoint or takes a change of one.
func (t *Table) Set(now time.Time, s Spec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[s.ID]
	if e != nil && e.Service != s.Service {
		t.remove(s.ID)
		e = nil
	}
	if e == nil {
		e = &endpoint{Spec: s, rank: rendezvous.Mark(s.ID)}
		t.endpoints[s.ID] = e
		t.short[e.rank.Short()] = e
		p := t.services[s.Service]
		if p == nil {
			p = &pool{detector: outlier.New()}
			t.services[s.Service] = p
		}
		p.list = append(p.list, e)
		p.changed = true
	}
	if e.Address != s.Address {
		e.lost = false
	}
	e.Spec = s
	e.out = t.out[s.DataCentre]
	// A report never shortens a cold start: it may have been on its way while the
	// endpoint was met cold.
	if until := now.Add(s.Cold); s.Cold > 0 && until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

// Remove takes an endpoint out.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(id)
}

func (t *Table) remove(id string) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	delete(t.endpoints, id)
	delete(t.short, e.rank.Short())
	delete(t.busy, e)
	t.judged = slices.DeleteFunc(t.judged, func(o *endpoint) bool { return o == e })
	p := t.services[e.Service]
	p.list = slices.DeleteFunc(p.list, func(o *endpoint) bool { return o == e })
	p.changed = true
}

// detect returns the detector of the endpoints as they are. It is told of a change when it
// is next needed: thousands of endpoints that come one by one would each cost a round of
// all.
func (p *pool) detect() *outlier.Detector {
	if p.changed {
		names := make([]string, len(p.list))
		for i, e := range p.list {
			names[i] = e.ID
		}
		p.detector.Set(names)
		p.changed = false
	}
	return p.detector
}

// SetOut names the data centres whose endpoints get nothing.
func (t *Table) SetOut(out map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.out = out
	for _, e := range t.endpoints {
		e.out = out[e.DataCentre]
	}
}

// SetLost says that nothing comes from the endpoint at an address, or that it is back.
func (t *Table) SetLost(address string, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.endpoints {
		if e.Address == address {
			e.lost = lost
			t.busy[e] = struct{}{}
		}
	}
}

// Pick chooses an endpoint and takes a place on it.
func (t *Table) Pick(now time.Time, rng *rand.Rand, r *Request) (Choice, Miss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[r.Service]
	if p == nil {
		return Choice{}, NoEndpoint
	}
	for _, c := range p.detect().Due(now) {
		t.endpoints[c.Endpoint].detected = c.State
	}
	warm, cold, tried := t.candidates(now, rng, p, r)
	e := t.best(now, rng, warm, r)
	if e == nil {
		e = t.best(now, rng, cold, r)
		if e == nil {
			switch {
			case tried && len(warm)+len(cold) == 0:
				return Choice{}, AllTried
			case anyCold(now, p):
				return Choice{}, AllCold
			}
			return Choice{}, NoEndpoint
		}
		e.takeCold(now, true)
	}
	work := r.Work + r.Prefill
	ahead := t.under(now, e) + work
	e.running += work
	e.requests++
	t.busy[e] = struct{}{}
	if e.avoidFor > 0 {
		e.trial = true
	}
	return Choice{
		ID: e.ID, Address: e.Address, DataCentre: e.DataCentre, Version: e.Version, Cold: e.cold(now),
		Expected: time.Duration(ahead * p.pace.get() * float64(time.Second)),
		work:     &work, rest: r.Work, ahead: ahead, at: now,
	}, Picked
}

func anyCold(now time.Time, p *pool) bool {
	return slices.ContainsFunc(p.list, func(e *endpoint) bool { return e.cold(now) })
}

// Began says that the endpoint has read the request's prompt.
func (t *Table) Began(now time.Time, c Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[c.ID]; e != nil {
		e.running = max(e.running-*c.work+c.rest, 0)
		t.services[e.Service].pace.learn(c.ahead, now.Sub(c.at))
	}
	*c.work = c.rest
}

// Share is what the VMs tell each other of an endpoint.
type Share struct {
	// Work is what is under way there.
	Work float64
	// Avoided says that it broke or refused connections a moment ago.
	Avoided bool
}

// Own is what this VM has to tell, by endpoint.
func (t *Table) Own(now time.Time) map[string]Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Share, len(t.busy))
	for e := range t.busy {
		if avoided := e.lost || now.Before(e.avoidUntil); avoided || e.running > 0 {
			out[e.ID] = Share{Work: e.running, Avoided: avoided}
		} else if e.requests == 0 && !e.record.tells(now) {
			delete(t.busy, e)
		}
	}
	return out
}

// SetElsewhere takes what the other VMs tell, by the endpoints' short names
// (rendezvous.Hash.Short); of those not named there is nothing to tell.
func (t *Table) SetElsewhere(now time.Time, shares map[uint32]Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.told {
		e.elsewhere = Share{}
	}
	t.told = t.told[:0]
	for short, share := range shares {
		if e := t.short[short]; e != nil {
			e.elsewhere = share
			t.told = append(t.told, e)
		}
	}
	t.toldAt = now
}

// Done gives a place back with what the attempt told.
func (t *Table) Done(now time.Time, c Choice, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[c.ID]
	if e == nil {
		return
	}
	e.running = max(e.running-*c.work, 0)
	e.requests = max(e.requests-1, 0)
	switch o {
	case Good, Failed:
		e.succeeded()
		e.record.add(now, o == Failed)
		if c, changed := t.services[e.Service].detect().Record(now, outlier.Result{Endpoint: e.ID, Failed: o == Failed}); changed {
			e.detected = c.State
		}
	case Broken:
		e.record.add(now, true)
		e.failed(now)
	case Unreached:
		e.failed(now)
	case Gone:
		e.record.goneUntil = now.Add(otherLife)
		e.failed(now)
		e.avoidFor, e.avoidUntil = max(e.avoidFor, firstAvoidance), e.record.goneUntil
	case Full:
		e.succeeded()
	case Neutral:
		e.trial = false
	}
}

// Cold marks an endpoint as cold for a while, as when it said so in an answer.
func (t *Table) Cold(now time.Time, id string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil && now.Add(left).After(e.coldUntil) {
		e.coldUntil = now.Add(left)
	}
}
