package forward

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/pace"
	"goldcrestfork/policy/placement"
)

// answerBody is the body of an endpoint's answer.
type answerBody struct {
	// held is what was read of it.
	held []byte
	// whole says that held is all of it. Otherwise the VM has no memory for the rest, which the endpoint
	// still sends.
	whole bool
}

// answerPiece is the size of the pieces in which an answer is read.
const answerPiece = 16 << 10

// readAnswerBody reads an answer as far as the VM has memory for it.
func (c *call) readAnswerBody(ctx context.Context, a *upstream.Answer) (answerBody, error) {
	if a.Length > maxAnswerBytes {
		return answerBody{}, errAnswerTooLong
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, ok := c.growAnswer(body, a.Length)
			if !ok {
				return answerBody{held: body}, nil
			}
			body = grown
		}
		n, err := a.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxAnswerBytes:
			return answerBody{}, errAnswerTooLong
		case errors.Is(err, io.EOF):
			return answerBody{held: body, whole: true}, nil
		case err != nil:
			return answerBody{}, err
		}
		if err := c.paceBody(ctx, a, n); err != nil {
			return answerBody{}, err
		}
	}
}

// paceBody waits until the VM may read on after n bytes of an answer. Another VM has paced what it passes on.
func (c *call) paceBody(ctx context.Context, a *upstream.Answer, n int) error {
	if c.via != nil {
		return nil
	}
	return a.PaceBody(ctx, n)
}

// growAnswer copies an answer of the given length, -1 if unknown, into a larger buffer; ok is false if
// the VM has no room for it. One byte more than the length shows the answer's end.
func (c *call) growAnswer(body []byte, length int64) (grown []byte, ok bool) {
	size := max(2*int64(cap(body)), answerPiece)
	if length >= int64(cap(body)) {
		size = length + 1
	}
	if m := c.h.cfg.Memory; m != nil {
		if !m.TakeAnswer(c.accountName(), size) {
			return nil, false
		}
		m.Release(c.accountName(), int64(cap(body)))
		c.answerBytes += size - int64(cap(body))
	}
	grown = make([]byte, len(body), size)
	copy(grown, body)
	return grown, true
}

// relayAnswer passes an answer on whose rest the endpoint still sends. It returns the error that ended
// the endpoint's answer early, or errCallerGone.
func (c *call) relayAnswer(ctx context.Context, a *upstream.Answer, body answerBody) error {
	c.h.cfg.Metrics.memory.relayed.Inc()
	c.copyHeader(a)
	c.status = a.Status
	if a.Length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	c.dropBody()
	c.w.WriteHeader(a.Status)
	if _, err := c.w.Write(body.held); err != nil {
		return errCallerGone
	}
	buf := make([]byte, answerPiece)
	for sent := len(body.held); ; {
		n, err := a.Read(buf)
		if sent += n; sent > maxAnswerBytes {
			return errAnswerTooLong
		}
		if _, werr := c.w.Write(buf[:n]); werr != nil {
			return errCallerGone
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		if err := c.paceBody(ctx, a, n); err != nil {
			return err
		}
	}
}

// smallEvent is the size up to which an event of a stream isn't counted: it takes no more than the
// connection's other buffers.
const smallEvent = 64 << 10

// takeEvent reports whether the VM has room for the part of a stream's event that has arrived, which
// takes size bytes, and counts it if so.
func (c *call) takeEvent(size int) bool {
	more := int64(size) - c.eventBytes
	if c.h.cfg.Memory == nil || size <= smallEvent || more <= 0 {
		return true
	}
	if !c.h.cfg.Memory.TakeAnswer(c.accountName(), more) {
		return false
	}
	c.eventBytes += more
	return true
}

// releaseEvent counts the event's bytes as no longer held.
func (c *call) releaseEvent() {
	if c.h.cfg.Memory != nil {
		c.h.cfg.Memory.Release(c.accountName(), c.eventBytes)
		c.eventBytes = 0
	}
}

// relaySuccess passes on a successful answer that the VM has no memory for. If the endpoint doesn't
// complete it, the caller's connection is closed, so that the answer doesn't look complete.
func (c *call) relaySuccess(ctx context.Context, ch placement.Choice, a *upstream.Answer, body answerBody, took time.Duration) {
	switch err := c.relayAnswer(ctx, a, body); {
	case err == nil:
		c.finishAttempt(ch, placement.Good, resultOK)
		c.reportAnswer(ch, pace.Answer{Whole: took})
	case errors.Is(err, errCallerGone) || ctx.Err() != nil:
		c.finishAttempt(ch, placement.NoSignal, "ended")
		c.reportGivenUp(ch)
		c.abort(leaveReason(ctx))
	default:
		c.finishAttempt(ch, cutOutcome(err), "cut")
		c.reportFailure(ch, true)
		c.abort("cut")
	}
}
