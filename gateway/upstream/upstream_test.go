package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

const idHeader = "Request-Id"

// script is an endpoint that answers the n-th request on the k-th connection by hand.
type script struct {
	net.Listener
	conns    atomic.Int64
	requests atomic.Int64
}

// serve runs answer for each request; it returns false to close the connection.
func serve(t *testing.T, answer func(c net.Conn, conn, n int, r *http.Request) bool) *script {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &script{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.talk(c, int(s.conns.Add(1)), answer)
		}
	}()
	return s
}

func (s *script) talk(c net.Conn, conn int, answer func(net.Conn, int, int, *http.Request) bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if !answer(c, conn, n, r) {
			return
		}
	}
}

func write(c net.Conn, lines ...string) bool {
	_, err := io.WriteString(c, strings.Join(lines, "\r\n"))
	return err == nil
}

func ok(c net.Conn, id, body string) bool {
	return write(c, "HTTP/1.1 200 OK", idHeader+": "+id, "Content-Length: "+strconv.Itoa(len(body)), "", body)
}

func get(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{idHeader: {id}}, ID: id, IDHeader: idHeader}
}

func pool(t *testing.T) *Pool {
	t.Helper()
	return NewPool(prometheus.NewRegistry())
}

func whole(t *testing.T, p *Pool, addr string, r *Request) (string, error) {
	t.Helper()
	a, err := p.Send(t.Context(), addr, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

// The endpoint reads a GET on a kept connection, runs it and crashes: the connection
// closes without an answer. net/http's client would send the GET again by itself, and
// the endpoint would run it twice outside of every budget. The caller of Send must
// hear that it may have run, and the endpoint must see it once.
func TestKeptConnectionThatBreaksIsNotRepeated(t *testing.T) {
	s := serve(t, func(c net.Conn, conn, n int, r *http.Request) bool {
		return n == 1 && ok(c, r.Header.Get(idHeader), "a")
	})
	p := pool(t)
	body, err := whole(t, p, s.Addr().String(), get("1"))
	require.NoError(t, err)
	require.Equal(t, "a", body)
	require.Equal(t, 1, p.Idle())

	_, err = whole(t, p, s.Addr().String(), get("2"))
	var e *Error
	require.ErrorAs(t, err, &e)
	require.True(t, e.Sent)
	require.EqualValues(t, 2, s.requests.Load())
	require.EqualValues(t, 1, s.conns.Load())
}

// A connection that can't be made is told apart: nothing can have run, so that any
// request may go elsewhere.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	s := serve(t, nil)
	s.Close()
	_, err := whole(t, pool(t), s.Addr().String(), get("1"))
	var e *Error
	require.ErrorAs(t, err, &e)
	require.False(t, e.Sent)
}

// An endpoint adds a late second answer to the first request, where the next answer is
// expected. The second caller must get its own answer, not the first one's.
func TestLateSecondAnswerIsReadPast(t *testing.T) {
	s := serve(t, func(c net.Conn, conn, n int, r *http.Request) bool {
		id := r.Header.Get(idHeader)
		if n == 2 {
			ok(c, "1", "old")
		}
		return ok(c, id, "new")
	})
	p := pool(t)
	_, err := whole(t, p, s.Addr().String(), get("1"))
	require.NoError(t, err)
	body, err := whole(t, p, s.Addr().String(), get("2"))
	require.NoError(t, err)
	require.Equal(t, "new", body)
}

// The late answer is there before the next request leaves: the connection is of no
// use, and the request goes on a new one without having been sent on the old.
func TestConnectionWithBytesWaitingIsNotUsed(t *testing.T) {
	second := make(chan struct{})
	s := serve(t, func(c net.Conn, conn, n int, r *http.Request) bool {
		ok(c, r.Header.Get(idHeader), "a")
		if conn == 1 {
			<-second
			ok(c, "1", "again")
		}
		return true
	})
	p := pool(t)
	_, err := whole(t, p, s.Addr().String(), get("1"))
	require.NoError(t, err)
	close(second)
	require.Eventually(t, func() bool {
		_, err := whole(t, p, s.Addr().String(), get("2"))
		return err == nil && s.conns.Load() == 2
	}, 10*time.Second, 10*time.Millisecond)
}

// The endpoint closes an idle connection in an orderly way. The next request must not
// be written into it: its fate would be unknown although nothing ran.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := serve(t, func(c net.Conn, conn, n int, r *http.Request) bool {
		ok(c, r.Header.Get(idHeader), "a")
		return conn > 1
	})
	p := pool(t)
	_, err := whole(t, p, s.Addr().String(), get("1"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.idle[s.Addr().String()] {
			if c.quiet() {
				return false
			}
		}
		return true
	}, 10*time.Second, time.Millisecond)
	_, err = whole(t, p, s.Addr().String(), get("2"))
	require.NoError(t, err)
	require.EqualValues(t, 2, s.conns.Load())
}

