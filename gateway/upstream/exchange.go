package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Request is one request to one endpoint.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request; the endpoint echoes it in the answer header that IDHeader
	// names. Heads that don't bear it, and it alone, are skipped; without an IDHeader none is.
	ID, IDHeader string
	// AtMostOnce marks a request that must not run twice. It is sent only on a connection that
	// was used recently or is new.
	AtMostOnce bool
	// StopAsked ends when the endpoint is asked to stop its work on the request, and may be nil. Send then closes the
	// sending side of the connection and goes on waiting: an endpoint that notices ends the connection, which shows
	// that it has stopped, and one that doesn't may still answer.
	StopAsked context.Context
	// OnSend is called right before the first byte is sent, with the number of the pool's connection; it may be nil.
	OnSend func(conn int64)
}

// Error is the reason why a request got no answer.
type Error struct {
	// Sent reports whether bytes of the request may have reached the endpoint.
	Sent bool
	// Cause is the underlying error.
	Cause error
}

// Error describes the failure and whether the request may have been sent.
func (e *Error) Error() string {
	if e.Sent {
		return "no answer to a request that was sent: " + e.Cause.Error()
	}
	return "not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Answer is the head of an endpoint's answer, from which the body is then read. The caller must
// call Close.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes; -1 if the endpoint does not state it.
	Length int64
	// HasFraming reports whether the answer states its length or is chunked, so that the end of
	// the body differs from a broken connection.
	HasFraming bool
	// Foreign is the number of bytes before the answer that belong to no request.
	Foreign int
	// Reused reports whether the connection has carried another request before.
	Reused bool

	pool                *Pool
	addr                string
	conn                *conn
	resp                *http.Response
	body                *bufio.Reader // under resp.Body; it may hold bytes behind the body
	bodyStart           int64         // bytes received on the connection up to the body
	content             int64         // bytes of the body that were read
	delayed             time.Duration // by PaceStream or PaceBody
	writeErr            error         // why the request was not written whole; nil if it was
	guard               bodyGuard
	stopWatchingContext func() bool
	begun               atomic.Bool // the head arrived
	complete            bool        // the body was read to its end
	reusable            bool
	closed              bool
}

// Send sends a request to an address and waits for the head of the answer. The context bounds
// the whole exchange, including the body; when it ends the connection is reset. A failure is returned as an *Error.
func (p *Pool) Send(ctx context.Context, addr string, r *Request) (*Answer, error) {
	c := p.take(addr, r)
	reused := c != nil
	if c == nil {
		var err error
		if c, err = p.dial(ctx, addr, dialTimeout); err != nil {
			if ctx.Err() == nil {
				p.observer.Failed(addr)
			}
			return nil, &Error{Cause: err}
		}
	}
	c.hasRead = false
	p.recordCarried(ctx, c, r.ID)
	a := &Answer{pool: p, addr: addr, conn: c, Reused: reused, guard: bodyGuard{name: []byte(r.IDHeader), id: []byte(r.ID)}}
	p.begin(a, !r.AtMostOnce)
	a.stopWatchingContext = context.AfterFunc(ctx, c.abort)
	if r.StopAsked != nil {
		stopWatching := context.AfterFunc(r.StopAsked, c.closeSending)
		defer func() {
			if !stopWatching() {
				a.reusable = false
			}
		}()
	}
	if r.OnSend != nil {
		r.OnSend(c.number)
	}
	written, err := c.write(r)
	if err != nil && written == 0 {
		a.Close()
		p.observer.Failed(addr)
		return nil, &Error{Cause: err}
	}
	// A write that failed halfway may still have an answer: an endpoint may refuse a long body
	// before it has read all of it.
	a.writeErr = err
	if headErr := a.readHead(r); headErr != nil {
		a.Close()
		if ctx.Err() == nil && !c.hasRead {
			p.observer.Failed(addr)
		}
		if ctx.Err() != nil {
			headErr = fmt.Errorf("%w (%w)", ctx.Err(), headErr)
		}
		return nil, &Error{Sent: true, Cause: headErr}
	}
	a.begun.Store(true)
	a.reusable = a.writeErr == nil && !a.resp.Close && a.HasFraming
	return a, nil
}

func (c *conn) write(r *Request) (int, error) {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), maxCopiedBody))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return 0, err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) <= maxCopiedBody {
		b.Write(r.Body)
		return c.Write(b.Bytes())
	}
	n, err := c.Write(b.Bytes())
	if err != nil {
		return n, err
	}
	m, err := c.Write(r.Body)
	return n + m, err
}

// maxCopiedBody is the length up to which a body is copied behind the head, to save a system call.
const maxCopiedBody = 16 << 10

// Read reads the body. It returns io.EOF only at the end of a complete body; a connection that
// breaks earlier gives another error. Without framing, the orderly close of the connection is
// the end of the body if the request was written whole. Bytes of another request's answer in the body are an
// error too, as far as they hold its head.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	a.content += int64(n)
	if err := a.checkFraming(); err != nil {
		return 0, err
	}
	if !a.guard.check(b[:n]) {
		return 0, errForeignHead
	}
	if errors.Is(err, io.EOF) && !a.complete {
		if a.writeErr != nil && !a.HasFraming && a.resp.Body != http.NoBody {
			// A reset is reported to the write or to the read, not to both: the read ends as after an orderly close.
			return 0, fmt.Errorf("%w: the request was not written whole: %w", io.ErrUnexpectedEOF, a.writeErr)
		}
		if a.endsInForeignHead() {
			return 0, errForeignHead
		}
		a.complete = true
	}
	return n, err
}

// Close returns the connection to the pool if it can carry another request, and closes it otherwise. If the body was not
// read to its end, the connection is reset. Further calls have no effect.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.pool.end(a)
	a.conn.endLongHead()
	contextActive := a.stopWatchingContext()
	switch {
	case !a.complete:
		a.conn.abort()
		return
	case !contextActive || !a.reusable || a.body.Buffered() > 0 || a.conn.r.Buffered() > 0:
		a.conn.Close()
		return
	}
	a.pool.put(a.addr, a.conn, a.Header.Get("Keep-Alive"))
}

// Idle returns the number of idle connections, for the state dump.
func (p *Pool) Idle() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		n += len(l)
	}
	return n
}

// RemainingMillis formats the time left until a deadline in whole milliseconds, at least 1.
func RemainingMillis(deadline, now time.Time) string {
	return strconv.FormatInt(max(deadline.Sub(now).Milliseconds(), 1), 10)
}
