package forward

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/policy/room"
	"goldcrestfork/router/refusal"
)

// memoryMetrics count what the limits on memory did.
type memoryMetrics struct {
	refused *prometheus.CounterVec
	stalled prometheus.Counter
	relayed prometheus.Counter
}

// Values of the label "where" of memoryMetrics.refused.
const (
	memoryOfVM       = "vm"
	memoryOfEndpoint = "endpoint"
	memoryOfConns    = "connections"
)

func newMemoryMetrics(r prometheus.Registerer) memoryMetrics {
	m := memoryMetrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_forward_no_memory_total",
			Help: "Requests refused since this VM holds too many bytes or connections, and attempts not made since no endpoint has memory.",
		}, []string{"where"}),
		stalled: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "goldcrest_forward_stalled_callers_total",
			Help: "Callers cut off since they read nothing of their answers.",
		}),
		relayed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "goldcrest_forward_relayed_answers_total",
			Help: "Answers passed on as they arrived since this VM had no memory for the whole of them.",
		}),
	}
	r.MustRegister(m.refused, m.stalled, m.relayed)
	return m
}

// takeBody counts n bytes of the request's body if the VM has room for them.
func (c *call) takeBody(n int64) bool {
	if m := c.h.cfg.Memory; m != nil {
		if !m.Take(c.accountName(), n) {
			return false
		}
		c.bodyBytes += n
	}
	return true
}

// reserveBody counts the body that the caller announces before it is read, or refuses the request.
func (c *call) reserveBody() *refusal.Refusal {
	if !c.takeBody(max(c.r.ContentLength, 0)) {
		return c.refuseMemory()
	}
	return nil
}

// refuseMemory returns the refusal of a request that the VM has no memory for.
func (c *call) refuseMemory() *refusal.Refusal {
	c.h.cfg.Metrics.memory.refused.WithLabelValues(memoryOfVM).Inc()
	return refusal.New(http.StatusServiceUnavailable, refusal.Overloaded, "this VM has no memory for the request").WithRetryAfter(c.retryAfter())
}

// releaseBody counts n bytes of the request's body as no longer held.
func (c *call) releaseBody(n int64) {
	if c.h.cfg.Memory != nil {
		c.h.cfg.Memory.Release(c.accountName(), n)
		c.bodyBytes -= n
	}
}

// dropBody releases the request's body once it can't be sent again.
func (c *call) dropBody() {
	c.body = nil
	c.releaseBody(c.bodyBytes)
}

// releaseBytes counts the request's bytes as no longer held.
func (c *call) releaseBytes() {
	c.releaseBody(c.bodyBytes)
	if c.h.cfg.Memory != nil {
		c.h.cfg.Memory.Release(c.accountName(), c.answerBytes)
		c.answerBytes = 0
	}
}

// endpointPriority returns the priority of the attempt that is about to be sent. Until a request's first
// attempt is sent, counted says that another VM sent it to an endpoint.
func (c *call) endpointPriority() int {
	return room.Priority(c.priority, c.reachedBefore() || c.counted)
}
