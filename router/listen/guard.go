package listen

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"goldcrestfork/router/refusal"
)

const (
	// headWait is how long a head waits for room.
	headWait = time.Second
	// bodyWait is how long net/http waits for the body of a request whose handler doesn't read it: it does so
	// before it answers and before the connection carries another request.
	bodyWait = 2 * time.Second
	// pieceBytes is the length of a piece of an answer, and of the kernel's buffer of what a client hasn't read: by
	// default that grows to megabytes, and a client that reads slowly seems to read nothing.
	pieceBytes = 64 << 10
	// lingerTime and lingerBytes bound what is read of a client after its refusal, so that the connection isn't
	// reset before the client has read that.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// reportPause is the least time between two log lines on refused clients.
	reportPause = time.Second
)

// Values of the label "reason" of the metric of refused clients.
const (
	// refusedHeadMemory: no room for the head. refusedConnection: closed for a newer connection, or at once, since
	// there are too many. refusedHead: the connection ended before the head was whole, which was malformed, too
	// long or too slow. refusedSlow: closed since a body didn't come, or an answer wasn't taken, in time.
	refusedHeadMemory = "head_memory"
	refusedConnection = "connections"
	refusedHead       = "head"
	refusedSlow       = "slow"
)

// Times bound how long clients keep connections of a listener in use. Handlers that read bodies set their own read
// deadlines for these.
type Times struct {
	// Request bounds a request from the end of its head to the end of its answer; 0 for no bound.
	Request time.Duration
	// Piece bounds how long a client takes for each 64 KB of its answer; 0 for no bound.
	Piece time.Duration
}

// Guard bounds the memory of the heads that all listeners of a process hold. It is safe for concurrent use.
type Guard struct {
	room    *semaphore.Weighted
	held    atomic.Int64
	refused *prometheus.CounterVec
	log     zerolog.Logger

	mu       sync.Mutex
	pending  map[string]int // refusals by reason since the last log line
	reporter *time.Timer    // nil if none is due
}

// NewGuard returns a Guard that lets heads beyond the usual size take the given number of bytes together, and
// registers its metrics with r.
func NewGuard(headBytes int64, r prometheus.Registerer, log zerolog.Logger) *Guard {
	g := &Guard{room: semaphore.NewWeighted(headBytes), log: log, pending: make(map[string]int), refused: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "goldcrest_clients_refused_total",
		Help: "Clients refused or closed for what they take of the process, by reason.",
	}, []string{"reason"})}
	r.MustRegister(g.refused, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "goldcrest_client_heads_bytes", Help: "Estimated memory of requests' heads beyond the usual size.",
	}, func() float64 { return float64(g.held.Load()) }))
	for _, reason := range []string{refusedHeadMemory, refusedConnection, refusedHead, refusedSlow} {
		g.refused.WithLabelValues(reason)
	}
	return g
}

// count counts a refused client, for the metric and the log.
func (g *Guard) count(reason string) {
	g.refused.WithLabelValues(reason).Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending[reason]++
	if g.reporter == nil {
		g.reporter = time.AfterFunc(reportPause, g.report)
	}
}

// report writes the log line on the clients that were refused since the last one.
func (g *Guard) report() {
	g.mu.Lock()
	pending := g.pending
	g.pending, g.reporter = make(map[string]int), nil
	g.mu.Unlock()
	e := g.log.Warn()
	for reason, n := range pending {
		e = e.Int(reason, n)
	}
	e.Int64("head_bytes", g.held.Load()).Msg("clients refused")
}

// connKey is the key of a connection in a request's context.
type connKey struct{}

// Listen returns a listener for a server whose connections, heads and times are bounded. It must be called before
// the server serves; the server's own hooks are called too.
func (g *Guard) Listen(s *http.Server, l net.Listener, conns *Connections, times Times) net.Listener {
	connContext, state, handler := s.ConnContext, s.ConnState, s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, to http.ConnState) {
		if state != nil {
			state(c, to)
		}
		if k, ok := c.(*conn); ok {
			k.setState(to)
		}
		if conns.SetState(c, to) {
			g.count(refusedConnection)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		k.headRead()
		k.limitRequest(r.ContentLength != 0)
		handler.ServeHTTP(w, r)
		if r.ContentLength != 0 {
			k.limitRead(time.Now().Add(bodyWait))
		}
	})
	return &listener{Listener: l, guard: g, times: times}
}

