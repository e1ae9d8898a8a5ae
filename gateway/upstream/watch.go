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
	// watchEvery is the time between looks at which endpoints are silent.
	watchEvery = 50 * time.Millisecond
	// heldUp is how far past its time a question may end and still tell of the endpoint.
	// Beyond that this VM was paused or had no processor time, and an answer may be waiting.
	heldUp = 100 * time.Millisecond
)

// begin notes that a request waits; again says that it may be sent elsewhere as well.
func (p *Pool) begin(a *Answer, again bool) {
	p.silent.Sent(time.Now(), a.addr)
	if !again {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[a.addr] == nil {
		p.open[a.addr] = make(map[*Answer]struct{})
	}
	p.open[a.addr][a] = struct{}{}
}

// end notes that a request waits no more.
func (p *Pool) end(a *Answer) {
	p.silent.Ended(a.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open[a.addr], a)
	if len(p.open[a.addr]) == 0 {
		delete(p.open, a.addr)
	}
}

// Watch asks endpoints that are silent for a connection, until the context ends. Requests
// that wait at a lost one and may run again get an error; those that may not wait on for
// an answer, since the endpoint may have run them. told hears of endpoints that are lost
// and of those that are back.
func (p *Pool) Watch(ctx context.Context, told func(address string, lost bool)) {
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, addr := range p.silent.Due(time.Now()) {
				go p.ask(ctx, addr, told)
			}
		}
	}
}

// ask asks one endpoint until the answer is clear.
func (p *Pool) ask(ctx context.Context, addr string, told func(string, bool)) {
	for {
		began := time.Now()
		answered := p.answers(ctx, addr)
		now := time.Now()
		late := now.Sub(began) > silence.AnswerWithin+heldUp
		switch p.silent.Asked(began, now, addr, answered, late) {
		case silence.Unsure:
			if ctx.Err() == nil {
				continue
			}
		case silence.Lost:
			told(addr, true)
			p.giveUp(addr)
		case silence.Back:
			told(addr, false)
		case silence.Alive, silence.StillLost:
		}
		return
	}
}

// answers says that something answers at an address, be it with a refusal. A connection
// that was made is kept for a request.
func (p *Pool) answers(ctx context.Context, addr string) bool {
	c, err := p.dial(ctx, addr, silence.AnswerWithin)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	p.put(addr, c, "")
	return true
}

// giveUp closes the connections to a lost endpoint, but for those whose request must not
// run again.
func (p *Pool) giveUp(addr string) {
	p.drop(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.open[addr] {
		a.c.abort()
	}
}

// abort closes the connection and takes back what the endpoint hasn't acknowledged. An
// orderly close would have the kernel go on sending it: the request then reaches the
// endpoint seconds later, when a cut heals, and runs beside the one sent elsewhere, or at
// an endpoint that has drained meanwhile.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on a connection that is closed already there is nothing to take back
	}
	c.Close()
}
