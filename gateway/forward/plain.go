package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/pace"
	"goldcrestfork/policy/placement"
	"goldcrestfork/router/refusal"
)

// maxAnswerBytes bounds an answer that is held in memory. A longer one counts as a fault of the
// endpoint.
const maxAnswerBytes = 8 << 20

// attemptPlain makes one attempt at a request whose answer isn't a stream. The answer is read
// in full before its first byte is passed on, so that another endpoint can still replace a
// truncated one. Only if the VM has no memory for all of it is it passed on as it arrives.
func (c *call) attemptPlain(ctx context.Context, ch placement.Choice) (nextAction, *refusal.Refusal) {
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
	body, err := c.readAnswerBody(ctx, a)
	c.possibleRuns++
	c.tried = append(c.tried, ch.ID)
	c.ran = refusal.DidRun
	if err != nil {
		if ctx.Err() != nil {
			c.finishAttempt(ch, placement.NoSignal, "ended")
			c.reportGivenUp(ch)
			return giveUp, c.contextRefusal(ctx)
		}
		c.finishAttempt(ch, cutOutcome(err), "cut")
		c.reportFailure(ch, true)
		return c.outcomeUnknown("the answer broke off")
	}
	took := time.Since(t.began)
	c.h.overdue.answerTimes.Add(c.service, took)
	return c.handleAnswer(ctx, ch, a, body, took)
}

// handleAnswer decides what to do with an answer that was read as far as the VM has memory for it.
func (c *call) handleAnswer(ctx context.Context, ch placement.Choice, a *upstream.Answer, body answerBody, took time.Duration) (nextAction, *refusal.Refusal) {
	n := &c.h.cfg.Names
	if a.Status < 300 {
		if !c.isAuthentic(a) {
			c.finishAttempt(ch, placement.Failed, "unsound")
			c.reportFailure(ch, false)
			return c.outcomeUnknown("the answer is not the endpoint's whole answer")
		}
		if !body.whole {
			c.relaySuccess(ctx, ch, a, body, took)
			return done, nil
		}
		c.finishAttempt(ch, placement.Good, resultOK)
		c.reportAnswer(ch, pace.Answer{Whole: took})
		c.writeAnswer(a, body.held)
		return done, nil
	}
	idMatches := a.Header.Get(n.RequestID) == c.id
	if a.Status >= 500 {
		c.finishAttempt(ch, placement.Failed, "error")
		c.reportFailure(ch, false)
		if c.via == nil && c.repeatable() && c.reserveRetry() {
			return tryNext, nil
		}
	} else {
		c.finishAttempt(ch, placement.Good, "rejected")
	}
	if impliesNotRun(a.Status) || !idMatches {
		// These statuses tell the caller that nothing ran, which this endpoint did not state.
		return giveUp, refusal.New(http.StatusBadGateway, refusal.EndpointFailed, "the endpoint answered %d", a.Status).WithRan(refusal.Unknown)
	}
	if !body.whole {
		if c.relayAnswer(ctx, a, body) != nil {
			c.abort("cut")
		}
		return done, nil
	}
	c.writeAnswer(a, body.held)
	return done, nil
}

// impliesNotRun reports whether a status states that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isAuthentic reports whether a successful answer was made by the endpoint for this request: it
// echoes the request id, has a signature and was not re-encoded on the way.
func (c *call) isAuthentic(a *upstream.Answer) bool {
	n := &c.h.cfg.Names
	return a.Header.Get(n.RequestID) == c.id && a.Header.Get(n.Signature) != "" && a.Header.Get("Content-Encoding") == ""
}

// writeAnswer passes a complete answer on to the caller.
func (c *call) writeAnswer(a *upstream.Answer, body []byte) {
	c.dropBody()
	c.copyHeader(a)
	c.status = a.Status
	if a.Status >= 200 && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(a.Status)
	if _, err := c.w.Write(body); err != nil {
		c.attemptRecords = append(c.attemptRecords, attemptRecord{sentAt: c.sentAt.Sub(c.start), result: "caller-left"})
	}
}

func (c *call) copyHeader(a *upstream.Answer) {
	h := c.w.Header()
	for k, v := range endToEnd(a.Header) {
		h[k] = v
	}
	if c.h.isStopping() {
		h.Set("Connection", "close")
	}
}

var errAnswerTooLong = fmt.Errorf("%w: it is over the size limit", upstream.ErrNoAnswer)

// cutOutcome returns what an answer that ended early says of its endpoint. One that sends bytes without end
// gets no further requests for a time.
func cutOutcome(err error) placement.Outcome {
	if errors.Is(err, upstream.ErrNoAnswer) {
		return placement.Broken
	}
	return placement.Failed
}

// drain reads a short refusal to its end so that the connection can be reused.
func drain(a *upstream.Answer) {
	// After an error here Close closes the connection.
	_, _ = io.CopyN(io.Discard, a, 4<<10)
}
