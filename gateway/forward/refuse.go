package forward

import (
	"io"
	"net/http"
	"time"

	"goldcrestfork/router/refusal"
)

// refuse ends the request with a refusal instead of an endpoint's answer.
func (c *call) refuse(r *refusal.Refusal) {
	r.RequestID = c.id
	c.detail = r.Detail
	if r.Status == statusClientClosedRequest {
		// A caller that closed only its sending side still reads. Without an answer the server would
		// send it an empty success.
		c.finish(string(r.Code), r.Status)
		panic(http.ErrAbortHandler)
	}
	drain := c.refuseEarly()
	c.w.Header().Set(c.h.cfg.Names.RequestID, c.id)
	if c.h.isStopping() {
		c.w.Header().Set("Connection", "close")
	}
	if c.forwardedBy != "" && c.reachedBefore() && impliesNotRun(r.Status) {
		c.w.Header().Set(c.h.cfg.Names.Counted, "1")
	}
	r.WriteFine(c.w)
	c.finish(string(r.Code), r.Status)
	if !drain() {
		panic(http.ErrAbortHandler) // the rest of the body must not be taken for a request
	}
}

const (
	// drainTime and maxDrainBytes bound what is read of the body of a refused request.
	drainTime     = 2 * time.Second
	maxDrainBytes = 8 << 20
	// drainPiece is the length up to which the server reads a body before it sends the refusal.
	drainPiece = 16 << 10
)

// refuseEarly lets a refusal be sent before the caller has sent its body. It returns a function that then
// reads the rest of the body, so that the connection isn't reset before the caller has read the refusal;
// ok is false if the connection can't be used any more.
func (c *call) refuseEarly() (drain func() (ok bool)) {
	usable := func() bool { return true }
	if n := c.r.ContentLength; c.bodyRead || n >= 0 && n <= drainPiece || c.r.Header.Get("Expect") != "" {
		return usable
	}
	rc := http.NewResponseController(c.w)
	if rc.EnableFullDuplex() != nil {
		return usable // the server reads the body itself
	}
	return func() bool {
		if rc.Flush() != nil || rc.SetReadDeadline(time.Now().Add(drainTime)) != nil {
			return false
		}
		n, err := io.Copy(io.Discard, io.LimitReader(c.r.Body, maxDrainBytes))
		return err == nil && n < maxDrainBytes && rc.SetReadDeadline(time.Time{}) == nil
	}
}
