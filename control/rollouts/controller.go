package rollouts

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"goldcrestfork/config"
	"goldcrestfork/control"
	"goldcrestfork/durable"
	"goldcrestfork/policy/rollout"
)

// Interval is the time between rounds. At the traffic that the project is designed for, a
// new version with 5% of a model's traffic gets 31 requests per second, so that the 200
// requests allowed to a bad version take six rounds.
const Interval = time.Second

// Holder reports whether this VM should run the loop, and until when; lease.Lease
// implements it.
type Holder interface {
	// Held reports whether this VM holds the lease, and until when by its own clock.
	Held() (until time.Time, ok bool)
}

// CountsSource provides the VMs' request counts.
type CountsSource interface {
	// Counts returns the counts by source, and whether those of all VMs are included.
	Counts(ctx context.Context) (counts []rollout.Counts, complete bool)
}

// Status holds one roll-out's part of the state dump.
type Status struct {
	RollOut  string          `json:"rollOut"`
	Epoch    int64           `json:"epoch"`
	Verdict  rollout.Verdict `json:"verdict"`
	From     rollout.Tally   `json:"from"`
	To       rollout.Tally   `json:"to"`
	Complete bool            `json:"complete"`
	// Written is the result of the write of the last action, such as "in force" or
	// "lost a race".
	Written string `json:"written,omitempty"`
	// Braked is true if the other VMs were asked to send no new work to the new version.
	Braked bool `json:"braked,omitempty"`
}

// Controller evaluates the roll-outs under way and acts on the verdicts. It is safe for
// concurrent use.
type Controller struct {
	holder         Holder
	configuration  control.Configuration
	counter        CountsSource
	settings       rollout.Settings
	metrics        metrics
	log            zerolog.Logger
	brakes         *rollout.Brakes
	broadcastBrake func(rollOut string, epoch int64)

	roundMu  sync.Mutex
	monitors map[string]*rollout.Monitor

	mu       sync.Mutex
	statuses map[string]Status
}

type metrics struct {
	rounds  prometheus.Counter
	actions *prometheus.CounterVec
}

// New returns a Controller.
func New(h Holder, c control.Configuration, n CountsSource, s rollout.Settings, reg prometheus.Registerer, log zerolog.Logger) *Controller {
	ctl := &Controller{
		holder: h, configuration: c, counter: n, settings: s, log: log,
		monitors: make(map[string]*rollout.Monitor),
		statuses: make(map[string]Status),
		metrics: metrics{
			// goldcrest_roll_out_rounds_total counts rounds in which this VM held the lease.
			rounds: prometheus.NewCounter(prometheus.CounterOpts{
				Name: "goldcrest_roll_out_rounds_total", Help: "Rounds of the roll-out loop with the lease held.",
			}),
			// goldcrest_roll_out_actions_total counts actions by the result of the write.
			actions: prometheus.NewCounterVec(prometheus.CounterOpts{
				Name: "goldcrest_roll_out_actions_total", Help: "Actions on roll-outs, by action and result of the write.",
			}, []string{"action", "written"}),
		},
	}
	reg.MustRegister(ctl.metrics.rounds, ctl.metrics.actions)
	return ctl
}

// UseBrakes makes the controller set a brake on a new version that should be rolled
// back but can't be, since the platform's store is down or this VM doesn't hold the
// lease. In each such round it calls broadcastBrake, which asks the other VMs to set the
// brake. A VM that has counts then also evaluates them without the lease, since no VM
// holds the lease during an outage. The holder rolls back a version that another VM
// braked, since a braked version gets too few requests for the holder to detect the
// failure itself. UseBrakes must be called before Run.
func (c *Controller) UseBrakes(b *rollout.Brakes, broadcastBrake func(rollOut string, epoch int64)) {
	c.brakes, c.broadcastBrake = b, broadcastBrake
}

// Run does a round every Interval until ctx ends.
func (c *Controller) Run(ctx context.Context) { control.RunEvery(ctx, Interval, c.Tick) }

// Tick does one round if this VM holds the lease, or if it has brakes and counts.
func (c *Controller) Tick(ctx context.Context) {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	_, held := c.holder.Held()
	if !held && c.brakes == nil {
		c.prune(nil)
		return
	}
	snapshot := c.configuration.Snapshot()
	counts, complete := c.counter.Counts(ctx)
	if !held && len(counts) == 0 {
		c.prune(nil) // not a candidate: there are no counts to evaluate
		return
	}
	if held {
		c.metrics.rounds.Inc()
	}
	c.prune(snapshot.RollOuts)
	for _, name := range slices.Sorted(maps.Keys(snapshot.RollOuts)) {
		if r := snapshot.RollOuts[name]; rollout.UnderWay(r) {
			c.evaluate(ctx, snapshot, r, counts, complete)
		}
	}
}

