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
	// movesWindow, movesRatio and movesSlack bound the requests that this VM moves away from
	// answers that are overdue: in an overload all are, and moving them makes it worse.
	movesWindow = 10 * time.Second
	movesRatio  = 0.25
	movesSlack  = 3
)

// overdue holds what a VM knows of how long answers take.
type overdue struct {
	times *patience.Times
	moves *retry.Window
}

func newOverdue() *overdue {
	return &overdue{times: patience.NewTimes(), moves: retry.NewWindow(movesWindow, movesRatio, movesSlack)}
}

// attempt is one attempt's time limit.
type attempt struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	began  time.Time
}

// begin limits how long the attempt waits for the head of its answer, where it may be made
// again elsewhere. end must be called when the answer was read.
func (c *call) begin(ctx context.Context, ch placement.Choice) *attempt {
	a := &attempt{began: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	c.h.overdue.moves.First(a.began)
	if !c.repeatable() {
		return a
	}
	within := patience.WithinOf(ch.Expected)
	if c.route.Kind != catalog.Streaming {
		within = c.h.overdue.times.Within(c.service)
	}
	wait, ok := patience.For(patience.Attempt{
		Within: within, Aim: c.route.Target, Left: c.deadline.Sub(a.began),
		AttemptsLeft: c.route.MaxAttempts - c.sends - 1,
	})
	if !ok {
		return a
	}
	a.timer = time.AfterFunc(wait, func() {
		if c.h.overdue.moves.Again(time.Now(), 1) {
			a.cancel(upstream.ErrOverdue)
		}
	})
	return a
}

// headed says that the head came.
func (a *attempt) headed() {
	if a.timer != nil {
		a.timer.Stop()
	}
}

func (a *attempt) end() {
	a.headed()
	a.cancel(nil)
}

// isOverdue says that the attempt was given up for want of an answer.
func (a *attempt) isOverdue() bool { return context.Cause(a.ctx) == upstream.ErrOverdue }

// moved settles an attempt that was given up; the request goes elsewhere.
func (c *call) moved(ch placement.Choice, a *attempt) {
	waited := time.Since(a.began)
	c.sends++
	c.tried = append(c.tried, ch.ID)
	c.settle(ch, placement.Failed, "overdue")
	// What the endpoint's version is judged by: the answer would have taken this long at least.
	c.answered(ch, false, waited)
}
