package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

// conn is the outgoing connection to one target, dialled on demand.
type conn struct {
	mu      sync.Mutex
	current *quic.Conn
	// dialling is closed when the current dial ends; nil if there is none.
	dialling chan struct{}
	dialErr  error
	// pending is the newest datagram that waits for the dial.
	pending []byte
}

// open reports whether the connection is open.
func (c *conn) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current != nil && c.current.Context().Err() == nil
}

// connFor returns the target's entry. When it adds one it removes entries whose
// connection has ended, so that entries of replaced VMs don't accumulate over months.
func (l *Link) connFor(t Target) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.conns[t]; ok {
		return c
	}
	for old, c := range l.conns {
		c.mu.Lock()
		gone := c.dialling == nil && (c.current == nil || c.current.Context().Err() != nil)
		c.mu.Unlock()
		if gone {
			delete(l.conns, old)
		}
	}
	c := &conn{}
	l.conns[t] = c
	return c
}

// openOrDial returns the open connection. Without one it starts a dial if none is under
// way, and returns the channel that closes when the dial ends. A pending datagram is
// sent after the dial.
func (l *Link) openOrDial(c *conn, t Target, pending []byte) (*quic.Conn, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && c.current.Context().Err() == nil {
		return c.current, nil
	}
	if pending != nil {
		c.pending = pending
	}
	if c.dialling == nil {
		c.dialling = make(chan struct{})
		if !l.spawn(func() { l.dial(c, t) }) {
			close(c.dialling)
			done := c.dialling
			c.dialling, c.dialErr = nil, net.ErrClosed
			return nil, done
		}
	}
	return nil, c.dialling
}

// dial runs independently of its callers: one caller's short deadline must not fail the
// others that wait.
func (l *Link) dial(c *conn, t Target) {
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	q, err := l.dialTarget(ctx, t)
	c.mu.Lock()
	c.current, c.dialErr = q, err
	pending := c.pending
	c.pending = nil
	close(c.dialling)
	c.dialling = nil
	c.mu.Unlock()
	if err != nil {
		return
	}
	if pending != nil {
		l.sendDatagram(q, pending)
	}
	l.spawn(func() { l.receiveDatagrams(q, peerName(q)) })
}

func (l *Link) dialTarget(ctx context.Context, t Target) (*quic.Conn, error) {
	addr, err := net.ResolveUDPAddr("udp", t.Address)
	if err != nil {
		return nil, err
	}
	return l.transport.Dial(ctx, addr, l.credentials.clientTLS(t.ID), quicConfig())
}

// peerName returns the VM id in the peer's certificate.
func peerName(q *quic.Conn) string {
	return q.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName
}

// connect returns an open connection to the target and waits for a dial if necessary.
func (l *Link) connect(ctx context.Context, t Target) (*quic.Conn, error) {
	c := l.connFor(t)
	q, dialled := l.openOrDial(c, t, nil)
	if q != nil {
		return q, nil
	}
	select {
	case <-dialled:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dialErr != nil {
		return nil, c.dialErr
	}
	if c.current == nil {
		return nil, net.ErrClosed
	}
	return c.current, nil
}

// Call runs method on the target VM and waits for its reply, until the context's
// deadline or, without one, for defaultCallTimeout. For its errors see ErrNotSent,
// ErrOutcomeUnknown and RemoteError.
func (l *Link) Call(ctx context.Context, t Target, method string, body []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	answer, err := l.call(ctx, t, method, body)
	l.metrics.calls.WithLabelValues("sent", callResult(err)).Inc()
	return answer, err
}

// callResult returns the metric label for the error of a call.
func callResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotSent):
		return "not_sent"
	case errors.Is(err, ErrOutcomeUnknown):
		return "unknown"
	}
	return "failed"
}

