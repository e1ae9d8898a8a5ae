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
	// stateSettling: an order of an earlier holder may still be on its way.
	stateSettling = "settling"
	// stateChecking: the report is to be read.
	stateChecking = "checking"
	// stateOrdering: the report differs, an order is to be sent.
	stateOrdering = "ordering"
	// stateDoubtful: an order got no answer and may still be on its way.
	stateDoubtful = "doubtful"
	// stateRight: the report was as wanted; it is read again now and then.
	stateRight = "right"
)

// The triggers.
const (
	triggerQuiet      = "quiet"
	triggerMatches    = "matches"
	triggerDiffers    = "differs"
	triggerAnswered   = "answered"
	triggerUnanswered = "unanswered"
	triggerOverdue    = "overdue"
)

func newMachine() *stateless.StateMachine {
	m := stateless.NewStateMachine(stateSettling)
	m.Configure(stateSettling).Permit(triggerQuiet, stateChecking)
	m.Configure(stateChecking).
		Permit(triggerMatches, stateRight).
		Permit(triggerDiffers, stateOrdering)
	m.Configure(stateOrdering).
		Permit(triggerAnswered, stateChecking).
		Permit(triggerUnanswered, stateDoubtful)
	m.Configure(stateDoubtful).Permit(triggerQuiet, stateChecking)
	m.Configure(stateRight).Permit(triggerOverdue, stateChecking)
	return m
}

// task is one endpoint's. One worker at a time has it.
type task struct {
	machine *stateless.StateMachine
	// due is when the next step may be taken, by this process's monotonic clock.
	due time.Time
	// wanted is what the last step worked for, by the configuration at revision;
	// problem is why it got no further.
	wanted   Placement
	revision int64
	problem  string
	// failures in a row lengthen the pause between tries.
	failures int

	// fence is the fencing number of the last order.
	fence int64
}

func newTask(due time.Time) *task { return &task{machine: newMachine(), due: due} }

func (t *task) state() string { return t.machine.MustState().(string) }

// fire is for triggers that the state permits.
func (t *task) fire(trigger string) {
	if err := t.machine.Fire(trigger); err != nil {
		panic(err) // a step that doesn't know its state is a broken invariant
	}
}

// outdated says whether the configuration wants something else by now.
func (t *task) outdated(s *config.Snapshot, e *config.Endpoint) bool {
	if s.Revision == t.revision {
		return false
	}
	t.revision = s.Revision
	return !t.wanted.Equal(Wanted(s, e))
}

// maxPause bounds the pause between tries at an endpoint that doesn't answer.
const maxPause = time.Minute

// failed notes a failure and pauses: 1 s, 2 s, 4 s, … up to maxPause, so that a
// pool of dead endpoints takes no worker from the live ones.
func (t *task) failed(problem string, now time.Time) {
	t.problem = problem
	pause := min(maxPause, time.Second<<min(t.failures, 10))
	t.failures++
	t.due = now.Add(pause)
}

// step takes the task as far as it goes now.
func (c *Controller) step(ctx context.Context, t *task, s *config.Snapshot, e *config.Endpoint) {
	switch t.state() {
	case stateSettling, stateDoubtful:
		t.fire(triggerQuiet)
	case stateRight:
		t.fire(triggerOverdue)
	}
	t.wanted, t.revision = Wanted(s, e), s.Revision
	if t.state() == stateChecking {
		c.check(ctx, t, e)
	}
	if t.state() == stateOrdering {
		c.order(ctx, t, s, e)
	}
}

// check reads the report.
func (c *Controller) check(ctx context.Context, t *task, e *config.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	report, err := c.endpoints.Report(ctx, e)
	now := time.Now()
	switch {
	case err != nil:
		t.failed("no report: "+err.Error(), now)
	case report.Equal(t.wanted):
		t.fire(triggerMatches)
		t.problem, t.failures = "", 0
		t.due = now.Add(c.settings.Recheck)
	default:
		t.fire(triggerDiffers)
		c.metrics.differences.Inc()
	}
}

// order records the placement and sends the order.
func (c *Controller) order(ctx context.Context, t *task, s *config.Snapshot, e *config.Endpoint) {
	fence, err := c.record(ctx, t, s, e)
	if err != nil {
		t.fire(triggerAnswered) // nothing was sent
		t.failed("not recorded: "+err.Error(), time.Now())
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
		t.failed("fenced off", time.Now())
	default:
		t.fire(triggerUnanswered)
		t.failed("no answer to the order: "+err.Error(), time.Now())
		if !e.Fenced {
			t.due = time.Now().Add(c.settings.Flight)
		}
	}
}

// record brings the endpoint's record to what is wanted and returns the fencing
// number. The record is read each time: a holder that remembered its own would
// go on ordering by it after another VM had recorded something newer, and an
// endpoint that ignores fencing numbers would obey both in turn.
func (c *Controller) record(ctx context.Context, t *task, s *config.Snapshot, e *config.Endpoint) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	now, err := read(ctx, c.store, e.Name)
	if err != nil {
		return 0, err
	}
	now, err = put(ctx, c.store, e.Name, now, t.wanted, s.Revision)
	return now.version, err
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
