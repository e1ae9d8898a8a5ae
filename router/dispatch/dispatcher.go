package dispatch

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/config"
	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/datacentre"
	"goldcrestfork/policy/limit"
	"goldcrestfork/policy/outlier"
	"goldcrestfork/policy/picker"
	"goldcrestfork/policy/poison"
	"goldcrestfork/policy/retry"
	"goldcrestfork/router/refusal"
)

// tick is the time between two looks at waiting requests whose deadline can't be
// met any more; admission asks for it.
const tick = 100 * time.Millisecond

// Slots deals the endpoints' slots to the VMs.
type Slots interface {
	// Share returns how many of an endpoint's warm slots this VM may use.
	Share(endpoint string, slots int) int
	// TakeCold takes one of an endpoint's cold slots, which are counted over all VMs;
	// it may ask other VMs for it.
	TakeCold(ctx context.Context, endpoint string, coldSlots int) (ColdSlot, bool)
}

// ColdSlot is the right to run one request on an endpoint in cold start.
type ColdSlot interface {
	// MayStart says whether the request may still be sent; ask right before its first byte.
	MayStart() bool
	// Release gives the slot back. ended says that the endpoint certainly runs the
	// request no more; otherwise the slot stays taken until it must have ended.
	Release(ended bool)
}

// Config sets a dispatcher.
type Config struct {
	// DataCentre and Region are where this VM is.
	DataCentre string
	Region     string
	// Weights are the scorers' weights. Default picker.WeightsCost.
	Weights picker.Weights
	// Slots deals the endpoints' slots; required.
	Slots Slots
	// Registerer takes the metrics; required.
	Registerer prometheus.Registerer
	// Seed makes choices repeatable in tests; 0 takes a random one.
	Seed uint64
}

// Dispatcher hands out tickets. It is safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	table   *picker.Table
	metrics *metrics
	nextID  atomic.Uint64

	mu        sync.Mutex
	rng       *rand.Rand
	lines     map[string]*line
	endpoints map[string]*endpoint
	centres   *datacentre.Tracker
	// ramping are the data centres that came back and don't have their full weight yet.
	ramping map[string]bool
}

// endpoint is what is known of an endpoint beside the picker's table.
type endpoint struct {
	spec        *config.Endpoint
	pools       []string
	incarnation string
	cold        bool
	// down says that it can't be reached; out that operators keep work from it.
	down, out bool
	running   map[uint64]poison.Fingerprint
	// detected is the detectors' decision in force.
	detected outlier.State
	// answered is when each of its pools last had a good answer from it.
	answered map[string]time.Time
	// share is this VM's part of its warm slots.
	share int
	// granted is the number of its cold slots that this VM holds; until blocked passes
	// no more are asked for, since none was to be had.
	granted int
	blocked time.Time
}

// line is the queue and the budgets of one pool.
type line struct {
	name     string
	queue    *admission.Queue
	detector *outlier.Detector
	budget   *retry.Budget
	tracker  *poison.Tracker
	size     int // endpoints
}

// New returns a dispatcher without endpoints.
func New(cfg Config) *Dispatcher {
	if cfg.Weights == (picker.Weights{}) {
		cfg.Weights = picker.WeightsCost
	}
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Dispatcher{
		cfg:       cfg,
		table:     picker.NewTable(picker.DefaultConfig(cfg.Weights)),
		metrics:   newMetrics(cfg.Registerer),
		rng:       rand.New(rand.NewPCG(seed, 0)),
		lines:     make(map[string]*line),
		endpoints: make(map[string]*endpoint),
		centres:   datacentre.NewTracker(datacentre.DefaultSettings()),
	}
}

// Configure takes a new configuration: endpoints that leave or whose data centre
// is out get no new work from this call on.
func (d *Dispatcher) Configure(s *config.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.centres.Observe(s.DataCentres, now)
	d.ramping = make(map[string]bool)
	for name, dc := range s.DataCentres {
		d.ramping[name] = dc.State == config.DataCentreIn && d.centres.Weight(name, now) < 1
	}
	specs := make([]picker.Spec, 0, len(s.Endpoints))
	members := make(map[string][]string)
	for name, e := range s.Endpoints {
		pools := poolsOf(e)
		own := d.endpoints[name]
		if own == nil {
			own = &endpoint{running: make(map[uint64]poison.Fingerprint), answered: make(map[string]time.Time)}
			d.endpoints[name] = own
		}
		own.spec, own.pools = e, pools
		own.share = d.cfg.Slots.Share(name, e.Slots)
		specs = append(specs, d.specOf(s, own))
		for _, p := range pools {
			members[p] = append(members[p], name)
		}
	}
	for name := range d.endpoints {
		if s.Endpoints[name] == nil {
			delete(d.endpoints, name)
		}
	}
	d.table.Set(specs)
	for _, e := range s.Endpoints {
		leaving := e.State == config.EndpointLeaving
		dc := s.DataCentres[e.DataCentre]
		out := dc != nil && dc.State == config.DataCentreOut
		d.endpoints[e.Name].out = leaving || out
		d.table.Update(e.Name, func(st *picker.State) { st.Leaving, st.DataCentreOut = leaving, out })
	}
	d.setLines(members)
}

