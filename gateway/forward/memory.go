package forward

import (
	"errors"
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/room"
	"goldcrestfork/router/refusal"
)

// memoryMetrics count what the limits on memory did.
type memoryMetrics struct {
	refused *prometheus.CounterVec
	stalled prometheus.Counter
}

// Values of the label "where" of memoryMetrics.refused.
const (
	memoryOfVM       = "vm"
	memoryOfEndpoint = "endpoint"
)

func newMemoryMetrics(r prometheus.Registerer) memoryMetrics {
	m := memoryMetrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_forward_no_memory_total",
			Help: "Requests refused since this VM holds too many bytes, and attempts not made since no endpoint has memory.",
		}, []string{"where"}),
		stalled: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "goldcrest_forward_stalled_callers_total",
			Help: "Callers cut off since they read nothing of their answers.",
		}),
	}
	r.MustRegister(m.refused, m.stalled)
	return m
}

// errNoMemory is returned if a body of unknown length doesn't fit into the VM's memory.
var errNoMemory = errors.New("no memory for the body")

// reserveBody counts the body that the caller announces before it is read, or refuses the request.
func (c *call) reserveBody() *refusal.Refusal {
	if c.h.cfg.Memory == nil {
		return nil
	}
	n := max(c.r.ContentLength, 0)
	if !c.h.cfg.Memory.Take(n) {
		return c.refuseMemory()
	}
	c.heldBytes += n
	return nil
}

// refuseMemory returns the refusal of a request that the VM has no memory for.
func (c *call) refuseMemory() *refusal.Refusal {
	c.h.cfg.Metrics.memory.refused.WithLabelValues(memoryOfVM).Inc()
	return refusal.New(http.StatusServiceUnavailable, refusal.Overloaded, "this VM has no memory for the request").WithRetryAfter(c.retryAfter())
}

// bodyReader returns a reader of the caller's body. It counts the bytes of a body of unknown length.
func (c *call) bodyReader() io.Reader {
	if c.h.cfg.Memory == nil || c.r.ContentLength >= 0 {
		return c.r.Body
	}
	return &countingReader{r: c.r.Body, count: func(n int64) error {
		if !c.h.cfg.Memory.Take(n) {
			return errNoMemory
		}
		c.heldBytes += n
		return nil
	}}
}

// readAnswerBody reads a whole answer and counts its bytes until the end of the request.
func (c *call) readAnswerBody(a *upstream.Answer) ([]byte, error) {
	if c.h.cfg.Memory == nil {
		return readAnswerBody(a)
	}
	return readAnswerBody(&countingReader{r: a, count: func(n int64) error {
		c.h.cfg.Memory.Add(n)
		c.heldBytes += n
		return nil
	}})
}

// releaseBytes counts the request's bytes as no longer held.
func (c *call) releaseBytes() {
	if c.h.cfg.Memory != nil {
		c.h.cfg.Memory.Release(c.heldBytes)
		c.heldBytes = 0
	}
}

// countingReader passes the number of bytes of each read on to count, whose error ends the reading.
type countingReader struct {
	r     io.Reader
	count func(n int64) error
}

// Read implements io.Reader.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if n > 0 {
		if cerr := r.count(int64(n)); cerr != nil {
			return 0, cerr
		}
	}
	return n, err
}

// endpointPriority returns the priority of the attempt that is about to be sent. Until a request's first
// attempt is sent, counted says that another VM sent it to an endpoint.
func (c *call) endpointPriority() int {
	return room.Priority(c.priority, c.reachedBefore() || c.counted)
}
