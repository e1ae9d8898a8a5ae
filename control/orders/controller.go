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

// Settings are the figures of a Controller.
type Settings struct {
	// Timeout bounds one order or report. Default 5 s: an engine takes an order
	// in well under a second and loads in the background.
	Timeout time.Duration
	// Flight is how long after its sender gave up an order may still take effect.
	// Default 2 min: the kernel goes on sending what a closed connection still holds
	// for 8 retries (Linux, tcp_orphan_retries), about 100 s from the least timeout
	// of 200 ms; the rest is for the endpoint to read and act (estimated).
	Flight time.Duration
	// Recheck is the time until the report of an endpoint that is right is read
	// again. Default 5 min: at 2,000 endpoints under seven reports a second.
	Recheck time.Duration
	// Workers bounds the calls at once. Default 16.
	Workers int
	// PerRound bounds the endpoints of one round. Default 40: all 2,000 get theirs
	// in 101 s (BenchmarkRound), with at most 40 of the platform's several hundred writes a second.
	PerRound int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Timeout: 5 * time.Second, Flight: 2 * time.Minute, Recheck: 5 * time.Minute, Workers: 16, PerRound: 40}
}

// Holder says whether this VM should run the loop; see lease.Lease.
type Holder interface {
	Held() (until time.Time, ok bool)
}

// Source returns the configuration in force; see control.Configuration.
type Source interface {
	Snapshot() *config.Snapshot
}

// Status is one endpoint's part of the state dump.
type Status struct {
	Endpoint string    `json:"endpoint"`
	State    string    `json:"state"`
	Wanted   Placement `json:"wanted"`
	// Problem tells why it isn't right yet.
	Problem string `json:"problem,omitempty"`
	// Next is the time until the next step; an unfenced endpoint waits out orders on their way.
	Next  time.Duration `json:"next"`
	Fence int64         `json:"fence"`
}

// Controller runs the loop. Safe for concurrent use.
type Controller struct {
	holder    Holder
	source    Source
	store     durable.Store
	endpoints Endpoints
	settings  Settings
	metrics   metrics
	log       zerolog.Logger

	tick sync.Mutex
	// tasks is nil while the lease isn't held.
	tasks map[string]*task
	// tookAt is when a round first found the lease held.
	tookAt time.Time

	mu       sync.Mutex
	status   map[string]Status
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
		status: make(map[string]Status), suspects: make(map[string]bool),
		metrics: metrics{
			// goldcrest_endpoint_orders_total counts orders by outcome.
			orders: prometheus.NewCounterVec(prometheus.CounterOpts{
				Name: "goldcrest_endpoint_orders_total", Help: "Orders sent to endpoints, by outcome.",
			}, []string{"outcome"}),
			// goldcrest_endpoint_differences_total counts reports that were not as wanted.
			differences: prometheus.NewCounter(prometheus.CounterOpts{
				Name: "goldcrest_endpoint_differences_total", Help: "Endpoint reports that differed from the configuration.",
			}),
		},
	}
	reg.MustRegister(c.metrics.orders, c.metrics.differences)
	return c
}

// Run does a round each Interval until ctx ends.
func (c *Controller) Run(ctx context.Context) { control.Every(ctx, Interval, c.Tick) }

// Suspect has an endpoint's report read in the next round, as when an answer
// came from a version that it shouldn't have loaded.
func (c *Controller) Suspect(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[endpoint] = true
}

// Tick does one round, if this VM holds the lease.
func (c *Controller) Tick(ctx context.Context) {
	c.tick.Lock()
	defer c.tick.Unlock()
	if _, held := c.holder.Held(); !held {
		c.drop()
		return
	}
	if c.tasks == nil {
		c.tasks, c.tookAt = make(map[string]*task), time.Now()
	}
	s := c.source.Snapshot()
	var workers errgroup.Group
	workers.SetLimit(c.settings.Workers)
	for _, d := range c.dueTasks(s) {
		workers.Go(func() error {
			before := d.problem
			c.step(ctx, d.task, s, d.endpoint)
			c.note(d.endpoint.Name, d.task, before)
			return nil
		})
	}
	_ = workers.Wait() // steps note their problems in their task
}

// drop forgets everything: another holder may act from now on.
func (c *Controller) drop() {
	c.tasks = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.status)
	clear(c.suspects)
}

// dueTask is a task with its endpoint.
type dueTask struct {
	*task
	endpoint *config.Endpoint
}

// dueTasks returns the tasks to work on now, the longest due first, after tasks
// came and went with the configuration.
func (c *Controller) dueTasks(s *config.Snapshot) []dueTask {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.tasks {
		if !ordered(s.Endpoints[name]) {
			delete(c.tasks, name)
			delete(c.status, name)
		}
	}
	now := time.Now()
	var due []dueTask
	for name, e := range s.Endpoints {
		if !ordered(e) {
			continue
		}
		t, ok := c.tasks[name]
		if !ok {
			t = newTask(c.firstStep(e))
			c.tasks[name] = t
		}
		if t.state() == stateRight && (c.suspects[name] || t.outdated(s, e)) {
			t.due = earlier(t.due, now)
		}
		if !now.Before(t.due) {
			due = append(due, dueTask{t, e})
		}
	}
	clear(c.suspects)
	slices.SortFunc(due, func(a, b dueTask) int { return a.due.Compare(b.due) })
	return due[:min(len(due), c.settings.PerRound)]
}

// ordered says whether an endpoint takes orders: a model engine that stays.
func ordered(e *config.Endpoint) bool {
	return e != nil && e.Service == "" && e.State != config.EndpointLeaving
}

// firstStep is when an endpoint may be ordered about after the lease was taken:
// at once if it refuses late orders, else when none can be on its way any more.
// Without the wait an order of the holder before could land after ours.
func (c *Controller) firstStep(e *config.Endpoint) time.Time {
	if e.Fenced {
		return c.tookAt
	}
	return c.tookAt.Add(c.settings.Timeout + c.settings.Flight)
}

// note keeps a task's state for the dump, and logs a problem once.
func (c *Controller) note(name string, t *task, before string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status[name] = Status{
		Endpoint: name, State: t.state(), Wanted: t.wanted, Problem: t.problem,
		Next: time.Until(t.due), Fence: t.fence,
	}
	if t.problem != before {
		c.log.Info().Str("endpoint", name).Str("state", t.state()).Str("problem", t.problem).Msg("endpoint orders")
	}
}

// Dump explains, by name, where each endpoint stands and why. It is empty on a
// VM that doesn't hold the lease; Next is as of the task's last step.
func (c *Controller) Dump() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Status
	for _, name := range slices.Sorted(maps.Keys(c.status)) {
		out = append(out, c.status[name])
	}
	return out
}
