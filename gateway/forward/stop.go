package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/policy/patience"
	"goldcrestfork/router/refusal"
)

// stopTimes are the times of a planned stop.
type stopTimes struct {
	began, end time.Time
	// lastStream is the time after which streams are refused.
	lastStream time.Time
}

// errStopping is the cause of the end of a request's context if the VM stops.
var errStopping = errors.New("the VM stops")

// Stop makes each further answer the last one on its connection. From now on the handler refuses requests
// that are not expected to end before end, and after lastStream all streams, so that they go to other VMs.
func (h *Handler) Stop(lastStream, end time.Time) {
	h.stop.Store(&stopTimes{began: time.Now(), end: end, lastStream: lastStream})
}

// End gives all requests in progress their final answers. A stream whose answer has begun is cut, since it
// would look complete otherwise.
func (h *Handler) End() { h.end() }

// isStopping reports whether the VM is about to stop.
func (h *Handler) isStopping() bool { return h.stop.Load() != nil }

// withEnding returns the request with a context that ends when the VM stops. The function must be called when
// the request has ended.
func (h *Handler) withEnding(r *http.Request) (*http.Request, func()) {
	ctx, cancel := context.WithCancelCause(r.Context())
	stopWatching := context.AfterFunc(h.ending, func() { cancel(errStopping) })
	return r.WithContext(ctx), func() {
		stopWatching()
		cancel(nil)
	}
}

// endsBeforeStop reports whether the request is expected to end before the VM stops, if it is about to.
func (c *call) endsBeforeStop() bool {
	s := c.h.stop.Load()
	if s == nil {
		return true
	}
	if c.route.Kind == catalog.Streaming && c.start.After(s.lastStream) {
		return false
	}
	return patience.EndsInTime(patience.LastRequest{
		Left: s.end.Sub(c.start), Total: s.end.Sub(s.began), Limit: c.timeout, Usual: c.h.wholeTimes.Within(c.route.Name),
	})
}

// limitToStop gives the request no more time than the VM has left, if it is about to stop.
func (c *call) limitToStop() {
	if s := c.h.stop.Load(); s != nil && c.deadline.After(s.end) {
		c.deadline = s.end
	}
}

// refuseStopping returns the refusal of a request that has not run, by a VM that is about to stop.
func refuseStopping(detail string) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.Draining, "%s", detail).WithRetryAfter(shortRetryAfter)
}

// leaveReason returns the outcome of a request whose context has ended while its answer was passed on.
func leaveReason(ctx context.Context) string {
	if errors.Is(context.Cause(ctx), errStopping) {
		return "vm-stops"
	}
	return "caller-left"
}
