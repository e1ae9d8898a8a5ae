package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/policy/silence"
)

const (
	// dialTimeout bounds the time to connect. A round trip between data centres takes 2 ms. The
	// retransmission of a lost first packet comes after one second, which is too late for a
	// caller with a short deadline.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint states no
	// timeout, and the upper bound if it does.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is subtracted from the idle timeout that an endpoint states, so that no
	// request is in flight when the endpoint closes the connection.
	idleMargin = time.Second
	// maxIdleAtMostOnce is how long a connection may have been idle and still carry a request
	// that must not run twice. If the endpoint closed the connection during the request, its
	// outcome would be unknown.
	maxIdleAtMostOnce = 300 * time.Millisecond
	// maxIdleConns bounds the idle connections to one endpoint. An endpoint accepts some
	// hundred connections from all VMs together and resets the excess: 88 VMs with 6
	// connections each use 528 of 590.
	maxIdleConns = 6
	// bufferSize is in bytes; it holds an answer's head and most plain bodies.
	bufferSize = 4 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount say when an idle connection is probed, and
	// that it counts as broken when the last probe has gone unanswered for an interval.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is how long sent bytes may stay unacknowledged before the connection counts
	// as broken (TCP_USER_TIMEOUT). Linux applies it in place of the number of keep-alive probes, so
	// that both must give the same time, and an endpoint that is silent for a second must survive it.
	userTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	number    int64 // among the pool's connections, from 1 on
	r         *bufio.Reader
	idleSince time.Time // start of the idle period
	keepFor   time.Duration
	onRead    func() // called when bytes arrive
	hasRead   bool   // bytes arrived since the current request was sent
	received  int64  // bytes
	carried   carriedRequests
	// longHeads is the pool's number of long heads, of which this connection has one if hasLongHead is set.
	longHeads   *headLimit
	hasLongHead bool
}

// headLimit bounds the long heads of answers that a pool's exchanges hold at once.
type headLimit struct {
	max  int64 // 0 for no bound
	held atomic.Int64
}

// checkHeadLength returns an error if the head that arrives may not have n bytes.
func (c *conn) checkHeadLength(n int) error {
	if n > maxHeadBytes || n > usualHeadBytes && !c.takeLongHead() {
		return errHeadTooLong
	}
	return nil
}

// takeLongHead reports whether the head that arrives may be a long one.
func (c *conn) takeLongHead() bool {
	if c.hasLongHead || c.longHeads.max == 0 {
		return true
	}
	if c.longHeads.held.Add(1) > c.longHeads.max {
		c.longHeads.held.Add(-1)
		return false
	}
	c.hasLongHead = true
	return true
}

// endLongHead ends an exchange, with its long head if it has one.
func (c *conn) endLongHead() {
	if c.hasLongHead {
		c.hasLongHead = false
		c.longHeads.held.Add(-1)
	}
}

// Read reads from the endpoint. Any received bytes show the silence detector that the endpoint
// is alive.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received += int64(n)
		c.hasRead = true
		c.onRead()
	}
	return n, err
}

// Pool keeps idle connections by endpoint address. It is safe for concurrent use.
type Pool struct {
	mu        sync.Mutex
	idle      map[string][]*conn
	idleConns int // in idle
	maxIdle   int // 0 for no bound
	longHeads headLimit
	retryable map[string]map[*Answer]struct{} // by address; exchanges that may be repeated elsewhere
	intakes   map[string]*intake              // by address
	dials     prometheus.Counter
	numbers   atomic.Int64 // connections so far
	started   time.Time
	detector  *silence.Detector
	observer  Observer
}

// Observer learns what a pool's connections show of the network paths.
type Observer interface {
	// Received is called when bytes arrive from any endpoint.
	Received()
	// Failed is called when an endpoint takes no connection, is silent, or ends a connection
	// without a byte of the answer to a request.
	Failed(address string)
}

// noObserver is the Observer of a pool without one.
type noObserver struct{}

func (noObserver) Received()     {}
func (noObserver) Failed(string) {}

// NewPool returns an empty pool and registers its metrics, whose names begin with name, with r. The
// observer may be nil.
func NewPool(r prometheus.Registerer, name string, o Observer) *Pool {
	if o == nil {
		o = noObserver{}
	}
	p := &Pool{
		started: time.Now(),
		idle:    make(map[string][]*conn), retryable: make(map[string]map[*Answer]struct{}), intakes: make(map[string]*intake), detector: silence.New(), observer: o,
		dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: name + "_connections_total",
			Help: "Connections made, including probes.",
		}),
	}
	r.MustRegister(p.dials)
	return p
}

