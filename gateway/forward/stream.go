package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"goldcrestfork/gateway/sse"
	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/pace"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/sizing"
	"goldcrestfork/router/refusal"
)

// relayState is the caller's side of a stream, across all endpoints that supply it.
type relayState struct {
	flushed   bool
	lastID    int64 // id of the last event that was sent to the caller
	hasLastID bool  // lastID is set
}

// errStreamBroken is returned if an endpoint's stream ended before its last event was complete.
var errStreamBroken = errors.New("the stream broke off")

// errCallerGone is returned if the caller's connection accepts no more data.
var errCallerGone = errors.New("the caller left")

// attemptStream makes one attempt at a request whose answer is a stream of events. If the
// stream breaks, it continues at further endpoints as far as the route allows.
func (c *call) attemptStream(ctx context.Context, ch placement.Choice) (nextAction, *refusal.Refusal) {
	t := c.beginAttempt(ctx, ch)
	defer t.end()
	a, err := c.send(t.ctx, ch, t, "")
	if err != nil {
		return c.handleSendError(ctx, ch, t, err)
	}
	t.headReceived()
	defer a.Close()
	if c.handleNotRun(ch, a) {
		drain(a)
		return tryNext, nil
	}
	if c.endedByAsking(t, a) {
		c.ran = refusal.DidRun
		c.rerouteOverdue(ch)
		return tryNext, nil
	}
	c.possibleRuns++
	c.ran = refusal.DidRun
	c.tried = append(c.tried, ch.ID)
	if a.Status >= 300 {
		body, err := c.readAnswerBody(ctx, a)
		if err != nil {
			c.finishAttempt(ch, cutOutcome(err), "cut")
			c.reportFailure(ch, true)
			return c.outcomeUnknown("the answer broke off")
		}
		return c.handleAnswer(ctx, ch, a, body, time.Since(t.began))
	}
	if !c.isAuthentic(a) {
		c.finishAttempt(ch, placement.Failed, "unsound")
		c.reportFailure(ch, false)
		return c.outcomeUnknown("the answer is not the endpoint's")
	}
	c.recordAnswering(ch)
	c.reportAnswer(ch, pace.Answer{Head: c.answer.head.Sub(c.sentAt)})
	if c.escalate(ctx, a) {
		c.finishAttempt(ch, placement.Good, "weak")
		return tryNext, nil
	}
	c.returnGrant()
	c.h.cfg.Metrics.firstEvent.WithLabelValues(c.route.Kind.String()).Observe(time.Since(c.start).Seconds())
	c.relayStream(ctx, ch, a)
	return done, nil
}

// escalate decides by the head of an answer whether a larger model is asked instead, and prepares
// that attempt.
func (c *call) escalate(ctx context.Context, a *upstream.Answer) bool {
	next, larger := c.largerModel(ctx, a)
	switch {
	case !larger:
		return false
	case !c.reserveRetry() || !c.mayUseGrant():
		c.keepWeak(sizing.ReasonBudget)
		return false
	case !c.switchModel(ctx, next):
		c.keepWeak(sizing.ReasonEndpoint)
		return false
	}
	return true
}

// switchModel makes the next attempt ask another model. If that attempt might find no endpoint, it
// is picked now; switchModel returns false if there is none.
func (c *call) switchModel(ctx context.Context, next int) bool {
	model, tried := c.model, c.tried
	c.model = next
	c.tried = nil // another model may run on an endpoint that was already tried
	if !c.scarce {
		return true
	}
	choice, refused := c.nextEndpoint(ctx)
	if refused != nil {
		c.model, c.tried = model, tried
		return false
	}
	c.reserved = &choice
	return true
}

// largerModel decides by the head of an answer whether a larger model is asked instead, and
// returns its index.
func (c *call) largerModel(ctx context.Context, a *upstream.Answer) (int, bool) {
	if !c.prompt.wildcard || !c.repeatable() || c.via != nil || !c.h.cfg.Poison.MayRepeat(c.service, c.prompt.sharedParts...) {
		return 0, false
	}
	confidence, err := strconv.Atoi(a.Header.Get(c.h.cfg.Names.Confidence))
	load := parseLoad(a.Header.Get(c.h.cfg.Names.Load))
	if c.h.cfg.Table.Managed(c.service) {
		return c.largerModelUnderLoad(ctx, load, confidence, err == nil)
	}
	now := time.Now()
	outlook := c.h.cfg.Table.EstimateWait(now, newRand(), c.requestFor(VersionChoice{}, len(c.route.Models)-1))
	c.scarce = outlook.Scarce
	if err == nil {
		c.sizingNote = fmt.Sprintf("%d,%d/%d,%d+%dms", confidence, load.inFlight(), load.slots, outlook.Wait.Milliseconds(), outlook.Read.Milliseconds())
	}
	return sizing.NextModel(sizing.Input{
		Models: c.route.Models, Current: c.model, Confidence: confidence, Known: err == nil,
		Spent: now.Sub(c.start), Wait: outlook.Wait, Read: outlook.Read, TargetLatency: c.route.Target, Running: load.inFlight(), Slots: load.slots,
		AttemptsLeft: c.maxAttempts() - c.possibleRuns, Left: c.deadline.Sub(now), Total: c.timeout,
	})
}