func (l *Link) call(ctx context.Context, t Target, method string, body []byte) ([]byte, error) {
	if len(body) > MaxBody || method == "" || len(method) > maxMethod {
		return nil, notSent(fmt.Errorf("call %q with %d bytes exceeds the limits", method, len(body)))
	}
	q, s, err := l.openStream(ctx, t)
	if err != nil {
		return nil, notSent(err)
	}
	deadline, _ := ctx.Deadline()
	data, err := cbor.Marshal(request{Method: method, Budget: time.Until(deadline), Body: body})
	if err != nil {
		s.CancelWrite(1)
		return nil, notSent(err)
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(1)
		s.CancelWrite(1)
	})
	defer stop()
	answer, err := exchange(s, data)
	if err != nil {
		s.CancelRead(1)
		return nil, classify(err)
	}
	l.metrics.payload.WithLabelValues("out").Add(float64(len(data)))
	return l.replyBody(answer, peerName(q), method)
}

// openStream opens a stream to the target, over a new connection if the existing one
// has just ended. The QUIC library ends a connection's streams before its context, so a
// connection that a restarted peer has reset may still look open; callers then got
// ErrNotSent from a VM that was up (29 of 1,800 calls after a restart). Nothing is
// written before the second attempt, hence it can't run a call twice.
func (l *Link) openStream(ctx context.Context, t Target) (*quic.Conn, *quic.Stream, error) {
	q, err := l.connect(ctx, t)
	if err != nil {
		return nil, nil, err
	}
	s, err := q.OpenStreamSync(ctx)
	if err == nil || ctx.Err() != nil {
		return q, s, err
	}
	select {
	case <-q.Context().Done():
	case <-ctx.Done():
		return nil, nil, err
	}
	if q, err = l.connect(ctx, t); err != nil {
		return nil, nil, err
	}
	s, err = q.OpenStreamSync(ctx)
	return q, s, err
}

// exchange writes the request, ends the send side and reads the whole reply.
func exchange(s *quic.Stream, data []byte) ([]byte, error) {
	if _, err := s.Write(data); err != nil {
		s.CancelWrite(1)
		return nil, err
	}
	if err := s.Close(); err != nil {
		return nil, err
	}
	return readFrame(s)
}

// classify distinguishes a refused handshake from a lost reply. In TLS 1.3 the dialling
// side completes the handshake before the other has verified its certificate, so a
// refusal arrives with the first call. No handler runs before the handshake ends.
func classify(err error) error {
	var transport *quic.TransportError
	if errors.As(err, &transport) && transport.Remote && transport.ErrorCode.IsCryptoError() {
		return notSent(err)
	}
	return outcomeUnknown(err)
}

// replyBody decodes a reply and returns its body, or the error that its status stands
// for.
func (l *Link) replyBody(data []byte, vm, method string) ([]byte, error) {
	l.metrics.payload.WithLabelValues("in").Add(float64(len(data)))
	answer, err := decodeReply(data)
	if err != nil {
		l.metrics.malformed.Inc()
		return nil, outcomeUnknown(err)
	}
	switch answer.Status {
	case statusNotRun:
		return nil, notSent(errors.New(answer.Error))
	case statusFailed:
		return nil, &RemoteError{VM: vm, Method: method, Message: answer.Error}
	}
	return answer.Body, nil
}

// Send sends a datagram without waiting; its arrival is not confirmed. While there is
// no connection it starts a dial and keeps only the newest payload, which is sent after
// the dial.
func (l *Link) Send(t Target, payload []byte) {
	if q, _ := l.openOrDial(l.connFor(t), t, payload); q != nil {
		l.sendDatagram(q, payload)
	}
}

func (l *Link) sendDatagram(q *quic.Conn, payload []byte) {
	if len(payload) > MaxDatagram {
		l.metrics.datagrams.WithLabelValues("dropped").Inc()
		return
	}
	if err := q.SendDatagram(payload); err != nil {
		l.metrics.datagrams.WithLabelValues("dropped").Inc()
		return
	}
	l.metrics.datagrams.WithLabelValues("sent").Inc()
	l.metrics.payload.WithLabelValues("out").Add(float64(len(payload)))
}
