package picker

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"goldcrestfork/policy/limit"
)

// Config sets the plugins of a table.
type Config struct {
	Limit    limit.Config
	State    []StateFilter
	Request  []RequestFilter
	Scorers  []Weighted
	Affinity bool // ask the prefix index for candidates
}

// DefaultConfig returns the standard plugins at the given weights.
func DefaultConfig(w Weights) Config {
	return Config{
		Limit:    limit.DefaultConfig,
		State:    []StateFilter{TakesWork{}, HasRoom{}},
		Request:  []RequestFilter{NotTried{}, ProbesOnly{}, SuspectsApart{}},
		Scorers:  w.Scorers(),
		Affinity: true,
	}
}

// Miss tells why no endpoint was picked.
type Miss string

// The reasons for which nothing is picked.
const (
	// Picked means that there is an endpoint.
	Picked Miss = ""
	// MissUnknown: no endpoint serves that version at all.
	MissUnknown Miss = "unknown"
	// MissDown: endpoints serve it, but none takes work now.
	MissDown Miss = "down"
	// MissFull: all that take work are full.
	MissFull Miss = "full"
	// MissFiltered: those with room were dropped for this request.
	MissFiltered Miss = "filtered"
)

// Table holds the endpoints as one VM sees them. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	cfg       Config
	endpoints map[string]*Endpoint
	pools     map[string]*pool
	prefixes  *prefixIndex
	cands     []Candidate // scratch of Pick
	paused    []*Endpoint
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

// Set makes specs the endpoints of the table. Limits, states and load of those
// that stay are kept; requests that run on those that go may still be released.
func (t *Table) Set(specs []Spec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Sorted, so that pools whose endpoints stay are found unchanged, and a run with
	// the same seed is the same run.
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
		t.join(e)
	}
	for _, e := range old {
		t.prefixes.drop(e)
		e.pools, e.position = nil, nil
	}
	for name, p := range t.pools {
		if before := oldPools[name]; before != nil && slices.Equal(before.members, p.members) {
			p.ring = before.ring // sorting it is most of the cost of a change
		} else {
			p.ring = newRing(p.members)
		}
	}
	for _, s := range specs {
		t.refresh(t.endpoints[s.Name])
	}
}

func (t *Table) join(e *Endpoint) {
	e.counted, e.running = 0, 0
	e.pools = make([]*pool, len(e.Pools))
	e.position = make([]int, len(e.Pools))
	for i, name := range e.Pools {
		p := t.pools[name]
		if p == nil {
			p = &pool{name: name}
			t.pools[name] = p
		}
		p.members = append(p.members, e)
		e.pools[i] = p
		e.position[i] = -1
	}
}

// refresh runs the state filters and files the endpoint accordingly.
func (t *Table) refresh(e *Endpoint) {
	open := e.paused.IsZero()
	for _, f := range t.cfg.State {
		if !f.Eligible(e) {
			open = false
			break
		}
	}
	e.setOpen(open)
	e.count()
}

// Update changes an endpoint's state; it is in force with the next Pick.
func (t *Table) Update(name string, change func(*State)) {
	t.with(name, func(e *Endpoint) { change(&e.State) })
}

// SetCold puts an endpoint in cold start or ends it; its cache is taken as lost.
func (t *Table) SetCold(name string, cold bool) {
	t.with(name, func(e *Endpoint) {
		if cold && !e.limit.Cold() {
			t.prefixes.drop(e)
		}
		if !e.paused.IsZero() {
			e.paused = time.Unix(0, 0) // what paused it is gone: over with the next Pick
		}
		e.limit.SetCold(cold)
	})
}

// SetBounds changes the slots dealt to this VM.
func (t *Table) SetBounds(name string, b limit.Bounds) {
	t.with(name, func(e *Endpoint) {
		e.Bounds = b
		e.limit.SetBounds(b)
	})
}

// Report takes a load report.
func (t *Table) Report(name string, r Report) {
	t.with(name, func(e *Endpoint) {
		if r.At.After(e.Report.At) {
			e.Report = r
			e.sinceReport = 0
		}
	})
}

// Event takes a cache event.
func (t *Table) Event(name string, ev Event) {
	t.with(name, func(e *Endpoint) { t.prefixes.event(e, ev) })
}

func (t *Table) with(name string, change func(*Endpoint)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[name]
	if e == nil {
		return
	}
	change(e)
	t.refresh(e)
}

// Capacity is the number of this VM's requests that may run in the pool at once,
// and how many do.
func (t *Table) Capacity(poolName string) (limit, inFlight int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[poolName]
	if p == nil {
		return 0, 0
	}
	return p.capacity, p.inFlight
}

// Pick chooses an endpoint and takes a slot of it, to be given back by Done.
func (t *Table) Pick(now time.Time, rng *rand.Rand, r *Request) (*Endpoint, Miss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[r.Pool]
	if p == nil || len(p.members) == 0 {
		return nil, MissUnknown
	}
	t.resume(now)
	t.cands = t.cands[:0]
	if t.cfg.Affinity && len(r.Prefix) > 0 {
		t.addHolders(p, r)
	}
	t.addRandom(p, rng, r)
	e := t.best(now, r)
	if e == nil {
		return nil, p.miss()
	}
	e.limit.Acquire()
	e.sinceReport++
	if r.Suspect {
		e.Suspects++
	}
	if t.cfg.Affinity {
		for _, h := range r.Prefix {
			t.prefixes.learn(h, e, assumed)
		}
	}
	t.refresh(e)
	return e, Picked
}

func (t *Table) best(now time.Time, r *Request) *Endpoint {
	var best *Endpoint
	top := 0.0
	for _, c := range t.cands {
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

// Done gives the slot back with what the answer told.
func (t *Table) Done(now time.Time, e *Endpoint, r *Request, s limit.Sample) {
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

// Cached notes how much of the prefix an answer said was cached: hit blocks of r.Prefix.
func (t *Table) Cached(e *Endpoint, r *Request, hit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, h := range r.Prefix {
		if i < hit {
			t.prefixes.learn(h, e, confirmed)
		}
	}
}

// Names returns the pool's endpoints, sorted.
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

func (p *pool) miss() Miss {
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
