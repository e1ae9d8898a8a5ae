package picker

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"goldcrestfork/policy/limit"
)

// Config configures the plugins of a table.
type Config struct {
	// Limit configures the concurrency limits of the endpoints.
	Limit limit.Config
	// State and Request are the filters, and Scorers the weighted scorers.
	State    []StateFilter
	Request  []RequestFilter
	Scorers  []Weighted
	Affinity bool // whether the prefix index and the ring add candidates
}

// DefaultConfig returns the standard plugins with the given weights.
func DefaultConfig(w Weights) Config {
	return Config{
		Limit:    limit.DefaultConfig,
		State:    []StateFilter{TakesWork{}, HasFreeCapacity{}},
		Request:  []RequestFilter{NotTried{}, ProbesOnly{}, SeparateSuspects{}},
		Scorers:  w.Scorers(),
		Affinity: true,
	}
}

// NoChoiceReason is the reason why no endpoint was picked.
type NoChoiceReason string

// The reasons for which nothing is picked.
const (
	// Picked means that an endpoint was picked.
	Picked NoChoiceReason = ""
	// MissUnknown means that no endpoint serves the version.
	MissUnknown NoChoiceReason = "unknown"
	// MissDown means that endpoints serve the version but none accepts work.
	MissDown NoChoiceReason = "down"
	// MissFull means that all endpoints that accept work are full.
	MissFull NoChoiceReason = "full"
	// MissFiltered means that the request filters excluded all endpoints with free
	// capacity.
	MissFiltered NoChoiceReason = "filtered"
)

// Table holds the endpoints as one VM sees them. It is safe for concurrent use.
type Table struct {
	mu         sync.Mutex
	cfg        Config
	endpoints  map[string]*Endpoint
	pools      map[string]*pool
	prefixes   *prefixIndex
	candidates []Candidate // buffer reused by Pick
	paused     []*Endpoint
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:       cfg,
		endpoints: make(map[string]*Endpoint),
		pools:     make(map[string]*pool),
		prefixes:  newPrefixIndex(),
	}
}

// SetEndpoints replaces the endpoints of the table. Endpoints that stay keep their limit, state
// and load. Requests that run on removed endpoints may still be released.
func (t *Table) SetEndpoints(specs []Spec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Sorting lets pools with the same endpoints be recognised as unchanged, and makes a
	// run with the same seed reproducible.
	specs = slices.SortedFunc(slices.Values(specs), func(a, b Spec) int { return strings.Compare(a.Name, b.Name) })
	old, oldPools := t.endpoints, t.pools
	t.endpoints = make(map[string]*Endpoint, len(specs))
	t.pools = make(map[string]*pool)
	for _, s := range specs {
		e := old[s.Name]
		if e == nil {
			e = &Endpoint{limit: limit.New(t.cfg.Limit, s.Bounds, false)}
		}
		delete(old, s.Name)
		e.Spec = s
		e.limit.SetBounds(s.Bounds)
		t.endpoints[s.Name] = e
		t.addToPools(e)
	}
	for _, e := range old {
		t.prefixes.invalidate(e)
		e.pools, e.openIndex = nil, nil
	}
	for name, p := range t.pools {
		if before := oldPools[name]; before != nil && slices.Equal(before.members, p.members) {
			p.ring = before.ring // building the ring is most of the cost of a change
		} else {
			p.ring = newRing(p.members)
		}
	}
	for _, s := range specs {
		t.refresh(t.endpoints[s.Name])
	}
}

// addToPools adds the endpoint to the pools that it serves and creates missing pools.
func (t *Table) addToPools(e *Endpoint) {
	e.countedLimit, e.countedInFlight = 0, 0
	e.pools = make([]*pool, len(e.Pools))
	e.openIndex = make([]int, len(e.Pools))
	for i, name := range e.Pools {
		p := t.pools[name]
		if p == nil {
			p = &pool{name: name}
			t.pools[name] = p
		}
		p.members = append(p.members, e)
		e.pools[i] = p
		e.openIndex[i] = -1
	}
}

// refresh runs the state filters and updates the open sets and totals of the endpoint's
// pools.
func (t *Table) refresh(e *Endpoint) {
	open := e.pausedUntil.IsZero()
	for _, f := range t.cfg.State {
		if !f.Eligible(e) {
			open = false
			break
		}
	}
	e.setOpen(open)
	e.updatePoolTotals()
}

// Update changes the state of an endpoint. The change takes effect with the next Pick.
func (t *Table) Update(name string, change func(*State)) {
	t.updateEndpoint(name, func(e *Endpoint) { change(&e.State) })
}

