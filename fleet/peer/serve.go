package peer

import (
	"context"
	"crypto/x509"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

// readTimeout bounds the arrival of one request, so that a peer that stalls halfway
// can't occupy a handler slot. It also bounds the sending of the reply.
const readTimeout = 5 * time.Second

// accept accepts connections until the link closes.
func (l *Link) accept() {
	for {
		c, err := l.listener.Accept(l.ctx)
		if err != nil {
			return
		}
		from, err := l.credentials.verify(c.ConnectionState().TLS, x509.ExtKeyUsageClientAuth)
		if err != nil {
			l.metrics.refused.Inc()
			_ = c.CloseWithError(0, "certificate")
			continue
		}
		l.spawn(func() { l.serveStreams(c, from) })
		l.spawn(func() { l.receiveDatagrams(c, from) })
	}
}

func (l *Link) serveStreams(c *quic.Conn, from string) {
	for {
		s, err := c.AcceptStream(l.ctx)
		if err != nil {
			return
		}
		l.spawn(func() { l.serve(s, from) })
	}
}

// serve answers one call. The reply has statusNotRun whenever no handler was started.
func (l *Link) serve(s *quic.Stream, from string) {
	answer, result := l.handle(s, from)
	l.metrics.calls.WithLabelValues("served", result).Inc()
	data, err := cbor.Marshal(answer)
	if err != nil || len(data) > maxFrame {
		s.CancelWrite(1)
		return
	}
	_ = s.SetWriteDeadline(time.Now().Add(readTimeout))
	if _, err := s.Write(data); err != nil {
		s.CancelWrite(1)
		return
	}
	l.metrics.payload.WithLabelValues("out").Add(float64(len(data)))
	_ = s.Close()
}

// handle reads and runs one call, and returns the reply and the metric label of its
// result.
func (l *Link) handle(s *quic.Stream, from string) (reply, string) {
	select {
	case l.handlerSlots <- struct{}{}:
		defer func() { <-l.handlerSlots }()
	default:
		s.CancelRead(1)
		return reply{Status: statusNotRun, Error: "too many calls"}, "busy"
	}
	_ = s.SetReadDeadline(time.Now().Add(readTimeout))
	data, err := readFrame(s)
	if err != nil {
		s.CancelRead(1)
		return reply{Status: statusNotRun, Error: "request incomplete"}, "incomplete"
	}
	l.metrics.payload.WithLabelValues("in").Add(float64(len(data)))
	req, err := decodeRequest(data)
	if err != nil {
		l.metrics.malformed.Inc()
		return reply{Status: statusNotRun, Error: err.Error()}, "malformed"
	}
	l.mu.RLock()
	h, ok := l.methods[req.Method]
	l.mu.RUnlock()
	if !ok {
		return reply{Status: statusNotRun, Error: "no such method: " + req.Method}, "no_method"
	}
	ctx, cancel := context.WithTimeout(s.Context(), req.Budget)
	defer cancel()
	body, err := h(ctx, from, req.Body)
	switch {
	case err != nil:
		return reply{Status: statusFailed, Error: err.Error()}, "failed"
	case len(body) > MaxBody:
		return reply{Status: statusFailed, Error: "reply body too large"}, "too_large"
	}
	return reply{Status: statusOK, Body: body}, "ok"
}

func (l *Link) receiveDatagrams(c *quic.Conn, from string) {
	answer := func(payload []byte) { l.sendDatagram(c, payload) }
	for {
		payload, err := c.ReceiveDatagram(l.ctx)
		if err != nil {
			return
		}
		l.metrics.payload.WithLabelValues("in").Add(float64(len(payload)))
		l.mu.RLock()
		h := l.onDatagram
		l.mu.RUnlock()
		if h == nil {
			l.metrics.datagrams.WithLabelValues("dropped").Inc()
			continue
		}
		l.metrics.datagrams.WithLabelValues("received").Inc()
		h(from, payload, answer)
	}
}
