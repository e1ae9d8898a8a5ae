package orders

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"goldcrestfork/config"
	"goldcrestfork/control"
	"goldcrestfork/durable"
)

// Interval is the time between rounds.
const Interval = time.Second

// Settings holds the time limits and bounds of a Controller.
type Settings struct {
	// Timeout bounds the call for one order or report. Default 5 s; an engine accepts
	// an order in well under a second and loads the versions in the background.
	Timeout time.Duration
	// MaxOrderDelay is how long an order may still take effect after its sender gave up.
	// Default 2 min. The kernel goes on sending the buffered data of a closed connection
	// for 8 retries (tcp_orphan_retries on Linux), about 100 s from the minimum
	// retransmission timeout of 200 ms; the remaining time is for the endpoint to read
	// the order and act on it.
	MaxOrderDelay time.Duration
	// RecheckInterval is the time until the controller reads the report of an endpoint
	// with the wanted placement again. Default 5 min, which is less than seven reports
	// per second for 2,000 endpoints.
	RecheckInterval time.Duration
	// Workers bounds the number of concurrent calls. Default 16.
	Workers int
	// MaxPerRound bounds the endpoints handled in one round. Default 40: 2,000 endpoints
	// get their orders in 101 s (BenchmarkRound), with at most 40 of the several hundred
	// writes per second that the platform allows.
	MaxPerRound int
}

// DefaultSettings returns the default Settings.
func DefaultSettings() Settings {
	return Settings{Timeout: 5 * time.Second, MaxOrderDelay: 2 * time.Minute, RecheckInterval: 5 * time.Minute, Workers: 16, MaxPerRound: 40}
}

// Holder reports whether this VM should run the loop, and until when; lease.Lease
// implements it.
type Holder interface {
	// Held reports whether this VM holds the lease, and until when by its own clock.
	Held() (until time.Time, ok bool)
}

// Source provides the configuration; control.Configuration implements it.
type Source interface {
	// Snapshot returns the configuration in force; callers must not modify it.
	Snapshot() *config.Snapshot
}

// Status holds one endpoint's part of the state dump.
type Status struct {
	Endpoint string    `json:"endpoint"`
	State    string    `json:"state"`
	Wanted   Placement `json:"wanted"`
	// Problem is the reason why the endpoint doesn't have the wanted placement yet.
	Problem string `json:"problem,omitempty"`
	// Next is the time until the next step; for an unfenced endpoint it includes the
	// wait for orders in flight.
	Next  time.Duration `json:"next"`
	Fence int64         `json:"fence"`
}

// Controller sends each model engine the orders that the configuration requires. It is
// safe for concurrent use.
type Controller struct {
	holder    Holder
	source    Source
	store     durable.Store
	endpoints Endpoints
	settings  Settings
	metrics   metrics
	log       zerolog.Logger

	roundMu sync.Mutex
	// tasks is nil while the lease isn't held.
	tasks map[string]*task
	// leaseHeldSince is the time at which a round first found the lease held.
	leaseHeldSince time.Time

	mu       sync.Mutex
	statuses map[string]Status
	suspects map[string]bool
}

type metrics struct {
	orders      *prometheus.CounterVec
	differences prometheus.Counter
}

// New returns a Controller.
func New(h Holder, src Source, store durable.Store, e Endpoints, s Settings, reg prometheus.Registerer, log zerolog.Logger) *Controller {
	c := &Controller{
		holder: h, source: src, store: store, endpoints: e, settings: s, log: log,
		statuses: make(map[string]Status), suspects: make(map[string]bool),
		metrics: metrics{
			// goldcrest_endpoint_orders_total counts orders by outcome.
			orders: prometheus.NewCounterVec(prometheus.CounterOpts{
				Name: "goldcrest_endpoint_orders_total", Help: "Orders sent to endpoints, by outcome.",
			}, []string{"outcome"}),
			// goldcrest_endpoint_differences_total counts reports that differed from the
			// wanted placement.
			differences: prometheus.NewCounter(prometheus.CounterOpts{
				Name: "goldcrest_endpoint_differences_total", Help: "Endpoint reports that differed from the configuration.",
			}),
		},
	}
	reg.MustRegister(c.metrics.orders, c.metrics.differences)
	return c
}

