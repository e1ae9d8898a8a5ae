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

// unplug makes a listener take no further connections without refusing them, as a machine
// without power does: its queue of one is full and the kernel drops what comes.
func unplug(t *testing.T, l net.Listener) {
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

// watch runs the pool's watch; the addresses that it finds lost come out.
func watch(t *testing.T, p *Pool) <-chan string {
	t.Helper()
	lost := make(chan string, 8)
	go p.Watch(t.Context(), func(address string, is bool) {
		if is {
			lost <- address
		}
	})
	return lost
}

// An endpoint has read a lookup and a booking and falls silent: no reset, no answer. The
// lookup's sender hears that it is lost while there is time for another endpoint. The
// booking may have run, so that its sender waits on, and has its answer when the cut heals.
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
				ok(c, "2", "booked")
			}()
			read <- struct{}{}
		}
		<-t.Context().Done()
	}()
	p := pool(t)
	lookup, booking := make(chan error, 1), make(chan error, 1)
	send := func(r *Request, out chan error) {
		_, err := whole(t, p, l.Addr().String(), r)
		out <- err
	}
	once := get("2")
	once.Once = true
	go send(get("1"), lookup)
	go send(once, booking)
	<-read
	<-read
	unplug(t, l)
	lost := watch(t, p)

	var e *Error
	require.ErrorAs(t, <-lookup, &e)
	require.True(t, e.Sent)
	require.Equal(t, l.Addr().String(), <-lost)
	// A reset takes back what is on its way; an orderly end would still deliver it.
	require.ErrorIs(t, <-ended, syscall.ECONNRESET)
	close(healed)
	require.NoError(t, <-booking)
}

// An endpoint is busy for longer than it takes to be asked, and takes connections. Its
// answer reaches the caller.
func TestBusyEndpointIsWaitedFor(t *testing.T) {
	answer := make(chan struct{})
	s := serve(t, func(c net.Conn, _, _ int, r *http.Request) bool {
		<-answer
		return ok(c, r.Header.Get(idHeader), "a")
	})
	p := pool(t)
	lost := watch(t, p)
	body := make(chan string, 1)
	go func() {
		a, err := p.Send(t.Context(), s.Addr().String(), get("1"))
		if err != nil {
			body <- err.Error()
			return
		}
		defer a.Close()
		b, _ := io.ReadAll(a)
		body <- string(b)
	}()
	require.Eventually(t, func() bool { return s.conns.Load() >= 2 }, 10*time.Second, time.Millisecond, "it was never asked")
	close(answer)
	require.Equal(t, "a", <-body)
	require.Empty(t, lost)
}