// RefuseExcess returns a handler that refuses requests on connections for which the process has no room.
func (g *Guard) RefuseExcess(conns *Connections, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := Conn(r); c != nil && conns.IsExcess(c) {
			g.count(refusedConnection)
			w.Header().Set("Connection", "close")
			refusal.New(http.StatusServiceUnavailable, refusal.Overloaded, "this VM has no room for more connections").WithRetryAfter(time.Second).Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Conn returns the connection that a request came on; nil if its server has no Guard.
func Conn(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// TCP returns the TCP connection under a connection; ok is false if it has none.
func TCP(c net.Conn) (tcp *net.TCPConn, ok bool) {
	if k, is := c.(*conn); is {
		c = k.Conn
	}
	if t, is := c.(*tls.Conn); is {
		c = t.NetConn()
	}
	tcp, ok = c.(*net.TCPConn)
	return tcp, ok
}

// listener accepts connections whose heads and times are bounded.
type listener struct {
	net.Listener
	guard *Guard
	times Times
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := TCP(c); ok && l.times.Piece > 0 {
		_ = tcp.SetWriteBuffer(pieceBytes) // a refusal leaves the usual buffer
	}
	return &conn{Conn: c, guard: l.guard, times: l.times, inHead: true}, nil
}

// conn measures the heads of the requests on a connection. net/http reads it by one goroutine at a time.
type conn struct {
	net.Conn
	guard *Guard
	times Times
	scan  headScan

	mu     sync.Mutex
	inHead bool  // the next bytes are those of a head
	begun  bool  // bytes of the head have arrived
	held   int64 // taken from the guard's room
	closed bool
	slow   bool // counted as such
	// readUntil is the guard's own read deadline, zero if another one is in force.
	readUntil time.Time
}

// Read reads from the client. The bytes of a head for which there is no room are not passed on: the client is
// refused, and the connection ends.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	var notTLS tls.RecordHeaderError
	if errors.As(err, &notTLS) && notTLS.Conn != nil {
		// net/http says so only on a connection of crypto/tls itself.
		_, _ = io.WriteString(notTLS.Conn, plainRefusal) // the connection ends in any case
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.readLimitPassed() {
		c.countSlow()
	}
	if n > 0 && !c.measure(b[:n]) {
		c.refuse()
		return 0, io.EOF
	}
	return n, err
}

// measure measures bytes of a head, and reports whether there is room for it.
func (c *conn) measure(b []byte) bool {
	c.mu.Lock()
	if !c.inHead {
		c.mu.Unlock()
		return true
	}
	c.begun = true
	if c.scan.add(b) {
		c.inHead = false
	}
	need := int64(0)
	if c.scan.cost > usualCost {
		need = int64((c.scan.cost+costStep-1)/costStep*costStep) - c.held
	}
	c.mu.Unlock()
	return need <= 0 || c.take(need)
}

// take takes bytes of the guard's room, if there are such within headWait.
func (c *conn) take(n int64) bool {
	if !c.guard.room.TryAcquire(n) {
		ctx, cancel := context.WithTimeout(context.Background(), headWait)
		defer cancel()
		if c.guard.room.Acquire(ctx, n) != nil {
			return false
		}
	}
	c.guard.held.Add(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += n
	if c.closed {
		c.release()
	}
	return true
}

// release returns what the head took. Callers hold c.mu.
func (c *conn) release() {
	if c.held > 0 {
		c.guard.room.Release(c.held)
		c.guard.held.Add(-c.held)
		c.held = 0
	}
}

// headRead records that the request's head was read. What a request's head takes is held until the request ends.
func (c *conn) headRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.begun = false, false
}

// setState records a state of the connection.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.release()
		c.scan, c.inHead, c.begun = headScan{}, true, false
	case http.StateClosed:
		if c.begun {
			c.begun = false
			c.guard.count(refusedHead)
		}
	}
}

// headRefusal is the answer to a head for which there is no room.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

// plainRefusal is the answer to a client that doesn't begin with TLS on a listener with a certificate.
const plainRefusal = "HTTP/1.0 400 Bad Request\r\n\r\nThe listener serves HTTPS only.\n"

// refuse answers a client whose head has no room.
func (c *conn) refuse() {
	c.mu.Lock()
	c.begun = false
	c.mu.Unlock()
	c.guard.count(refusedHeadMemory)
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
	if _, err := io.WriteString(c.Conn, headRefusal); err != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // the connection ends in any case
}

// limitRequest bounds the request whose head was read by the listener's times.
func (c *conn) limitRequest(hasBody bool) {
	now := time.Now()
	if c.times.Request > 0 {
		_ = c.Conn.SetWriteDeadline(now.Add(c.times.Request)) // fails only on a closed connection
		c.limitRead(now.Add(c.times.Request))
	}
	if hasBody {
		c.limitRead(now.Add(bodyWait))
	}
}

// limitRead sets the guard's own read deadline.
func (c *conn) limitRead(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readUntil = until
	_ = c.Conn.SetReadDeadline(until) // fails only on a closed connection
}

// SetReadDeadline sets a deadline in place of the guard's own.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readUntil = time.Time{}
	return c.Conn.SetReadDeadline(t)
}

// readLimitPassed reports whether the guard's own read deadline has passed.
func (c *conn) readLimitPassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readUntil.IsZero() && !time.Now().Before(c.readUntil)
}

// countSlow counts the client once.
func (c *conn) countSlow() {
	c.mu.Lock()
	counted := c.slow
	c.slow = true
	c.mu.Unlock()
	if !counted {
		c.guard.count(refusedSlow)
	}
}

// Write writes to the client, each piece in the time that the client has for it.
func (c *conn) Write(b []byte) (n int, err error) {
	if c.times.Piece == 0 {
		n, err = c.Conn.Write(b)
	}
	for c.times.Piece > 0 && n < len(b) && err == nil {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.times.Piece)) // fails only on a closed connection
		var written int
		written, err = c.Conn.Write(b[n:min(len(b), n+pieceBytes)])
		n += written
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.times != (Times{}) {
		c.countSlow()
	}
	return n, err
}

// CloseWrite closes the sending side, by which net/http lets a client read its refusal.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return c.Conn.Close()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.release()
	c.mu.Unlock()
	return c.Conn.Close()
}