// An answer whose length was said ends early: the reader must get an error and no end
// of file, or the caller would take a part for the whole.
func TestCutAnswerIsNoEnd(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 10\r\n\r\nabc",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(c net.Conn, _, _ int, r *http.Request) bool {
				write(c, "HTTP/1.1 200 OK", idHeader+": 1", head)
				return false
			})
			_, err := whole(t, pool(t), s.Addr().String(), get("1"))
			require.Error(t, err)
		})
	}
}

// An answer without a length ends with its connection. An orderly end is its end; a
// reset on the way isn't.
func TestAnswerWithoutLength(t *testing.T) {
	s := serve(t, func(c net.Conn, _, _ int, r *http.Request) bool {
		write(c, "HTTP/1.1 200 OK", idHeader+": 1", "", "abc")
		if r.URL.Path == "/reset" {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	p := pool(t)
	body, err := whole(t, p, s.Addr().String(), get("1"))
	require.NoError(t, err)
	require.Equal(t, "abc", body)
	require.Zero(t, p.Idle())
	r := get("1")
	r.Target = "/reset"
	_, err = whole(t, p, s.Addr().String(), r)
	require.Error(t, err)
}

// The endpoint refuses a long body before it has read it and would go on reading. A
// next request on that connection would be read as the rest of the body, so the
// connection is given up.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		write(c, "HTTP/1.1 413 Too Large", idHeader+": 1", "Content-Length: 0", "Connection: close", "", "")
		_, _ = io.Copy(io.Discard, br)
	}()
	p := pool(t)
	r := get("1")
	r.Method, r.Body = http.MethodPost, make([]byte, 1<<20)
	a, err := p.Send(t.Context(), l.Addr().String(), r)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, a.Status)
	a.Close()
	require.Zero(t, p.Idle())
}

// The caller leaves while the endpoint works: the connection closes, which is how the
// endpoint hears of it.
func TestEndOfContextClosesTheConnection(t *testing.T) {
	got, closed := make(chan struct{}), make(chan struct{})
	s := serve(t, func(c net.Conn, _, _ int, _ *http.Request) bool {
		close(got)
		_, err := c.Read(make([]byte, 1))
		if err != nil {
			close(closed)
		}
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-got
		cancel()
	}()
	_, err := pool(t).Send(ctx, s.Addr().String(), get("1"))
	require.ErrorIs(t, err, context.Canceled)
	<-closed
}

// A request that must not run twice takes no connection that was idle for long: closed
// under it by the endpoint, its fate would be unknown.
func TestOnceRequestsTakeFreshConnections(t *testing.T) {
	s := serve(t, func(c net.Conn, _, _ int, r *http.Request) bool { return ok(c, r.Header.Get(idHeader), "a") })
	p := pool(t)
	_, err := whole(t, p, s.Addr().String(), get("1"))
	require.NoError(t, err)
	for _, c := range p.idle[s.Addr().String()] {
		c.since = time.Now().Add(-2 * freshIdle)
	}
	r := get("2")
	r.Once = true
	_, err = whole(t, p, s.Addr().String(), r)
	require.NoError(t, err)
	require.EqualValues(t, 2, s.conns.Load())
}

func TestKeepAliveTimeout(t *testing.T) {
	for h, want := range map[string]time.Duration{"timeout=5": 5 * time.Second, "max=3, timeout=2": 2 * time.Second, "": 0, "timeout=x": 0} {
		got, _ := timeoutOf(h)
		require.Equal(t, want, got, h)
	}
	require.True(t, errors.Is(&Error{Cause: io.EOF}, io.EOF))
}
