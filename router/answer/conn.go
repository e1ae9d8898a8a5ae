package answer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// stalledWrite is how long a write may take after the other end has closed its sending side. A process that has
// sent its whole answer may read the rest of the request; one that doesn't would hold the call until its deadline.
const stalledWrite = 3 * time.Second

// conn is a connection whose reads end with io.EOF only if all that was to be written before has been written.
type conn struct {
	net.Conn

	mu       sync.Mutex
	changed  *sync.Cond // of mu
	writing  int        // requests and writes in progress
	ended    bool       // the other end has closed its sending side
	closed   bool
	writeErr error // the first error of a write or a request
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// beginWrite records that a request, or a part of one, is going to be written.
func (c *conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing++
}

// endWrite records how a request, or a part of one, was written.
func (c *conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.changed.Broadcast()
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (n int, err error) {
	c.mu.Lock()
	c.writing++
	if c.ended {
		c.boundWrite()
	}
	c.mu.Unlock()
	defer func() { c.endWrite(err) }()
	return c.Conn.Write(b)
}

// boundWrite bounds the write in progress, or the next one.
func (c *conn) boundWrite() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(stalledWrite)) // fails only on a closed connection
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns the error of a read at the end of file. It waits for writes in progress: one of them may have
// taken the error that the read didn't get.
func (c *conn) endError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended = true
		c.boundWrite()
	}
	for c.writing > 0 && !c.closed {
		c.changed.Wait()
	}
	switch {
	case c.writeErr != nil:
		return fmt.Errorf("%w: the request was not written whole: %w", io.ErrUnexpectedEOF, c.writeErr)
	case c.closed:
		return net.ErrClosed
	}
	return io.EOF
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
