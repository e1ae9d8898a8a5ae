package entry

import (
	"net/http"
	"time"
)

// bodyTimeout bounds the time a caller takes to send its body. Grounds: 2 MB take
// half of it over a line of 1 Mbit/s.
const bodyTimeout = 30 * time.Second

// limitArrival bounds the reading of a body by the caller's deadline and bodyTimeout.
// A caller that sends a byte now and then would otherwise hold its connection and
// the body's memory for ever, and a planned stop would wait for it: the reading
// knows no context. free lifts the bound once the body is there; the answer may
// take longer, and net/http reads on to see the caller leave.
func limitArrival(w http.ResponseWriter, c *Caller) (free func()) {
	connection := http.NewResponseController(w)
	by := c.Accepted.Add(bodyTimeout)
	if c.Deadline.Before(by) {
		by = c.Deadline
	}
	// It fails only where no connection is behind the writer; nothing can hang there.
	_ = connection.SetReadDeadline(by)
	return func() { _ = connection.SetReadDeadline(time.Time{}) }
}
