package forward

import (
	"context"
	"time"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/patience"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/retry"
)

const (
	// rerouteWindow, rerouteRatio and rerouteSlack bound the overdue requests that this VM
	// sends to another endpoint. In an overload all answers are overdue, and a second attempt
	// at each adds to the overload.
	rerouteWindow = 10 * time.Second
	rerouteRatio  = 0.25
	rerouteSlack  = 3
)

// overduePolicy holds the answer times of services and the budget for rerouted requests.
type overduePolicy struct {
	answerTimes   *patience.AnswerTimes
	rerouteBudget *retry.Window
}

func newOverdue() *overduePolicy {
	return &overduePolicy{answerTimes: patience.NewAnswerTimes(), rerouteBudget: retry.NewWindow(rerouteWindow, rerouteRatio, rerouteSlack)}
}

// timedAttempt is one attempt with its time limit for the head of the answer.
type timedAttempt struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	began  time.Time
}

// beginAttempt starts an attempt. If the request may be repeated, the wait for the head of the
// answer is limited. The caller must call end once the answer is read.
func (c *call) beginAttempt(ctx context.Context, ch placement.Choice) *timedAttempt {
	a := &timedAttempt{began: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	// A rerouted attempt does not add to the budget of further ones.
	if !c.rerouted {
		c.h.overdue.rerouteBudget.RecordFirst(c.h.cfg.Clock())
	}
	if !c.repeatable() || c.via != nil {
		return a
	}
	within := patience.WithinFromEstimate(ch.Expected)
	if c.route.Kind != catalog.Streaming {
		within = c.h.overdue.answerTimes.Within(c.service)
	}
	wait, ok := patience.Timeout(patience.Attempt{
		Within: within, TargetLatency: c.route.Target, Remaining: c.deadline.Sub(a.began),
		AttemptsLeft: c.maxAttempts() - c.possibleRuns - 1,
	})
	if !ok {
		return a
	}
	a.timer = time.AfterFunc(wait, func() {
		if _, ok := c.h.overdue.rerouteBudget.TakeExtra(c.h.cfg.Clock(), 1); ok {
			a.cancel(upstream.ErrOverdue)
		}
	})
	return a
}

// headReceived stops the time limit, since the head of the answer has arrived.
func (a *timedAttempt) headReceived() {
	if a.timer != nil {
		a.timer.Stop()
	}
}

func (a *timedAttempt) end() {
	a.headReceived()
	a.cancel(nil)
}

// isOverdue reports whether the attempt was cancelled because its answer took too long.
func (a *timedAttempt) isOverdue() bool { return context.Cause(a.ctx) == upstream.ErrOverdue }

// rerouteOverdue ends an attempt whose answer took too long, before the request goes to another
// endpoint.
func (c *call) rerouteOverdue(ch placement.Choice) {
	c.rerouted = true
	c.possibleRuns++
	c.tried = append(c.tried, ch.ID)
	c.finishAttempt(ch, placement.Failed, "overdue")
	c.reportGivenUp(ch)
}