// LimitIdle bounds the idle connections to all endpoints together. It must be called before the pool is
// used.
func (p *Pool) LimitIdle(n int) { p.maxIdle = n }

// LimitLongHeads bounds the heads of answers beyond a usual length that exchanges hold at once; the
// exchange of one more fails. It must be called before the pool is used.
func (p *Pool) LimitLongHeads(n int) { p.longHeads.max = int64(n) }

// take removes an idle connection that is still open and has not carried the request from the pool and
// returns it, or nil. For a request that must not run twice, it must have been used recently.
func (p *Pool) take(addr string, r *Request) *conn {
	now := time.Now()
	for {
		c := p.takeLast(addr, r.ID)
		if c == nil {
			return nil
		}
		idle := now.Sub(c.idleSince)
		if idle < c.keepFor && (!r.AtMostOnce || idle < maxIdleAtMostOnce) && c.usable() {
			return c
		}
		c.Close()
	}
}

// takeLast removes the idle connection that was used last, of those that have not carried a request, from
// the pool and returns it, or nil.
func (p *Pool) takeLast(addr, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !c.carried.has(id) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			p.idleConns--
			return c
		}
	}
	return nil
}

// usable reports whether the connection is open and has nothing to read. An end of file, or
// bytes that belong to no request, make it unusable.
func (c *conn) usable() bool {
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
	c.idleSince = time.Now()
	c.keepFor = defaultIdleTimeout
	if s, ok := keepAliveTimeout(keepAlive); ok {
		c.keepFor = min(s-idleMargin, defaultIdleTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if c.keepFor <= 0 || c.carried.isFull(time.Since(p.started)) || len(list) >= maxIdleConns || p.maxIdle > 0 && p.idleConns >= p.maxIdle {
		c.Close()
		return
	}
	p.idle[addr] = append(list, c)
	p.idleConns++
}

// keepAliveTimeout parses the timeout of a Keep-Alive header.
func keepAliveTimeout(h string) (time.Duration, bool) {
	for _, part := range strings.Split(h, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			n, err := strconv.Atoi(v)
			return time.Duration(n) * time.Second, err == nil
		}
	}
	return 0, false
}

// Sweep closes the connections whose idle time is over.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.keepFor {
				kept = append(kept, c)
			} else {
				c.Close()
				p.idleConns--
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}

// Forget discards what is known of an address that no longer belongs to an endpoint and closes
// its idle connections.
func (p *Pool) Forget(addr string) {
	p.detector.Forget(addr)
	p.closeIdle(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.intakes, addr)
}

// closeIdle closes the idle connections to an address.
func (p *Pool) closeIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
	}
	p.idleConns -= len(p.idle[addr])
	delete(p.idle, addr)
}

// CanConnect reports whether an address accepts a connection. The new connection is kept for a
// later request.
func (p *Pool) CanConnect(addr string) bool {
	c, err := p.dial(context.Background(), addr, dialTimeout)
	if err != nil {
		return false
	}
	p.put(addr, c, "")
	return true
}

// Probe reports whether an address takes a connection and keeps it open for the given time. The
// connection is kept for a later request.
func (p *Pool) Probe(ctx context.Context, addr string, settle time.Duration) bool {
	c, err := p.dial(ctx, addr, silence.ProbeTimeout)
	if err != nil {
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(settle):
	}
	if !c.usable() {
		c.Close()
		return false
	}
	p.put(addr, c, "")
	return true
}

func (p *Pool) dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	p.dials.Inc()
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	nc, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	setUserTimeout(nc, userTimeout)
	c := &conn{Conn: nc, number: p.numbers.Add(1), longHeads: &p.longHeads, onRead: func() {
		p.detector.Received(time.Now(), addr)
		p.observer.Received()
	}}
	c.r = bufio.NewReaderSize(c, bufferSize)
	return c, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT. On a system without the option only the keep-alive
// probes detect a broken connection.
func setUserTimeout(nc net.Conn, d time.Duration) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	const tcpUserTimeout = 18 // from linux/tcp.h; package syscall does not define it
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
}
