package upstream

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/policy/silence"
)

const (
	// dialTimeout bounds a connect. A round trip between data centres takes 2 ms; a
	// first packet that is lost is sent again after a second, which a caller with a
	// short deadline can't wait for.
	dialTimeout = 400 * time.Millisecond
	// keepIdle is how long an idle connection is kept when the endpoint says nothing.
	keepIdle = 10 * time.Second
	// idleMargin is kept clear of the idle time that an endpoint states: a request on
	// its way must not cross the close.
	idleMargin = time.Second
	// freshIdle is how long a connection may have been idle to carry a request that
	// must not run twice: closed under it, the request's fate would be unknown.
	freshIdle = 300 * time.Millisecond
	// maxIdle bounds the idle connections to one endpoint, which accepts some hundred from
	// all VMs together and resets those beyond: 88 VMs that keep six take 528 of 590.
	maxIdle = 6
	// bufferSize holds a head and most plain bodies.
	bufferSize = 4 << 10
	// unacknowledged is how long sent bytes may stay so before the connection counts as
	// broken (TCP_USER_TIMEOUT): three retransmissions on a local network.
	unacknowledged = 3 * time.Second
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	r     *bufio.Reader
	since time.Time // idle since
	keep  time.Duration
	heard func() // called when bytes come
}

// Read reads from the endpoint, which thereby shows that it lives.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard()
	}
	return n, err
}

// Pool keeps idle connections by endpoint address.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	open   map[string]map[*Answer]struct{} // exchanges that may be made again elsewhere
	dials  prometheus.Counter
	silent *silence.Detector
}

// NewPool returns an empty pool.
func NewPool(r prometheus.Registerer) *Pool {
	p := &Pool{
		idle: make(map[string][]*conn), open: make(map[string]map[*Answer]struct{}), silent: silence.New(),
		dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "goldcrest_upstream_connections_total",
			Help: "Connections made to endpoints.",
		}),
	}
	r.MustRegister(p.dials)
	return p
}

// take returns an idle connection that is still open, or nil.
func (p *Pool) take(addr string, once bool) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[addr]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		p.mu.Unlock()
		idle := now.Sub(c.since)
		if idle < c.keep && (!once || idle < freshIdle) && c.quiet() {
			return c
		}
		c.Close()
	}
}

// quiet says that the connection is open and has nothing to read: an end of file, or
// bytes that belong to no request, make it useless.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (p *Pool) put(addr string, c *conn, keepAlive string) {
	c.since = time.Now()
	c.keep = keepIdle
	if s, ok := timeoutOf(keepAlive); ok {
		c.keep = min(s-idleMargin, keepIdle)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if c.keep <= 0 || len(list) >= maxIdle {
		c.Close()
		return
	}
	p.idle[addr] = append(list, c)
}

// timeoutOf reads the seconds of a Keep-Alive header.
func timeoutOf(h string) (time.Duration, bool) {
	for _, part := range strings.Split(h, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			n, err := strconv.Atoi(v)
			return time.Duration(n) * time.Second, err == nil
		}
	}
	return 0, false
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.since) < c.keep {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}

// Gone says that the address belongs to no endpoint any more.
func (p *Pool) Gone(addr string) {
	p.silent.Forget(addr)
	p.drop(addr)
}

// drop closes the idle connections to an address.
func (p *Pool) drop(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
	}
	delete(p.idle, addr)
}

// Connects reports whether an address takes a connection, which is kept for a request.
func (p *Pool) Connects(addr string) bool {
	c, err := p.dial(context.Background(), addr, dialTimeout)
	if err != nil {
		return false
	}
	p.put(addr, c, "")
	return true
}

func (p *Pool) dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	p.dials.Inc()
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
	}}
	nc, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	setUserTimeout(nc, unacknowledged)
	c := &conn{Conn: nc, heard: func() { p.silent.Heard(time.Now(), addr) }}
	c.r = bufio.NewReaderSize(c, bufferSize)
	return c, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT; a system without it leaves keep-alive probes alone.
func setUserTimeout(nc net.Conn, d time.Duration) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	const tcpUserTimeout = 18 // linux/tcp.h; package syscall doesn't name it
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
}
