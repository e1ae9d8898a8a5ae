package orders

import (
	"context"
	"errors"
	"time"

	"github.com/qmuntal/stateless"

	"goldcrestfork/config"
	"goldcrestfork/durable"
)

// The states of one endpoint's task.
const (
	// stateSettling means that an order of an earlier holder may still be in flight.
	stateSettling = "settling"
	// stateChecking means that the report must be read.
	stateChecking = "checking"
	// stateOrdering means that the report differs and an order must be sent.
	stateOrdering = "ordering"
	// stateDoubtful means that an order got no answer and may still be in flight.
	stateDoubtful = "doubtful"
	// stateAsWanted means that the last report showed the wanted placement; the report
	// is read again after Settings.RecheckInterval.
	stateAsWanted = "right"
)

// The triggers of a task's state machine.
const (
	triggerNoneInFlight = "quiet"
	triggerMatches      = "matches"
	triggerDiffers      = "differs"
	triggerAnswered     = "answered"
	triggerUnanswered   = "unanswered"
	triggerRecheck      = "overdue"
)

func newMachine() *stateless.StateMachine {
	m := stateless.NewStateMachine(stateSettling)
	m.Configure(stateSettling).Permit(triggerNoneInFlight, stateChecking)
	m.Configure(stateChecking).
		Permit(triggerMatches, stateAsWanted).
		Permit(triggerDiffers, stateOrdering)
	m.Configure(stateOrdering).
		Permit(triggerAnswered, stateChecking).
		Permit(triggerUnanswered, stateDoubtful)
	m.Configure(stateDoubtful).Permit(triggerNoneInFlight, stateChecking)
	m.Configure(stateAsWanted).Permit(triggerRecheck, stateChecking)
	return m
}

// task brings one endpoint to its wanted placement. At most one worker at a time uses it.
type task struct {
	machine *stateless.StateMachine
	// due is the earliest time of the next step, by this process's monotonic clock.
	due time.Time
	// wanted is the placement at the last step, from the configuration at revision;
	// problem is the reason why the step failed.
	wanted   Placement
	revision int64
	problem  string
	// failures is the number of consecutive failures, which sets the retry delay.
	failures int

	// fence is the fencing number of the last order.
	fence int64
}

func newTask(due time.Time) *task { return &task{machine: newMachine(), due: due} }

func (t *task) state() string { return t.machine.MustState().(string) }

// fire applies a trigger that the current state permits.
func (t *task) fire(trigger string) {
	if err := t.machine.Fire(trigger); err != nil {
		panic(err) // a trigger that the state doesn't permit is a broken invariant
	}
}

// wantedChanged reports whether the wanted placement has changed since the last step.
func (t *task) wantedChanged(s *config.Snapshot, e *config.Endpoint) bool {
	if s.Revision == t.revision {
		return false
	}
	t.revision = s.Revision
	return !t.wanted.Equal(Wanted(s, e))
}

// maxRetryDelay bounds the delay between attempts on an endpoint that doesn't answer.
const maxRetryDelay = time.Minute

// recordFailure records a failure and delays the next step by 1 s, 2 s, 4 s, … up to
// maxRetryDelay, so that a pool of dead endpoints doesn't occupy the workers.
func (t *task) recordFailure(problem string, now time.Time) {
	t.problem = problem
	delay := min(maxRetryDelay, time.Second<<min(t.failures, 10))
	t.failures++
	t.due = now.Add(delay)
}

// step advances the task: it reads the report and, if that differs, sends an order.
func (c *Controller) step(ctx context.Context, t *task, s *config.Snapshot, e *config.Endpoint) {
	switch t.state() {
	case stateSettling, stateDoubtful:
		t.fire(triggerNoneInFlight)
	case stateAsWanted:
		t.fire(triggerRecheck)
	}
	t.wanted, t.revision = Wanted(s, e), s.Revision
	if t.state() == stateChecking {
		c.check(ctx, t, e)
	}
	if t.state() == stateOrdering {
		c.order(ctx, t, s, e)
	}
}

// check reads the endpoint's report and compares it with the wanted placement.
func (c *Controller) check(ctx context.Context, t *task, e *config.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	report, err := c.endpoints.Report(ctx, e)
	now := time.Now()
	switch {
	case err != nil:
		t.recordFailure("no report: "+err.Error(), now)
	case report.Equal(t.wanted):
		t.fire(triggerMatches)
		t.problem, t.failures = "", 0
		t.due = now.Add(c.settings.RecheckInterval)
	default:
		t.fire(triggerDiffers)
		c.metrics.differences.Inc()
	}
}

// order records the placement and sends the order.
func (c *Controller) order(ctx context.Context, t *task, s *config.Snapshot, e *config.Endpoint) {
	fence, err := c.ensureRecord(ctx, t, s, e)
	if err != nil {
		t.fire(triggerAnswered) // nothing was sent
		t.recordFailure("not recorded: "+err.Error(), time.Now())
		return
	}
	until, held := c.holder.Held()
	if !held {
		t.fire(triggerAnswered)
		t.problem = "lease lapsed, not sent"
		return
	}
	ctx, cancel := context.WithDeadline(ctx, earlier(until, time.Now().Add(c.settings.Timeout)))
	defer cancel()
	t.fence = fence
	err = c.endpoints.Order(ctx, e, Order{Placement: t.wanted, Fence: fence})
	c.metrics.orders.WithLabelValues(outcome(err)).Inc()
	switch {
	case err == nil:
		t.fire(triggerAnswered) // the next round reads the report
		t.failures = 0
		t.due = time.Now()
	case errors.Is(err, ErrFenced):
		t.fire(triggerAnswered)
		t.recordFailure("fenced off", time.Now())
	default:
		t.fire(triggerUnanswered)
		t.recordFailure("no answer to the order: "+err.Error(), time.Now())
		if !e.Fenced {
			t.due = time.Now().Add(c.settings.MaxOrderDelay)
		}
	}
}

// ensureRecord writes the wanted placement to the endpoint's record if necessary and
// returns the fencing number. It reads the record each time. With a cached record a
// holder would go on sending orders after another VM had recorded a newer placement,
// and an endpoint that ignores fencing numbers would apply both in turn.
func (c *Controller) ensureRecord(ctx context.Context, t *task, s *config.Snapshot, e *config.Endpoint) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	current, err := readRecord(ctx, c.store, e.Name)
	if err != nil {
		return 0, err
	}
	current, err = writeRecord(ctx, c.store, e.Name, current, t.wanted, s.Revision)
	return current.version, err
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "obeyed"
	case errors.Is(err, ErrFenced):
		return "fenced off"
	}
	return "no answer"
}