// reserveRetry reports whether another attempt is allowed within the time left, and takes it
// from the retry budget that the VMs share.
func (c *call) reserveRetry() bool {
	return c.possibleRuns < c.maxAttempts() && time.Until(c.deadline) > 0 && (c.grant != nil || c.takeExtra())
}

// relayStream passes a stream on to the caller and resumes it elsewhere if its endpoint breaks
// off. Once the head is sent no refusal is possible any more: a stream that can't be completed
// is aborted, so that it doesn't look complete.
func (c *call) relayStream(ctx context.Context, ch placement.Choice, a *upstream.Answer) {
	var r relayState
	if !c.route.Resume {
		c.dropBody()
	}
	c.copyHeader(a)
	c.status = a.Status
	c.w.Header().Del("Content-Length")
	c.w.WriteHeader(a.Status)
	err := c.copyEvents(ctx, ch, &r, a)
	for {
		a.Close()
		switch {
		case err == nil:
			c.finishAttempt(ch, placement.Good, resultOK)
			c.reportPace(ch, c.answer.pace())
			return
		case errors.Is(err, errCallerGone) || ctx.Err() != nil:
			c.finishAttempt(ch, placement.NoSignal, "ended")
			c.reportGivenUp(ch)
			c.abort(leaveReason(ctx))
		}
		c.closedByPeer = isClosedByPeer(err)
		c.finishAttempt(ch, placement.Broken, resultBroken)
		c.reportFailure(ch, true)
		if !c.route.Resume {
			c.abort("not resumable")
		}
		if ch, a = c.resume(ctx, &r); a == nil {
			c.abort("not resumed")
		}
		err = c.copyEvents(ctx, ch, &r, a)
	}
}

// resume finds another endpoint that continues the stream after the last event. The answer is
// nil if there is none.
func (c *call) resume(ctx context.Context, r *relayState) (placement.Choice, *upstream.Answer) {
	last := ""
	if r.hasLastID {
		last = strconv.FormatInt(r.lastID, 10)
	} else {
		last = c.r.Header.Get(c.h.cfg.Names.LastEventID)
	}
	for {
		ch, refused := c.nextEndpoint(ctx)
		if refused != nil {
			return ch, nil
		}
		a, err := c.send(ctx, ch, nil, last)
		if err != nil {
			if v, _ := c.handleSendError(ctx, ch, nil, err); v == giveUp {
				return ch, nil
			}
			continue
		}
		if c.handleNotRun(ch, a) {
			drain(a)
			a.Close()
			continue
		}
		c.possibleRuns++
		c.tried = append(c.tried, ch.ID)
		if a.Status < 300 && c.isAuthentic(a) {
			c.recordAnswering(ch)
			return ch, a
		}
		a.Close()
		c.finishAttempt(ch, placement.Failed, "error")
		c.reportFailure(ch, false)
	}
}

// recordAnswering records that an endpoint has begun to answer the current attempt, or goes on with it.
func (c *call) recordAnswering(ch placement.Choice) {
	if c.begun {
		c.h.cfg.Poison.Answering(c.service, ch.ID, c.fingerprint)
	}
}

// abort closes the caller's connection without the end of the answer, which is the only way
// left to mark it as incomplete. It does not return.
func (c *call) abort(outcome string) {
	c.finish(outcome, http.StatusOK)
	panic(http.ErrAbortHandler)
}

// copyEvents copies whole events to the caller until the stream ends.
func (c *call) copyEvents(ctx context.Context, ch placement.Choice, r *relayState, a *upstream.Answer) error {
	rc := http.NewResponseController(c.w)
	var s sse.Splitter
	defer c.releaseEvent()
	buf := make([]byte, 4<<10)
	var accepted []byte // of one read, written together
	for {
		n, rerr := a.Read(buf)
		if n > 0 {
			if !s.Add(buf[:n]) || !c.takeEvent(s.Size()) {
				return errStreamBroken
			}
			events := 0
			accepted = accepted[:0]
			for e := s.Next(); e != nil; e = s.Next() {
				events++
				if r.accept(e) {
					accepted = append(accepted, e...)
				}
			}
			wrote := len(accepted) > 0
			if wrote {
				if _, err := c.w.Write(accepted); err != nil {
					return errCallerGone
				}
			}
			c.answer.add(events, time.Now())
			if events > 0 {
				c.reportEvents(ch)
				c.recordAnswering(ch)
			}
			if wrote || !r.flushed {
				r.flushed = true
				if err := rc.Flush(); err != nil {
					return errCallerGone
				}
			}
		}
		if c.via == nil && rerr == nil {
			rerr = a.PaceStream(ctx, n)
		}
		if errors.Is(rerr, io.EOF) {
			if len(s.Rest()) > 0 {
				return fmt.Errorf("%w: %w", errStreamBroken, rerr)
			}
			return nil
		}
		if rerr != nil {
			return fmt.Errorf("%w: %w", errStreamBroken, rerr)
		}
	}
}

// accept reports whether the caller doesn't have the event yet, and records its id.
func (r *relayState) accept(event []byte) bool {
	id, ok := sse.ID(event)
	if !ok {
		return true
	}
	if r.hasLastID && id <= r.lastID {
		return false
	}
	r.lastID, r.hasLastID = id, true
	return true
}
