package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"goldcrestfork/policy/silence"
)

const (
	// watchInterval is the time between two checks for silent endpoints.
	watchInterval = 50 * time.Millisecond
	// maxProbeOverrun is how far a probe may overrun its timeout and still count against the
	// endpoint. After a longer overrun this VM was paused or had no processor time, and an
	// answer may already be waiting.
	maxProbeOverrun = 100 * time.Millisecond
)

// begin records that a request waits for an answer. If retryable is set, the request may also
// be sent to another endpoint.
func (p *Pool) begin(a *Answer, retryable bool) {
	p.detector.RequestSent(time.Now(), a.addr)
	if !retryable {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retryable[a.addr] == nil {
		p.retryable[a.addr] = make(map[*Answer]struct{})
	}
	p.retryable[a.addr][a] = struct{}{}
}

// end records that a request no longer waits.
func (p *Pool) end(a *Answer) {
	p.detector.RequestEnded(a.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.retryable[a.addr], a)
	if len(p.retryable[a.addr]) == 0 {
		delete(p.retryable, a.addr)
	}
}

// Watch probes silent endpoints with a new connection until the context ends. Requests that
// wait at a lost endpoint and may run again get an error: at once if no answer has begun, and
// otherwise if the endpoint stays lost. Requests that must not run twice
// continue to wait for an answer, since the endpoint may have run them. Watch calls notify for
// each endpoint that becomes lost or available again.
func (p *Pool) Watch(ctx context.Context, notify func(address string, lost bool)) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, addr := range p.detector.DueProbes(time.Now()) {
				go p.probe(ctx, addr, notify)
			}
		}
	}
}

// probe probes one endpoint until the result is certain.
func (p *Pool) probe(ctx context.Context, addr string, notify func(string, bool)) {
	for {
		started := time.Now()
		answered := p.responds(ctx, addr)
		now := time.Now()
		overran := now.Sub(started) > silence.ProbeTimeout+maxProbeOverrun
		switch p.detector.ProbeDone(started, now, addr, answered, overran) {
		case silence.Unsure:
			if ctx.Err() == nil {
				continue
			}
		case silence.Lost:
			p.observer.Failed(addr)
			notify(addr, true)
			p.closeIdle(addr)
			p.abortRetryable(addr, func(a *Answer) bool { return !a.begun.Load() })
		case silence.Move:
			p.abortRetryable(addr, anyAnswer)
		case silence.Back:
			notify(addr, false)
		case silence.Alive, silence.StillLost:
		}
		return
	}
}

// MoveFromLost ends the requests that wait at lost endpoints and may run again, without waiting for
// these to go on. It is for a VM that has lost its network paths to all endpoints.
func (p *Pool) MoveFromLost() {
	for _, addr := range p.detector.MoveAll() {
		p.abortRetryable(addr, anyAnswer)
	}
}

func anyAnswer(*Answer) bool { return true }

// responds reports whether anything answers at an address, even with a refusal or a reset. A
// new connection is kept for a later request.
func (p *Pool) responds(ctx context.Context, addr string) bool {
	c, err := p.dial(ctx, addr, silence.ProbeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	p.put(addr, c, "")
	return true
}

// abortRetryable resets the connections to a lost endpoint whose requests may run again, as far as
// they are included.
func (p *Pool) abortRetryable(addr string, include func(*Answer) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.retryable[addr] {
		if include(a) {
			a.conn.abort()
		}
	}
}

// closeSending closes the sending side of the connection.
func (c *conn) closeSending() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only on a connection that has ended
	}
}

// abort resets the connection and discards the bytes that the endpoint has not acknowledged.
// After an orderly close the kernel would continue to send them: when a network partition heals
// seconds later, the endpoint would run the request in parallel with the one sent elsewhere, or
// run it after it had drained. An endpoint that doesn't read while it works notices a reset when it writes for the first
// time, and an orderly close not before the second time.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection, which has nothing to discard
	}
	c.Close()
}
