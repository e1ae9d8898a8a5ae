package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// dropNewConnections makes a listener neither accept nor refuse further connections, as a
// machine without power does: its queue of one is full and the kernel drops new packets.
func dropNewConnections(t *testing.T, l net.Listener) {
	t.Helper()
	raw, err := l.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	require.NoError(t, err)
	for {
		c, err := net.DialTimeout("tcp4", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return
		}
		t.Cleanup(func() { c.Close() })
	}
}

// watchLost runs Pool.Watch and returns a channel of the addresses that it reports lost.
func watchLost(t *testing.T, p *Pool) <-chan string {
	t.Helper()
	lost := make(chan string, 8)
	go p.Watch(t.Context(), func(address string, is bool) {
		if is {
			lost <- address
		}
	})
	return lost
}

// An endpoint reads an idempotent lookup and a non-idempotent booking and then falls silent,
// without a reset. The lookup must fail while there is time for another endpoint. The booking
// may have run, so it must wait on and get its answer when the partition heals.
func TestRequestsAtASilentEndpoint(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	read, healed, ended := make(chan struct{}, 2), make(chan struct{}), make(chan error, 1)
	go func() {
		for range 2 {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			go func() {
				if r.Header.Get(idHeader) == "1" {
					_, err := c.Read(make([]byte, 1))
					ended <- err
					return
				}
				<-healed
				writeOK(c, "2", "booked")
			}()
			read <- struct{}{}
		}
		<-t.Context().Done()
	}()
	p := newTestPool(t)
	lookup, booking := make(chan error, 1), make(chan error, 1)
	send := func(r *Request, out chan error) {
		_, err := sendAndRead(t, p, l.Addr().String(), r)
		out <- err
	}
	once := newGet("2")
	once.AtMostOnce = true
	go send(newGet("1"), lookup)
	go send(once, booking)
	<-read
	<-read
	dropNewConnections(t, l)
	lost := watchLost(t, p)

	var e *Error
	require.ErrorAs(t, <-lookup, &e)
	require.True(t, e.Sent)
	require.Equal(t, l.Addr().String(), <-lost)
	// A reset discards bytes in flight; an orderly close would still deliver them.
	require.ErrorIs(t, <-ended, syscall.ECONNRESET)
	close(healed)
	require.NoError(t, <-booking)
}

// An endpoint that accepts connections takes longer to answer than a probe takes. Its answer
// must still reach the caller.
func TestBusyEndpointIsWaitedFor(t *testing.T) {
	answer := make(chan struct{})
	s := serve(t, func(c net.Conn, _, _ int, r *http.Request) bool {
		<-answer
		return writeOK(c, r.Header.Get(idHeader), "a")
	})
	p := newTestPool(t)
	lost := watchLost(t, p)
	body := make(chan string, 1)
	go func() {
		a, err := p.Send(t.Context(), s.Addr().String(), newGet("1"))
		if err != nil {
			body <- err.Error()
			return
		}
		defer a.Close()
		b, _ := io.ReadAll(a)
		body <- string(b)
	}()
	require.Eventually(t, func() bool { return s.conns.Load() >= 2 }, 10*time.Second, time.Millisecond, "the endpoint was never probed")
	close(answer)
	require.Equal(t, "a", <-body)
	require.Empty(t, lost)
}

// Guards against a connection that breaks while its endpoint is silent for a second, because the time for unacknowledged bytes ends it before the keep-alive probes do.
func TestConnectionSurvivesASecondOfSilence(t *testing.T) {
	s := serve(t, nil)
	c, err := newTestPool(t).dial(t.Context(), s.Addr().String(), dialTimeout)
	require.NoError(t, err)
	defer c.Close()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	option := func(name int) (value int) {
		t.Helper()
		var optErr error
		require.NoError(t, raw.Control(func(fd uintptr) { value, optErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name) }))
		require.NoError(t, optErr)
		return value
	}
	const tcpUserTimeout = 18
	probes := option(syscall.TCP_KEEPIDLE) + option(syscall.TCP_KEEPCNT)*option(syscall.TCP_KEEPINTVL)
	timeout := time.Duration(option(tcpUserTimeout)) * time.Millisecond
	require.Equal(t, time.Duration(probes)*time.Second, timeout, "the number of probes has no effect beside the time")
	require.GreaterOrEqual(t, timeout, 2*time.Second)
}