// evaluate decides on one roll-out and acts on the verdict.
func (c *Controller) evaluate(ctx context.Context, s *config.Snapshot, r *config.RollOut, counts []rollout.Counts, complete bool) {
	m, ok := c.monitors[r.Name]
	if !ok {
		m = rollout.NewMonitor(c.settings)
		c.monitors[r.Name] = m
	}
	m.Begin(r.Revision, time.Now())
	for _, n := range counts {
		if n.RollOut == r.Name {
			m.Add(n)
		}
	}
	v := c.decide(s, r, m, complete)
	st := Status{RollOut: r.Name, Epoch: r.Revision, Verdict: v, Complete: complete}
	st.From, st.To = m.Sum()
	if v.Action != rollout.Hold {
		st.Written = c.write(ctx, r, v)
	}
	if v.Action == rollout.RollBack && c.brakes != nil && st.Written != writtenInForce {
		c.brakes.Set(r.Name, r.Revision)
		c.broadcastBrake(r.Name, r.Revision)
		st.Braked = true
	}
	c.mu.Lock()
	c.statuses[r.Name] = st
	c.mu.Unlock()
}

// decide returns the verdict on a roll-out. An operator's pause, a withdrawal of the new
// version and a brake take precedence over the comparison of the versions, whose
// findings are kept for the dump.
func (c *Controller) decide(s *config.Snapshot, r *config.RollOut, m *rollout.Monitor, complete bool) rollout.Verdict {
	v := m.Evaluate(r, time.Now(), complete)
	if r.State == config.RollOutPaused && !strings.HasPrefix(r.Reason, ReasonPrefix) {
		return rollout.Verdict{Action: rollout.Hold, Reason: "paused by an operator", Findings: v.Findings}
	}
	if to, ok := s.Versions[r.To]; !ok || to.State == config.VersionWithdrawn {
		return rollout.Verdict{Action: rollout.RollBack, Reason: r.To + " is withdrawn", Findings: v.Findings}
	}
	if c.brakes != nil && c.brakes.IsBraked(r) && v.Action != rollout.RollBack {
		return rollout.Verdict{Action: rollout.RollBack, Reason: "braked for another VM's finding", Findings: v.Findings}
	}
	return v
}

// The results of a write, as in Status.Written and the metrics.
const (
	writtenInForce     = "in force"
	writtenNotHeld     = "lease not held, not written"
	writtenConflict    = "lost a race"
	writtenUnknown     = "reply lost"
	writtenUnavailable = "platform unavailable"
	writtenRefused     = "refused"
)

// write applies the verdict's action to the roll-out in the configuration, and returns
// the result.
//
// The write is conditional on the revision that was evaluated, and it isn't repeated
// after a lost reply. If it took effect, the roll-out has a new revision, and a later
// write on the old revision, from a snapshot that lags, conflicts.
func (c *Controller) write(ctx context.Context, r *config.RollOut, v rollout.Verdict) string {
	written := writtenNotHeld
	if until, held := c.holder.Held(); held {
		ctx, cancel := context.WithDeadline(ctx, until)
		defer cancel()
		_, err := c.configuration.Update(ctx, config.KindRollOut, r.Name, func(obj config.Object) error {
			return apply(obj.(*config.RollOut), v)
		}, r.Revision)
		written = outcome(err)
	}
	c.metrics.actions.WithLabelValues(v.Action.String(), written).Inc()
	if written == writtenNotHeld {
		return written // not logged, since this happens in each round of an outage
	}
	c.log.Info().Str("rollOut", r.Name).Str("action", v.Action.String()).
		Str("reason", v.Reason).Str("written", written).Msg("roll-out " + v.Action.String())
	return written
}

func outcome(err error) string {
	switch {
	case err == nil:
		return writtenInForce
	case errors.Is(err, control.ErrConflict):
		return writtenConflict
	case errors.Is(err, durable.ErrUnknown):
		return writtenUnknown
	case errors.Is(err, durable.ErrUnavailable), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return writtenUnavailable
	}
	return writtenRefused
}

// prune drops the monitors and statuses of all roll-outs but those given.
func (c *Controller) prune(rollOuts map[string]*config.RollOut) {
	gone := func(name string) bool { _, ok := rollOuts[name]; return !ok }
	maps.DeleteFunc(c.monitors, func(name string, _ *rollout.Monitor) bool { return gone(name) })
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.statuses, func(name string, _ Status) bool { return gone(name) })
}

// Dump returns the last verdict on each roll-out and its reason, sorted by name. It is
// empty on a VM that neither holds the lease nor has counts to brake by.
func (c *Controller) Dump() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Status
	for _, name := range slices.Sorted(maps.Keys(c.statuses)) {
		out = append(out, c.statuses[name])
	}
	return out
}
