package forward

import (
	"net/http"

	"goldcrestfork/router/listen"
	"goldcrestfork/router/refusal"
)

// checkConnection refuses a request on a connection that the VM has no memory for.
func (c *call) checkConnection() *refusal.Refusal {
	conn := listen.Conn(c.r)
	if c.h.cfg.Connections == nil || conn == nil || !c.h.cfg.Connections.IsExcess(conn) {
		return nil
	}
	c.bodyRead = true // the connection ends with the refusal
	c.w.Header().Set("Connection", "close")
	c.h.cfg.Metrics.memory.refused.WithLabelValues(memoryOfConns).Inc()
	return refusal.New(http.StatusServiceUnavailable, refusal.Overloaded, "this VM has no memory for more connections").WithRetryAfter(shortRetryAfter)
}