// Run does a round every Interval until ctx ends.
func (c *Controller) Run(ctx context.Context) { control.RunEvery(ctx, Interval, c.Tick) }

// Suspect schedules the read of an endpoint's report for the next round, for example
// after an answer from a version that the endpoint should not have loaded.
func (c *Controller) Suspect(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[endpoint] = true
}

// Tick does one round, if this VM holds the lease.
func (c *Controller) Tick(ctx context.Context) {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	if _, held := c.holder.Held(); !held {
		c.reset()
		return
	}
	if c.tasks == nil {
		c.tasks, c.leaseHeldSince = make(map[string]*task), time.Now()
	}
	s := c.source.Snapshot()
	var workers errgroup.Group
	workers.SetLimit(c.settings.Workers)
	for _, d := range c.dueTasks(s) {
		workers.Go(func() error {
			problemBefore := d.problem
			c.step(ctx, d.task, s, d.endpoint)
			c.recordStatus(d.endpoint.Name, d.task, problemBefore)
			return nil
		})
	}
	_ = workers.Wait() // each step records its problem in its task
}

// reset drops all tasks, statuses and suspects, since another VM may hold the lease now.
func (c *Controller) reset() {
	c.tasks = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.statuses)
	clear(c.suspects)
}

// dueTask pairs a task with its endpoint.
type dueTask struct {
	*task
	endpoint *config.Endpoint
}

// dueTasks adds and removes tasks as the configuration requires, and returns at most
// Settings.MaxPerRound due tasks, the longest due first.
func (c *Controller) dueTasks(s *config.Snapshot) []dueTask {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.tasks {
		if !takesOrders(s.Endpoints[name]) {
			delete(c.tasks, name)
			delete(c.statuses, name)
		}
	}
	now := time.Now()
	var due []dueTask
	for name, e := range s.Endpoints {
		if !takesOrders(e) {
			continue
		}
		t, ok := c.tasks[name]
		if !ok {
			t = newTask(c.firstStepAt(e))
			c.tasks[name] = t
		}
		if t.state() == stateAsWanted && (c.suspects[name] || t.wantedChanged(s, e)) {
			t.due = earlier(t.due, now)
		}
		if !now.Before(t.due) {
			due = append(due, dueTask{t, e})
		}
	}
	clear(c.suspects)
	slices.SortFunc(due, func(a, b dueTask) int { return a.due.Compare(b.due) })
	return due[:min(len(due), c.settings.MaxPerRound)]
}

// takesOrders reports whether an endpoint takes orders, which is the case for a model
// engine that is not leaving.
func takesOrders(e *config.Endpoint) bool {
	return e != nil && e.Service == "" && e.State != config.EndpointLeaving
}

// firstStepAt returns the time of an endpoint's first step after this VM took the
// lease: at once if the endpoint refuses late orders, otherwise when no order can be in
// flight any more. Without this wait an order of the previous holder could take effect
// after one of this VM.
func (c *Controller) firstStepAt(e *config.Endpoint) time.Time {
	if e.Fenced {
		return c.leaseHeldSince
	}
	return c.leaseHeldSince.Add(c.settings.Timeout + c.settings.MaxOrderDelay)
}

// recordStatus stores a task's state for the dump, and logs its problem if that changed.
func (c *Controller) recordStatus(name string, t *task, problemBefore string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[name] = Status{
		Endpoint: name, State: t.state(), Wanted: t.wanted, Problem: t.problem,
		Next: time.Until(t.due), Fence: t.fence,
	}
	if t.problem != problemBefore {
		c.log.Info().Str("endpoint", name).Str("state", t.state()).Str("problem", t.problem).Msg("endpoint orders")
	}
}

// Dump returns the status of each endpoint, sorted by name. It is empty on a VM that
// doesn't hold the lease. Status.Next is as of the task's last step.
func (c *Controller) Dump() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Status
	for _, name := range slices.Sorted(maps.Keys(c.statuses)) {
		out = append(out, c.statuses[name])
	}
	return out
}
