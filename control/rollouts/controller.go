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

// Interval is the time between rounds. One second: at 31 requests a second of a
// new version at 5% of a model's traffic at the letter's size, a bad version's
// 200 requests are six rounds.
const Interval = time.Second

// Holder says whether this VM should run the loop; see lease.Lease.
type Holder interface {
	Held() (until time.Time, ok bool)
}

// Counter returns what the VMs have counted, by source, and whether all of them are in.
type Counter interface {
	Counts(ctx context.Context) (counts []rollout.Counts, complete bool)
}

// Status is one roll-out's part of the state dump.
type Status struct {
	RollOut  string          `json:"rollOut"`
	Epoch    int64           `json:"epoch"`
	Verdict  rollout.Verdict `json:"verdict"`
	From     rollout.Tally   `json:"from"`
	To       rollout.Tally   `json:"to"`
	Complete bool            `json:"complete"`
	// Written tells what came of the last action: "in force", "lost a race", …
	Written string `json:"written,omitempty"`
	// Braked says that the other VMs were told to keep new work from the new version.
	Braked bool `json:"braked,omitempty"`
}

// Controller runs the loop. Safe for concurrent use.
type Controller struct {
	holder        Holder
	configuration control.Configuration
	counter       Counter
	settings      rollout.Settings
	metrics       metrics
	log           zerolog.Logger
	brakes        *rollout.Brakes
	tell          func(rollOut string, epoch int64)

	tick     sync.Mutex
	monitors map[string]*rollout.Monitor

	mu     sync.Mutex
	status map[string]Status
}

type metrics struct {
	rounds  prometheus.Counter
	actions *prometheus.CounterVec
}

// New returns a Controller.
func New(h Holder, c control.Configuration, n Counter, s rollout.Settings, reg prometheus.Registerer, log zerolog.Logger) *Controller {
	ctl := &Controller{
		holder: h, configuration: c, counter: n, settings: s, log: log,
		monitors: make(map[string]*rollout.Monitor),
		status:   make(map[string]Status),
		metrics: metrics{
			// goldcrest_roll_out_rounds_total counts rounds in which this VM held the lease.
			rounds: prometheus.NewCounter(prometheus.CounterOpts{
				Name: "goldcrest_roll_out_rounds_total", Help: "Rounds of the roll-out loop with the lease held.",
			}),
			// goldcrest_roll_out_actions_total counts actions by what came of the write.
			actions: prometheus.NewCounterVec(prometheus.CounterOpts{
				Name: "goldcrest_roll_out_actions_total", Help: "Actions on roll-outs, by action and what came of the write.",
			}, []string{"action", "written"}),
		},
	}
	reg.MustRegister(ctl.metrics.rounds, ctl.metrics.actions)
	return ctl
}

// UseBrakes sets a brake on a new version that should be rolled back while that
// can't be written, since the platform's store is down or this VM doesn't hold the
// lease, and calls tell each round to have the other VMs set it. A VM that has
// counts then judges them without the lease too: in an outage nobody holds it.
// The holder rolls back what another VM braked: braked, the version gets too few
// requests for the holder to find out by itself. Call it before Run.
func (c *Controller) UseBrakes(b *rollout.Brakes, tell func(rollOut string, epoch int64)) {
	c.brakes, c.tell = b, tell
}

// Run does a round each Interval until ctx ends.
func (c *Controller) Run(ctx context.Context) { control.Every(ctx, Interval, c.Tick) }

// Tick does one round, if this VM holds the lease or may brake.
func (c *Controller) Tick(ctx context.Context) {
	c.tick.Lock()
	defer c.tick.Unlock()
	_, held := c.holder.Held()
	if !held && c.brakes == nil {
		c.keep(nil)
		return
	}
	snapshot := c.configuration.Snapshot()
	counts, complete := c.counter.Counts(ctx)
	if !held && len(counts) == 0 {
		c.keep(nil) // not a candidate: it knows nothing to judge by
		return
	}
	if held {
		c.metrics.rounds.Inc()
	}
	c.keep(snapshot.RollOuts)
	for _, name := range slices.Sorted(maps.Keys(snapshot.RollOuts)) {
		if r := snapshot.RollOuts[name]; rollout.UnderWay(r) {
			c.judge(ctx, snapshot, r, counts, complete)
		}
	}
}

// judge evaluates one roll-out and acts on the verdict.
func (c *Controller) judge(ctx context.Context, s *config.Snapshot, r *config.RollOut, counts []rollout.Counts, complete bool) {
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
	v := c.verdict(s, r, m, complete)
	st := Status{RollOut: r.Name, Epoch: r.Revision, Verdict: v, Complete: complete}
	st.From, st.To = m.Sum()
	if v.Action != rollout.Hold {
		st.Written = c.write(ctx, r, v)
	}
	if v.Action == rollout.RollBack && c.brakes != nil && st.Written != writtenInForce {
		c.brakes.Set(r.Name, r.Revision)
		c.tell(r.Name, r.Revision)
		st.Braked = true
	}
	c.mu.Lock()
	c.status[r.Name] = st
	c.mu.Unlock()
}

// verdict puts the operators' word before the comparison, whose findings are kept for the dump.
func (c *Controller) verdict(s *config.Snapshot, r *config.RollOut, m *rollout.Monitor, complete bool) rollout.Verdict {
	v := m.Evaluate(r, time.Now(), complete)
	if r.State == config.RollOutPaused && !strings.HasPrefix(r.Reason, ReasonPrefix) {
		return rollout.Verdict{Action: rollout.Hold, Reason: "paused by an operator", Findings: v.Findings}
	}
	if to, ok := s.Versions[r.To]; !ok || to.State == config.VersionWithdrawn {
		return rollout.Verdict{Action: rollout.RollBack, Reason: r.To + " is withdrawn", Findings: v.Findings}
	}
	if c.brakes != nil && c.brakes.On(r) && v.Action != rollout.RollBack {
		return rollout.Verdict{Action: rollout.RollBack, Reason: "braked for another VM's finding", Findings: v.Findings}
	}
	return v
}

// What came of a write.
const (
	writtenInForce     = "in force"
	writtenNotHeld     = "lease not held, not written"
	writtenConflict    = "lost a race"
	writtenUnknown     = "reply lost"
	writtenUnavailable = "platform unavailable"
	writtenRefused     = "refused"
)

// write puts the action into the configuration, once.
//
// The write is conditional on the revision that was judged. After a lost reply
// nothing is done but to look again: if the write took effect the roll-out has a
// new revision, and a repeat on the old one, from a snapshot that lags, loses.
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
		return written // each round of an outage comes by here: no change of state
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

// keep forgets roll-outs that are not in the configuration.
func (c *Controller) keep(rollOuts map[string]*config.RollOut) {
	gone := func(name string) bool { _, ok := rollOuts[name]; return !ok }
	maps.DeleteFunc(c.monitors, func(name string, _ *rollout.Monitor) bool { return gone(name) })
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.status, func(name string, _ Status) bool { return gone(name) })
}

// Dump explains, by name, what was last decided on each roll-out and why. It is
// empty on a VM that doesn't hold the lease.
func (c *Controller) Dump() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Status
	for _, name := range slices.Sorted(maps.Keys(c.status)) {
		out = append(out, c.status[name])
	}
	return out
}
