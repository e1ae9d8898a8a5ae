package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"
)

const (
	// handshakeTimeout bounds a dial. 1 s: a few round trips between far regions,
	// and short of every caller's deadline, so that a dead VM costs one second at most.
	handshakeTimeout = time.Second
	// idleTimeout ends a connection without traffic. 5 s: heartbeats come each
	// second, so a silent one is broken or unused.
	idleTimeout = 5 * time.Second
	// maxStreams bounds one peer's calls in flight; the next ones wait at the
	// caller, unsent. 256: at 12,000 requests/s over 400 VMs a VM makes 30 a second.
	maxStreams = 256
	// maxHandlers bounds handlers over all peers, so that peers can't exhaust the
	// VM's memory; beyond it a call is answered "not run" at once.
	maxHandlers = 1024
	// window bounds what one connection buffers: memory stays constant in a peer's speed.
	window = 2 * MaxBody
	// MaxDatagram is the largest datagram payload in bytes: what fits QUIC's
	// smallest packet (1,200) with room for its headers.
	MaxDatagram = 1100
	// defaultCallTimeout is for calls whose context has no deadline.
	defaultCallTimeout = 5 * time.Second
)

// Handler runs one call from the VM named by from's certificate. Its context
// ends when the caller's time is over or the caller is gone.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// DatagramHandler takes one datagram; it must not block. reply sends one back
// over the same connection, which spares a second connection for each pair.
type DatagramHandler func(from string, payload []byte, reply func([]byte))

// Target is a VM to talk to.
type Target struct {
	// ID is the VM expected there; when empty any VM of the fleet is accepted.
	// With an ID, a VM that took over the address of another is told apart.
	ID string
	// Address is "ip:port".
	Address string
}

// Options are a link's settings.
type Options struct {
	// Listen is the UDP "ip:port"; port 0 takes a free one.
	Listen string
	// Credentials prove this VM to the others.
	Credentials Credentials
	// Registerer takes the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// Link is one VM's end of the links to all others.
type Link struct {
	credentials Credentials
	metrics     *metrics
	udp         net.PacketConn
	transport   *quic.Transport
	listener    *quic.Listener
	handlers    chan struct{}
	ctx         context.Context
	stop        context.CancelFunc

	// tasksMu guards closed and is a leaf: tasks are started under conn.mu.
	tasksMu sync.Mutex
	closed  bool
	tasks   sync.WaitGroup

	mu         sync.RWMutex
	methods    map[string]Handler
	onDatagram DatagramHandler
	conns      map[Target]*conn
}

// Listen opens the link.
func Listen(o Options) (*Link, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", o.Listen)
	if err != nil {
		return nil, trace.BadParameter("listen address %q: %v", o.Listen, err)
	}
	udp, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return newLink(udp, o)
}

func newLink(udp net.PacketConn, o Options) (*Link, error) {
	m := newMetrics(o.Registerer)
	transport := &quic.Transport{Conn: udp, StatelessResetKey: o.Credentials.resetKey()}
	listener, err := transport.Listen(o.Credentials.serverTLS(m.refused.Inc), quicConfig())
	if err != nil {
		_ = udp.Close()
		return nil, trace.Wrap(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Link{
		credentials: o.Credentials,
		metrics:     m,
		udp:         udp,
		transport:   transport,
		listener:    listener,
		handlers:    make(chan struct{}, maxHandlers),
		ctx:         ctx,
		stop:        stop,
		methods:     make(map[string]Handler),
		conns:       make(map[Target]*conn),
	}
	l.spawn(l.accept)
	return l, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     64 << 10,
		InitialConnectionReceiveWindow: 128 << 10,
		MaxStreamReceiveWindow:         window,
		MaxConnectionReceiveWindow:     window,
		EnableDatagrams:                true,
	}
}

// Register sets the handler of a method; a second one for the same method is a bug.
func (l *Link) Register(method string, h Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.methods[method]; ok {
		panic("peer: method registered twice: " + method)
	}
	l.methods[method] = h
}

// OnDatagram sets the handler of datagrams; those before it are dropped.
func (l *Link) OnDatagram(h DatagramHandler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onDatagram = h
}

// ID is this VM as its certificate names it.
func (l *Link) ID() string { return l.credentials.ID() }

// Addr is the address in use, "ip:port".
func (l *Link) Addr() string { return l.udp.LocalAddr().String() }

// Close ends all connections and waits for the handlers.
func (l *Link) Close() error {
	l.tasksMu.Lock()
	if l.closed {
		l.tasksMu.Unlock()
		return nil
	}
	l.closed = true
	l.tasksMu.Unlock()
	l.stop()
	_ = l.listener.Close()
	err := l.transport.Close()
	_ = l.udp.Close()
	l.tasks.Wait()
	return trace.Wrap(err)
}

// spawn runs f unless the link is closed.
func (l *Link) spawn(f func()) bool {
	l.tasksMu.Lock()
	defer l.tasksMu.Unlock()
	if l.closed {
		return false
	}
	l.tasks.Go(f)
	return true
}

// Dump is the link's part of the state dump.
type Dump struct {
	VM      string
	Address string
	// Connections is the number of outgoing connections that are open.
	Connections int
	Methods     int
}

// Dump reports the link's state.
func (l *Link) Dump() Dump {
	l.mu.RLock()
	defer l.mu.RUnlock()
	d := Dump{VM: l.ID(), Address: l.Addr(), Methods: len(l.methods)}
	for _, c := range l.conns {
		if c.open() {
			d.Connections++
		}
	}
	return d
}
