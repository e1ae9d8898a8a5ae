package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/policy/datacentre"
	"goldcrestfork/policy/picker"
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

// Address returns an endpoint's "ip:port"; empty for one that is not configured.
func (d *Dispatcher) Address(endpoint string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.endpoints[endpoint]; e != nil {
		return e.spec.Address
	}
	return ""
}
