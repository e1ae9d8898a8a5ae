package forward

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
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

// timedAttempt is one attempt with its time limit for the head of the answer. When that has passed, the endpoint is asked
// to stop. If it ends the connection it has stopped, and the request goes on elsewhere. An endpoint that doesn't may not
// have noticed, or not have read the request yet, and its answer is still waited for.
type timedAttempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	// stopAsked ends when the endpoint is asked to stop.
	stopAsked context.Context
	askStop   context.CancelFunc
	askedAt   atomic.Pointer[time.Time] // nil if it wasn't asked
	timer     *time.Timer
	began     time.Time
}

// beginAttempt starts an attempt. If the request may be repeated, the wait for the head of the
// answer is limited. The caller must call end once the answer is read.
func (c *call) beginAttempt(ctx context.Context, ch placement.Choice) *timedAttempt {
	a := &timedAttempt{began: time.Now()}
	c.timed = a
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.stopAsked, a.askStop = context.WithCancel(context.WithoutCancel(ctx)) // the end of ctx resets the connection
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
			now := time.Now()
			a.askedAt.Store(&now)
			a.askStop()
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
	a.cancel()
}

// wasAsked reports whether the endpoint was asked to stop while the request may go on elsewhere.
func (a *timedAttempt) wasAsked() bool { return a.stopAsked.Err() != nil && a.ctx.Err() == nil }

// isOverdue reports whether an attempt that ended with an error did so since its endpoint was asked to stop.
func (a *timedAttempt) isOverdue(err error) bool { return a.wasAsked() && errors.Is(err, io.EOF) }

// endedByAsking reports whether an answer ends an attempt whose endpoint was asked to stop: a failure, or what a server sends
// in place of an answer that it has given up.
func (c *call) endedByAsking(t *timedAttempt, a *upstream.Answer) bool {
	return c.via == nil && t.wasAsked() && !(a.Status < 300 && c.isAuthentic(a))
}

// rerouteOverdue ends an attempt whose answer took too long and whose endpoint has stopped, before the request goes to
// another endpoint.
func (c *call) rerouteOverdue(ch placement.Choice) {
	c.rerouted = true
	c.possibleRuns++
	c.tried = append(c.tried, ch.ID)
	c.finishAttempt(ch, placement.Failed, "overdue")
	c.reportGivenUp(ch)
}
