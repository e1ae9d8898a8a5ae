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

// tickInterval is the time between two calls of Tick, which refuses waiting requests
// whose deadline can no longer be met. Package admission requires such periodic checks.
const tickInterval = 100 * time.Millisecond

// Slots assigns the endpoints' slots to the VMs.
type Slots interface {
	// Share returns how many of an endpoint's warm slots this VM may use.
	Share(endpoint string, slots int) int
	// TakeCold acquires one of an endpoint's cold slots, which are counted over all VMs.
	// It may call other VMs.
	TakeCold(ctx context.Context, endpoint string, coldSlots int) (ColdSlot, bool)
}

// ColdSlot is the right to run one request on an endpoint in cold start.
type ColdSlot interface {
	// MayStart reports whether the request may still be sent. It is called right before
	// the first byte is sent.
	MayStart() bool
	// Release returns the slot. If ended is true, the endpoint certainly no longer runs
	// the request; otherwise the slot stays taken until the request must have ended.
	Release(ended bool)
}

// Config holds a dispatcher's settings.
type Config struct {
	// DataCentre and Region are the location of this VM.
	DataCentre string
	Region     string
	// Weights are the weights of the scorers. The default is picker.WeightsCost.
	Weights picker.Weights
	// Slots assigns the endpoints' slots; required.
	Slots Slots
	// Registerer receives the metrics; required.
	Registerer prometheus.Registerer
	// Seed makes choices reproducible in tests; 0 selects a random seed.
	Seed uint64
}

// Dispatcher issues tickets. It is safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	table   *picker.Table
	metrics *metrics
	nextID  atomic.Uint64

	mu        sync.Mutex
	rng       *rand.Rand
	pools     map[string]*poolState
	endpoints map[string]*endpoint
	centres   *datacentre.Tracker
	// ramping holds the data centres that have returned to service and are still below
	// their full weight.
	ramping map[string]bool
	// poisonTurn counts the reports about crashes.
	poisonTurn int
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
		pools:     make(map[string]*poolState),
		endpoints: make(map[string]*endpoint),
		centres:   datacentre.NewTracker(datacentre.DefaultSettings()),
	}
}

// Run calls Tick periodically until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
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

// Tick refuses waiting requests whose deadline can no longer be met, ends ejections that
// are due and starts waiting requests for which there is capacity.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateRamps(now)
	d.unblockColdSlots(now)
	for _, ps := range d.pools {
		for _, c := range ps.detector.StartProbations(now) {
			d.applyDetection(now, ps, c)
		}
		d.refresh(ps, now)
	}
}

// Address returns an endpoint's "ip:port", or "" if the endpoint is not configured.
func (d *Dispatcher) Address(endpoint string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.endpoints[endpoint]; e != nil {
		return e.spec.Address
	}
	return ""
}
