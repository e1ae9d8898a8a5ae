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
	// handshakeTimeout bounds a dial. It allows a few round trips between far regions,
	// and a caller with a longer deadline loses at most one second to a dead VM.
	handshakeTimeout = time.Second
	// idleTimeout ends a connection without traffic. Heartbeats arrive every second, so
	// a silent connection is broken or unused.
	idleTimeout = 5 * time.Second
	// maxStreams bounds one peer's calls in flight; further calls wait at the caller,
	// unsent. At 12,000 requests/s over 400 VMs a VM makes 30 calls a second.
	maxStreams = 256
	// maxHandlers bounds the handlers of all peers together, so that peers can't
	// exhaust the VM's memory. A call beyond it is answered with statusNotRun at once.
	maxHandlers = 1024
	// receiveWindow bounds the bytes that one connection buffers, so that memory use
	// does not depend on a peer's sending rate.
	receiveWindow = 2 * MaxBody
	// MaxDatagram is the largest datagram payload in bytes: QUIC's smallest packet
	// (1,200) less the headers.
	MaxDatagram = 1100
	// defaultCallTimeout bounds calls whose context has no deadline.
	defaultCallTimeout = 5 * time.Second
)

// Handler runs one call. from is the VM id in the caller's certificate. The context
// ends when the caller's time is over or the caller disconnects.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// DatagramHandler handles one datagram and must not block. reply sends one back over
// the same connection, which saves a second connection per pair of VMs.
type DatagramHandler func(from string, payload []byte, reply func([]byte))

// Target identifies a VM to call or to send datagrams to.
type Target struct {
	// ID is the VM expected at the address; if empty, any VM of the fleet is accepted.
	// With an ID, a VM that took over another one's address is refused.
	ID string
	// Address is "ip:port".
	Address string
}

// Options configure a Link.
type Options struct {
	// Listen is the UDP "ip:port" to listen on; port 0 selects a free one.
	Listen string
	// Credentials authenticate this VM to the others.
	Credentials Credentials
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// Link is one VM's endpoint for the connections with all other VMs.
type Link struct {
	credentials  Credentials
	metrics      *metrics
	udp          net.PacketConn
	transport    *quic.Transport
	listener     *quic.Listener
	handlerSlots chan struct{}
	ctx          context.Context
	stop         context.CancelFunc

	// tasksMu guards closed and is a leaf lock, since tasks are started under conn.mu.
	tasksMu sync.Mutex
	closed  bool
	tasks   sync.WaitGroup

	mu         sync.RWMutex
	methods    map[string]Handler
	onDatagram DatagramHandler
	conns      map[Target]*conn
}

// Listen opens the UDP port and starts to accept connections.
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
		credentials:  o.Credentials,
		metrics:      m,
		udp:          udp,
		transport:    transport,
		listener:     listener,
		handlerSlots: make(chan struct{}, maxHandlers),
		ctx:          ctx,
		stop:         stop,
		methods:      make(map[string]Handler),
		conns:        make(map[Target]*conn),
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
		MaxStreamReceiveWindow:         receiveWindow,
		MaxConnectionReceiveWindow:     receiveWindow,
		EnableDatagrams:                true,
	}
}

// Register sets the handler of a method. It panics if the method already has one.
func (l *Link) Register(method string, h Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.methods[method]; ok {
		panic("peer: method registered twice: " + method)
	}
	l.methods[method] = h
}

// OnDatagram sets the handler of datagrams. Datagrams that arrive without a handler are
// dropped.
func (l *Link) OnDatagram(h DatagramHandler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onDatagram = h
}

// ID returns the VM id in the link's certificate.
func (l *Link) ID() string { return l.credentials.ID() }

// Addr returns the "ip:port" on which the link listens.
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

// spawn runs f in a goroutine and returns true, or returns false if the link is closed.
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
	VM string
	// Address is the "ip:port" on which the link listens.
	Address string
	// Connections is the number of outgoing connections that are open.
	Connections int
	// Methods is the number of registered methods.
	Methods int
}

// Dump returns the link's state.
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
