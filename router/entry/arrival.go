package entry

import (
	"net/http"
	"time"
)

// bodyTimeout bounds the time a caller takes to send its body. A body of 2 MB takes half
// of it on a line of 1 Mbit/s.
const bodyTimeout = 30 * time.Second

// limitBodyRead bounds the reading of a body by the caller's deadline and bodyTimeout.
// Reading a body does not observe a context: without a read deadline, a caller that
// sends a byte now and then would hold its connection and the body's memory forever, and
// a planned stop would wait for it. release removes the read deadline once the body is
// read: the answer may take longer, and net/http keeps reading to detect that the caller
// disconnects.
func limitBodyRead(w http.ResponseWriter, c *Caller) (release func()) {
	connection := http.NewResponseController(w)
	readDeadline := c.Accepted.Add(bodyTimeout)
	if c.Deadline.Before(readDeadline) {
		readDeadline = c.Deadline
	}
	// SetReadDeadline fails only if no connection is behind the writer, in which case
	// reads can't hang.
	_ = connection.SetReadDeadline(readDeadline)
	return func() { _ = connection.SetReadDeadline(time.Time{}) }
}
