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
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/sizing"
	"goldcrestfork/router/refusal"
)

// relay is the caller's side of a stream, over all endpoints that feed it.
type relay struct {
	started bool
	last    int64 // id of the last event that went to the caller
	any     bool  // an event with an id went to the caller
}

// errBroken: the endpoint's stream ended before its end.
var errBroken = errors.New("the stream broke off")

// errCaller: the caller's connection takes no more.
var errCaller = errors.New("the caller left")

// stream runs a request whose answer is a stream of events, over as many endpoints
// as it takes and the route allows.
func (c *call) stream(ctx context.Context, ch placement.Choice) (verdict, *refusal.Refusal) {
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
	c.sends++
	c.ran = refusal.DidRun
	c.tried = append(c.tried, ch.ID)
	if a.Status >= 300 {
		body, err := readWhole(a)
		if err != nil {
			c.settle(ch, placement.Failed, "cut")
			c.answered(ch, true, 0)
			return c.unknown("the answer broke off")
		}
		return c.judge(ch, a, body, time.Since(t.began))
	}
	if !c.sound(a) {
		c.settle(ch, placement.Failed, "unsound")
		c.answered(ch, true, 0)
		return c.unknown("the answer is not the endpoint's")
	}
	c.answered(ch, false, time.Since(t.began))
	if next, up := c.larger(a); up && c.mayGoOn() {
		c.settle(ch, placement.Good, "weak")
		c.model = next
		c.tried = nil // another model on the same endpoint is another run
		return again, nil
	}
	c.h.cfg.Metrics.firstEvent.WithLabelValues(c.route.Kind.String()).Observe(time.Since(c.start).Seconds())
	c.relay(ctx, ch, a)
	return done, nil
}

// larger decides by the answer's head whether another model is asked instead.
func (c *call) larger(a *upstream.Answer) (int, bool) {
	if !c.prompt.wildcard {
		return 0, false
	}
	conf, err := strconv.Atoi(a.Header.Get(c.h.cfg.Names.Confidence))
	load := readLoad(a.Header.Get(c.h.cfg.Names.Load))
	now := time.Now()
	look := c.h.cfg.Table.Outlook(now, newRand(), c.needOf(Choice{}, len(c.route.Models)-1))
	if err == nil {
		c.opinion = fmt.Sprintf("%d,%d/%d,%d+%dms", conf, load.under(), load.slots, look.Wait.Milliseconds(), look.Read.Milliseconds())
	}
	return sizing.Next(sizing.Situation{
		Models: c.route.Models, At: c.model, Confidence: conf, Known: err == nil,
		Spent: now.Sub(c.start), Wait: look.Wait, Read: look.Read, Aim: c.route.Target, Under: load.under(), Slots: load.slots,
		AttemptsLeft: c.route.MaxAttempts - c.sends, Left: c.deadline.Sub(now), Whole: c.whole,
	})
}

// mayGoOn says that another attempt is allowed and there is time for it, and takes it
// from the fleet's budget.
func (c *call) mayGoOn() bool {
	c.paid = c.sends < c.route.MaxAttempts && time.Until(c.deadline) > 0 && c.h.cfg.Budget.Again(c.service)
	return c.paid
}

// relay passes a stream on, and resumes it elsewhere when its endpoint breaks off.
// Once its head is with the caller there is no refusal any more: what can't be ended
// whole is cut off so that it doesn't look complete.
func (c *call) relay(ctx context.Context, ch placement.Choice, a *upstream.Answer) {
	var r relay
	c.copyHead(a)
	c.status = a.Status
	c.w.Header().Del("Content-Length")
	c.w.WriteHeader(a.Status)
	err := c.pass(&r, a)
	for {
		a.Close()
		switch {
		case err == nil:
			c.settle(ch, placement.Good, resultOK)
			return
		case errors.Is(err, errCaller) || ctx.Err() != nil:
			c.settle(ch, placement.Neutral, "ended")
			c.abort("caller-left")
		}
		c.settle(ch, placement.Broken, resultBroken)
		c.answered(ch, true, 0)
		if !c.route.Resume {
			c.abort("not resumable")
		}
		if ch, a = c.resume(ctx, &r); a == nil {
			c.abort("not resumed")
		}
		err = c.pass(&r, a)
	}
}

// resume finds another endpoint that goes on after the last event.
func (c *call) resume(ctx context.Context, r *relay) (placement.Choice, *upstream.Answer) {
	last := ""
	if r.any {
		last = strconv.FormatInt(r.last, 10)
	} else {
		last = c.r.Header.Get(c.h.cfg.Names.LastEvent)
	}
	for {
		ch, bad := c.choose(ctx)
		if bad != nil {
			return ch, nil
		}
		a, err := c.send(ctx, ch, last)
		if err != nil {
			if v, _ := c.failed(ctx, ch, nil, err); v == stop {
				return ch, nil
			}
			continue
		}
		if c.refused(ch, a) {
			drain(a)
			a.Close()
			continue
		}
		c.sends++
		c.tried = append(c.tried, ch.ID)
		if a.Status < 300 && c.sound(a) {
			return ch, a
		}
		a.Close()
		c.settle(ch, placement.Failed, "error")
		c.answered(ch, true, 0)
	}
}

// abort cuts the caller's connection: the one way to say that the answer isn't whole.
func (c *call) abort(why string) {
	c.finish(why, http.StatusOK)
	panic(http.ErrAbortHandler)
}

// pass copies whole events to the caller until the stream's end.
func (c *call) pass(r *relay, a *upstream.Answer) error {
	rc := http.NewResponseController(c.w)
	var s sse.Splitter
	buf := make([]byte, 4<<10)
	for {
		n, rerr := a.Read(buf)
		if n > 0 {
			if !s.Add(buf[:n]) {
				return errBroken
			}
			wrote := false
			for e := s.Next(); e != nil; e = s.Next() {
				if !r.fresh(e) {
					continue
				}
				if _, err := c.w.Write(e); err != nil {
					return errCaller
				}
				wrote = true
			}
			if wrote || !r.started {
				r.started = true
				if err := rc.Flush(); err != nil {
					return errCaller
				}
			}
		}
		if errors.Is(rerr, io.EOF) {
			if len(s.Rest()) > 0 {
				return errBroken
			}
			return nil
		}
		if rerr != nil {
			return errBroken
		}
	}
}

// fresh says that the caller doesn't have the event yet, and notes it.
func (r *relay) fresh(event []byte) bool {
	id, ok := sse.ID(event)
	if !ok {
		return true
	}
	if r.any && id <= r.last {
		return false
	}
	r.last, r.any = id, true
	return true
}
