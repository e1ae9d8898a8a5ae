package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/placement"
	"goldcrestfork/router/refusal"
)

// maxAnswer bounds the answer of a plain service that is held in memory; a longer one
// is a fault of the endpoint.
const maxAnswer = 8 << 20

// plain makes one attempt at a request with a whole answer. The answer is taken in
// full before its first byte goes on: one that breaks off can then still be replaced.
func (c *call) plain(ctx context.Context, ch placement.Choice) (verdict, *refusal.Refusal) {
	t := c.begin(ctx, ch)
	defer t.end()
	a, err := c.send(t.ctx, ch, "")
	if err != nil {
		return c.failed(ctx, ch, t, err)
	}
	t.headed()
	defer a.Close()
	if c.refused(ch, a) {
		drain(a)
		return again, nil
	}
	body, err := readWhole(a)
	c.sends++
	c.tried = append(c.tried, ch.ID)
	c.ran = refusal.DidRun
	if err != nil {
		if cause := ctx.Err(); cause != nil {
			c.settle(ch, placement.Neutral, "ended")
			return stop, c.ended(cause)
		}
		c.settle(ch, placement.Failed, "cut")
		c.answered(ch, true, 0)
		return c.unknown("the answer broke off")
	}
	took := time.Since(t.began)
	c.h.overdue.times.Learn(c.service, took)
	return c.judge(ch, a, body, took)
}

// judge decides what to do with a whole answer.
func (c *call) judge(ch placement.Choice, a *upstream.Answer, body []byte, took time.Duration) (verdict, *refusal.Refusal) {
	n := &c.h.cfg.Names
	if a.Status < 300 {
		if !c.sound(a) {
			c.settle(ch, placement.Failed, "unsound")
			c.answered(ch, true, took)
			return c.unknown("the answer is not the endpoint's whole answer")
		}
		c.settle(ch, placement.Good, resultOK)
		c.answered(ch, false, took)
		c.reply(a, body)
		return done, nil
	}
	own := a.Header.Get(n.RequestID) == c.id
	if a.Status >= 500 {
		c.settle(ch, placement.Failed, "error")
		c.answered(ch, true, took)
		if c.repeatable() && c.mayGoOn() {
			return again, nil
		}
	} else {
		c.settle(ch, placement.Good, "rejected")
	}
	if promises(a.Status) || !own {
		// These statuses tell the caller that nothing ran; this endpoint didn't say so.
		return stop, refusal.New(http.StatusBadGateway, refusal.EndpointFailed, "the endpoint answered %d", a.Status).WhichRan(refusal.Unknown)
	}
	c.reply(a, body)
	return done, nil
}

// promises says that a status tells callers that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// sound says that a success is the endpoint's own and for this request.
func (c *call) sound(a *upstream.Answer) bool {
	n := &c.h.cfg.Names
	return a.Header.Get(n.RequestID) == c.id && a.Header.Get(n.Signature) != "" && a.Header.Get("Content-Encoding") == ""
}

// reply passes an answer on.
func (c *call) reply(a *upstream.Answer, body []byte) {
	c.copyHead(a)
	c.status = a.Status
	if a.Status >= 200 && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(a.Status)
	if _, err := c.w.Write(body); err != nil {
		c.trail = append(c.trail, step{result: "caller-left"})
	}
}

func (c *call) copyHead(a *upstream.Answer) {
	h := c.w.Header()
	for k, v := range endToEnd(a.Header) {
		h[k] = v
	}
	if c.h.stopping.Load() {
		h.Set("Connection", "close")
	}
}

func readWhole(a *upstream.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		return nil, errTooLong
	}
	return body, err
}

var errTooLong = errors.New("the answer is too long")

// drain reads a short refusal to its end so that the connection can be used again.
func drain(a *upstream.Answer) {
	// An error here only costs the connection, which Close then gives up.
	_, _ = io.CopyN(io.Discard, a, 4<<10)
}