// SetCold starts or ends the cold start of an endpoint. A cold start invalidates the
// endpoint's prefix entries, since its cache is lost.
func (t *Table) SetCold(name string, cold bool) {
	t.updateEndpoint(name, func(e *Endpoint) {
		if cold && !e.limit.Cold() {
			t.prefixes.invalidate(e)
		}
		if !e.pausedUntil.IsZero() {
			e.pausedUntil = time.Unix(0, 0) // the next Pick ends the pause, whose cause is gone
		}
		e.limit.SetCold(cold)
	})
}

// SetBounds changes the slots assigned to this VM.
func (t *Table) SetBounds(name string, b limit.Bounds) {
	t.updateEndpoint(name, func(e *Endpoint) {
		e.Bounds = b
		e.limit.SetBounds(b)
	})
}

// ApplyLoadReport applies a load report unless a newer one is known.
func (t *Table) ApplyLoadReport(name string, r LoadReport) {
	t.updateEndpoint(name, func(e *Endpoint) {
		if r.At.After(e.Report.At) {
			e.Report = r
			e.sinceReport = 0
		}
	})
}

// ApplyCacheEvent applies a cache event of an endpoint.
func (t *Table) ApplyCacheEvent(name string, ev CacheEvent) {
	t.updateEndpoint(name, func(e *Endpoint) { t.prefixes.applyEvent(e, ev) })
}

// updateEndpoint applies the change to the endpoint, if it exists, and refreshes it.
func (t *Table) updateEndpoint(name string, change func(*Endpoint)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[name]
	if e == nil {
		return
	}
	change(e)
	t.refresh(e)
}

// Capacity returns the number of this VM's requests that may run in the pool at once, and
// the number of those that run.
func (t *Table) Capacity(poolName string) (limit, inFlight int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil {
		return 0, 0
	}
	return p.capacity, p.inFlight
}

// Pick chooses an endpoint and takes one of its slots, which Release returns. Without an
// endpoint it returns the reason.
func (t *Table) Pick(now time.Time, rng *rand.Rand, r *Request) (*Endpoint, NoChoiceReason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[r.Pool]
	if p == nil || len(p.members) == 0 {
		return nil, MissUnknown
	}
	t.endPauses(now)
	t.candidates = t.candidates[:0]
	if t.cfg.Affinity && len(r.Prefix) > 0 {
		t.addPrefixHolders(p, r)
	}
	t.addRandom(p, rng, r)
	e := t.bestCandidate(now, r)
	if e == nil {
		return nil, p.missReason()
	}
	e.limit.Acquire()
	e.sinceReport++
	if r.Suspect {
		e.Suspects++
	}
	if t.cfg.Affinity {
		for _, h := range r.Prefix {
			t.prefixes.addHolder(h, e, assumedConfidence)
		}
	}
	t.refresh(e)
	return e, Picked
}

// bestCandidate returns the candidate with the highest weighted sum of scores, or nil.
func (t *Table) bestCandidate(now time.Time, r *Request) *Endpoint {
	var best *Endpoint
	top := 0.0
	for _, c := range t.candidates {
		score := 0.0
		for _, s := range t.cfg.Scorers {
			score += s.Weight * s.Score(now, r, c)
		}
		if best == nil || score > top {
			best, top = c.Endpoint, score
		}
	}
	return best
}

// Release returns the slot of a request and passes the sample of its answer to the
// endpoint's limit.
func (t *Table) Release(now time.Time, e *Endpoint, r *Request, s limit.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.limit.Release(now, s)
	t.pause(now, e)
	if r.Suspect && e.Suspects > 0 {
		e.Suspects--
	}
	if e.pools != nil {
		t.refresh(e)
	}
}

// RecordCached records that an answer reported the first `hit` blocks of r.Prefix as cached.
func (t *Table) RecordCached(e *Endpoint, r *Request, hit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, h := range r.Prefix {
		if i < hit {
			t.prefixes.addHolder(h, e, confirmedConfidence)
		}
	}
}

// Names returns the sorted names of the pool's endpoints.
func (t *Table) Names(poolName string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil {
		return nil
	}
	names := make([]string, len(p.members))
	for i, e := range p.members {
		names[i] = e.Name
	}
	slices.Sort(names)
	return names
}

// missReason returns the reason why no endpoint of the pool was picked.
func (p *pool) missReason() NoChoiceReason {
	for _, set := range p.open {
		if len(set) > 0 {
			return MissFiltered
		}
	}
	for _, e := range p.members {
		if (TakesWork{}).Eligible(e) {
			return MissFull
		}
	}
	return MissDown
}
