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
	"time"
)

// Request is one request to one endpoint.
type Request struct {
	Method string
	Target string // path and query as they came
	Host   string
	Header http.Header
	Body   []byte
	// ID is expected back in the header IDHeader of the answer.
	ID, IDHeader string
	// Once requests must not run twice; they go on fresh connections.
	Once bool
}

// Error tells why there is no answer.
type Error struct {
	// Sent says that bytes of the request may have reached the endpoint.
	Sent bool
	// Cause is what went wrong.
	Cause error
}

func (e *Error) Error() string {
	if e.Sent {
		return "no answer to a request that was sent: " + e.Cause.Error()
	}
	return "not sent: " + e.Cause.Error()
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ErrOverdue is the cause with which a request's context ends whose answer is waited for no
// longer: it is sent elsewhere, and must not arrive here later.
var ErrOverdue = errors.New("the answer is overdue")

// errStranger: the connection carries answers to other requests only.
var errStranger = errors.New("answers on the connection belong to other requests")

// maxStrangers bounds the answers to other requests that are read past.
const maxStrangers = 2

// Answer is the head of an endpoint's answer; its body is still to be read.
// Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length, -1 if it isn't said.
	Length int64
	// Framed says that the end of the body can be told from a broken connection.
	Framed bool

	pool     *Pool
	addr     string
	c        *conn
	resp     *http.Response
	stop     func() bool
	whole    bool // the body was read to its end
	reusable bool
	closed   bool
}

// Send sends a request and waits for the head of its answer. The context bounds the
// whole exchange, the body included.
func (p *Pool) Send(ctx context.Context, addr string, r *Request) (*Answer, error) {
	c := p.take(addr, r.Once)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, addr, dialTimeout); err != nil {
			return nil, &Error{Cause: err}
		}
	}
	a := &Answer{pool: p, addr: addr, c: c}
	p.begin(a, !r.Once)
	a.stop = context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), ErrOverdue) {
			c.abort()
			return
		}
		c.Close()
	})
	written, err := c.write(r)
	if err != nil && written == 0 {
		a.Close()
		return nil, &Error{Cause: err}
	}
	// A write that failed halfway may still have an answer, as when an endpoint
	// refuses a long body before it has read it.
	early := err != nil
	if herr := a.head(r); herr != nil {
		a.Close()
		if ctx.Err() != nil {
			herr = fmt.Errorf("%w (%w)", ctx.Err(), herr)
		}
		return nil, &Error{Sent: true, Cause: herr}
	}
	a.reusable = !early && !a.resp.Close && a.Framed
	return a, nil
}

func (c *conn) write(r *Request) (int, error) {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return 0, err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return c.Write(b.Bytes())
}

// head reads heads until one belongs to the request.
func (a *Answer) head(r *Request) error {
	req := &http.Request{Method: r.Method}
	for range maxStrangers + 1 {
		resp, err := readFinal(a.c.r, req)
		if err != nil {
			return err
		}
		a.resp, a.Status, a.Header, a.Length = resp, resp.StatusCode, resp.Header, resp.ContentLength
		a.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		if id := resp.Header.Get(r.IDHeader); id == "" || id == r.ID {
			return nil
		}
		if !a.Framed {
			return errStranger
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return errStranger
}

// readFinal reads past interim answers (1xx).
func readFinal(br *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

// Read reads the body. It returns io.EOF only at its whole end: a connection that
// breaks before gives another error. Where the answer has no framing the end is the
// connection's orderly end.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close gives the connection back if it can carry another request, and closes it
// otherwise, which tells the endpoint to stop. Closing twice is harmless.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.pool.end(a)
	running := a.stop()
	if !running || !a.whole || !a.reusable || a.c.r.Buffered() > 0 {
		a.c.Close()
		return
	}
	a.pool.put(a.addr, a.c, a.Header.Get("Keep-Alive"))
}

// Idle is how many idle connections there are, for the state dump.
func (p *Pool) Idle() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		n += len(l)
	}
	return n
}

// Budget is the time left to a deadline in whole milliseconds, at least one.
func Budget(deadline, now time.Time) string {
	return strconv.FormatInt(max(deadline.Sub(now).Milliseconds(), 1), 10)
}