func poolsOf(e *config.Endpoint) []string {
	if e.Service != "" {
		return []string{ServicePool(e.Service)}
	}
	return e.Versions
}

func (d *Dispatcher) specOf(s *config.Snapshot, own *endpoint) picker.Spec {
	e, tier := own.spec, picker.TierFar
	if dc := s.DataCentres[e.DataCentre]; e.DataCentre == d.cfg.DataCentre {
		tier = picker.TierLocal
	} else if dc != nil && dc.Region == d.cfg.Region {
		tier = picker.TierRegion
	}
	return picker.Spec{Name: e.Name, Pools: own.pools, DataCentre: e.DataCentre, Tier: tier, Bounds: d.bounds(own)}
}

// bounds are this VM's slots of an endpoint. In a data centre that has just come
// back they grow over its ramp: its endpoints have empty caches, and the whole
// load at once would meet them as a burst. In cold start they are the cold slots
// held, and one more while it makes sense to ask for one.
func (d *Dispatcher) bounds(e *endpoint) limit.Bounds {
	now, weight, cold := time.Now(), 1.0, e.granted
	if d.ramping[e.spec.DataCentre] {
		weight = d.centres.Weight(e.spec.DataCentre, now)
	}
	if !now.Before(e.blocked) {
		cold++
	}
	return limit.Bounds{
		Slots: int(math.Ceil(float64(e.share) * weight)),
		Cold:  min(cold, e.spec.ColdSlots),
	}
}

// setLines makes one line for each pool. Callers hold d.mu.
func (d *Dispatcher) setLines(members map[string][]string) {
	now := time.Now()
	for pool, names := range members {
		l := d.lines[pool]
		if l == nil {
			l = &line{
				name:     pool,
				queue:    admission.New(admission.Config{}, rand.New(rand.NewPCG(d.rng.Uint64(), 0))),
				detector: outlier.New(),
				budget:   retry.New(retry.Ratio),
				tracker:  poison.New(len(names)),
			}
			d.lines[pool] = l
		}
		l.size = len(names)
		l.detector.Set(names)
		l.tracker.Resize(len(names))
	}
	for pool, l := range d.lines {
		if members[pool] == nil {
			l.queue.SetCapacity(now, 0)
			d.answerRefused(l, now)
			delete(d.lines, pool)
			continue
		}
		d.refresh(l, now)
	}
}

// Rebalance takes a change of membership: the slots dealt to this VM may have moved.
func (d *Dispatcher) Rebalance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, e := range d.endpoints {
		e.share = d.cfg.Slots.Share(name, e.spec.Slots)
		d.table.SetBounds(name, d.bounds(e))
	}
}

// ramp lets the slots of data centres that came back grow. Callers hold d.mu.
func (d *Dispatcher) ramp(now time.Time) {
	for dc, on := range d.ramping {
		if !on {
			continue
		}
		for name, e := range d.endpoints {
			if e.spec.DataCentre == dc {
				d.table.SetBounds(name, d.bounds(e))
			}
		}
		d.ramping[dc] = d.centres.Weight(dc, now) < 1
	}
}

// Run looks after waiting requests until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			d.Tick(now)
		}
	}
}

// Tick refuses what can't be done any more, ends ejections and starts what fits.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ramp(now)
	d.unblock(now)
	for _, l := range d.lines {
		for _, c := range l.detector.Due(now) {
			d.apply(now, l, c)
		}
		d.refresh(l, now)
	}
}

// refresh sets a line's capacity and starts what fits. Callers hold d.mu.
func (d *Dispatcher) refresh(l *line, now time.Time) {
	slots, _ := d.table.Capacity(l.name)
	if slots == 0 && d.coldLater(l.name) {
		slots = 1
	}
	l.queue.SetCapacity(now, slots)
	d.pump(l, now)
}

// coldLater says that a pool without room has an endpoint in cold start whose slots
// are other VMs' for the moment. Taken for a pool without endpoints, its requests
// would be refused, although waiting is what helps.
func (d *Dispatcher) coldLater(pool string) bool {
	for _, e := range d.endpoints {
		if e.cold && !e.down && !e.out && slices.Contains(e.pools, pool) {
			return true
		}
	}
	return false
}

// otherAnswer is how recent another version's good answer must be to clear an
// endpoint: about the time in which a detector sees the failures that condemn it.
const otherAnswer = 5 * time.Second

// apply passes a detector's decision on to the picker. Callers hold d.mu.
func (d *Dispatcher) apply(now time.Time, l *line, c outlier.Change) {
	if c.State == outlier.Ejected && d.cleared(now, l.name, c.Endpoint) {
		d.metrics.ejections.WithLabelValues("cleared").Inc()
		return
	}
	d.metrics.ejections.WithLabelValues(stateNames[c.State]).Inc()
	if e := d.endpoints[c.Endpoint]; e != nil {
		e.detected = c.State
	}
	d.table.Update(c.Endpoint, func(s *picker.State) {
		s.Ejected = c.State == outlier.Ejected
		s.Probation = c.State == outlier.Probation
	})
}

// cleared says that an endpoint which fails one version serves another one well.
// A version that turns bad fails on every endpoint that has it loaded; ejecting
// them would take a third of the good version's endpoints away with it. The bad
// version's own circuit and its roll-out deal with it.
func (d *Dispatcher) cleared(now time.Time, pool, endpoint string) bool {
	e := d.endpoints[endpoint]
	if e == nil {
		return false
	}
	for other, at := range e.answered {
		if other != pool && now.Sub(at) < otherAnswer {
			return true
		}
	}
	return false
}

// pump starts waiting requests while there is room. Callers hold d.mu.
func (d *Dispatcher) pump(l *line, now time.Time) {
	for {
		it, ok := l.queue.Next(now)
		if !ok {
			break
		}
		w := it.Value.(*waiter)
		t, miss := d.pick(l, now, w.need, it)
		if t != nil {
			w.done <- grant{ticket: t}
			continue
		}
		if bad := d.missed(l, w.need, miss); bad != nil {
			l.queue.Done(now, it, 0, 0)
			w.done <- grant{refusal: bad}
			continue
		}
		l.queue.PutBack(now, it)
		break
	}
	d.answerRefused(l, now)
}

// answerRefused gives the queue's final answers at once. Callers hold d.mu.
func (d *Dispatcher) answerRefused(l *line, now time.Time) {
	for _, r := range l.queue.Refused(now) {
		w := r.Item.Value.(*waiter)
		w.done <- grant{refusal: d.refusal(r.Reason, r.RetryAfter)}
	}
}

// refusal turns an admission's reason into the caller's answer.
func (d *Dispatcher) refusal(reason admission.Reason, after time.Duration) *refusal.Refusal {
	d.metrics.refused.WithLabelValues(string(reason)).Inc()
	switch reason {
	case admission.ReasonDeadline:
		return refusal.New(http.StatusTooManyRequests, refusal.DeadlineTooShort, "the request can't be done by its deadline").After(after)
	case admission.ReasonNoCapacity:
		return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint takes work now").After(after)
	case admission.ReasonBroken:
		return refusal.New(http.StatusServiceUnavailable, refusal.EndpointFailed, "nearly all answers of the pool fail").After(after)
	default:
		return refusal.New(http.StatusTooManyRequests, refusal.Overloaded, "the queue is full").After(after)
	}
}

// missed is the final answer to a request for which nothing was picked, or nil
// when waiting helps.
func (d *Dispatcher) missed(l *line, n *Need, miss picker.Miss) *refusal.Refusal {
	switch {
	case n.Only != "" && miss != picker.MissFull:
		return refusal.New(http.StatusGone, refusal.ResumeNotPossible, "the endpoint that holds the stream takes no work").WhichRan(refusal.DidRun)
	case miss == picker.MissUnknown:
		return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint serves %s", l.name)
	case miss == picker.MissFiltered && len(n.tried) >= l.size:
		return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "all endpoints of %s were tried", l.name).After(time.Second)
	}
	return nil
}

// Address returns an endpoint's "ip:port"; empty for one that is not configured.
func (d *Dispatcher) Address(endpoint string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.endpoints[endpoint]; e != nil {
		return e.spec.Address
	}
	return ""
}

// Pools names the pools, sorted.
func (d *Dispatcher) Pools() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]string, 0, len(d.lines))
	for n := range d.lines {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
