// Package link carries the TCP connections of one network link of a test through the test's own process, which can
// delay, silence, refuse and reset them. What one end does to its connection, such as the close of its sending side
// or a reset, the other end sees as it would over a network.
//
// Two things differ from a network: data that is held back on a silent link counts as acknowledged for its sender, and
// a new connection of a single silent sender is taken.
//
// Lock order: Link.mu is a leaf.
package link

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// Condition is a disturbance of a link. The zero value is none.
type Condition struct {
	// Delay is added one way, to each piece of data.
	Delay time.Duration
	// Loss is the share of the pieces of data that are held up for retransmission, as by a lost packet.
	Loss float64
	// SilentOut holds back what the side that connected sends, SilentBack what the other side sends, until the
	// condition ends. A reset that is sent meanwhile is lost.
	SilentOut, SilentBack bool
	// Refused resets new connections.
	Refused bool
	// ClosesResets shows the reset of one end to the other end as an orderly close, as a proxy may do.
	ClosesResets bool
}

// retransmission is the time for which a lost packet holds a connection up: the least timeout of Linux.
const retransmission = 200 * time.Millisecond

// merge returns a condition with the disturbances of both.
func (c Condition) merge(d Condition) Condition {
	return Condition{
		Delay: max(c.Delay, d.Delay), Loss: max(c.Loss, d.Loss),
		SilentOut: c.SilentOut || d.SilentOut, SilentBack: c.SilentBack || d.SilentBack,
		Refused: c.Refused || d.Refused, ClosesResets: c.ClosesResets || d.ClosesResets,
	}
}

// silent reports whether data is held back in one direction.
func (c Condition) silent(out bool) bool { return out && c.SilentOut || !out && c.SilentBack }

// Options are the options of a link.
type Options struct {
	// Sender names the process that opened a connection; nil for one name for all.
	Sender func(net.Conn) string
	// Opened is called with each connection to the target and its sender before data passes; it may be nil.
	Opened func(c net.Conn, sender string)
	// Seed is that of the link's random choices.
	Seed uint64
}

// Link listens at an address of its own and connects to a target. It is safe for concurrent use.
type Link struct {
	address string
	options Options

	mu         sync.Mutex
	target     string
	rand       *rand.Rand
	listener   *net.TCPListener // nil while the link is down or closed
	closed     bool
	dark       bool
	fillers    []net.Conn // connections that fill the queue of the listener while the link is dark
	conditions map[*disturbance]bool
	changed    chan struct{} // closed and replaced when the conditions change
	pipes      map[*pipe]bool
}

// disturbance is a condition for the connections of one sender, or of all if sender is empty.
type disturbance struct {
	sender    string
	condition Condition
}

// Listen starts a link to a target (ip:port) on a free port of the loopback interface.
func Listen(target string, o Options) (*Link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{
		target: target, address: l.Addr().String(), options: o, rand: rand.New(rand.NewPCG(o.Seed, 0)), listener: l.(*net.TCPListener),
		conditions: make(map[*disturbance]bool), changed: make(chan struct{}), pipes: make(map[*pipe]bool),
	}
	go k.accept(k.listener)
	return k, nil
}

// Address returns the address at which the link listens.
func (k *Link) Address() string { return k.address }

// SetTarget lets new connections go to another target. Open connections aren't changed.
func (k *Link) SetTarget(target string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.target = target
}

// Disturb applies a condition to the connections of a sender, or to all if sender is empty, until end is called.
func (k *Link) Disturb(sender string, c Condition) (end func()) {
	d := &disturbance{sender, c}
	k.change(func() { k.conditions[d] = true })
	return func() { k.change(func() { delete(k.conditions, d) }) }
}

// change changes the conditions and wakes what waits for a change.
func (k *Link) change(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f()
	close(k.changed)
	k.changed = make(chan struct{})
}

// state returns the condition of a sender's connections and a channel that is closed when it may have changed.
func (k *Link) state(sender string) (c Condition, changed <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for d := range k.conditions {
		if d.sender == "" || d.sender == sender {
			c = c.merge(d.condition)
		}
	}
	if k.dark {
		c.SilentOut, c.SilentBack = true, true
	}
	return c, k.changed
}

// Reset resets a share of the open connections of a sender, or of all if sender is empty, at both ends.
func (k *Link) Reset(sender string, share float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pipes {
		if (sender == "" || p.sender == sender) && k.rand.Float64() < share {
			reset(p.near)
			reset(p.far)
		}
	}
}

// SetDown refuses new connections as a machine does on which no process listens, or takes them again. Open
// connections aren't changed.
func (k *Link) SetDown(down bool) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed || down == (k.listener == nil) {
		return nil
	}
	if down {
		l := k.listener
		k.listener = nil
		return l.Close()
	}
	l, err := net.Listen("tcp4", k.address)
	if err != nil {
		return fmt.Errorf("the port of the link is taken: %w", err)
	}
	k.listener = l.(*net.TCPListener)
	go k.accept(k.listener)
	return nil
}

const (
	// usualBacklog is the length of the queue of connections that wait to be accepted.
	usualBacklog = 128
	// fillTimeout is the time after which a connection to a dark link counts as not taken.
	fillTimeout = 30 * time.Millisecond
	// fillers is the number of connections that fill a dark link: one that its listener takes, and one in its queue.
	fillers  = 2
	maxFills = 100
)

// SetDark silences the link for all senders. New connections then get no answer.
func (k *Link) SetDark(dark bool) error {
	k.change(func() { k.dark = dark })
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listener == nil {
		return nil
	}
	for _, c := range k.fillers {
		c.Close()
	}
	k.fillers = nil
	backlog := usualBacklog
	if dark {
		backlog = 0
	}
	raw, err := k.listener.SyscallConn()
	if err != nil {
		return err
	}
	var lerr error
	if err := raw.Control(func(fd uintptr) { lerr = syscall.Listen(int(fd), backlog) }); err != nil || lerr != nil || !dark {
		return errors.Join(err, lerr)
	}
	for range maxFills {
		c, err := net.DialTimeout("tcp4", k.address, fillTimeout)
		switch {
		case err == nil:
			k.fillers = append(k.fillers, c)
		case len(k.fillers) >= fillers:
			return nil
		}
	}
	return fmt.Errorf("the link at %s still takes connections", k.address)
}

// Close ends the link and resets its connections.
func (k *Link) Close() {
	_ = k.SetDark(false)
	k.mu.Lock()
	k.closed = true
	if k.listener != nil {
		k.listener.Close()
	}
	k.mu.Unlock()
	k.Reset("", 1.1)
	k.change(func() {})
}

// awaitLight waits until the link isn't dark.
func (k *Link) awaitLight() {
	for {
		k.mu.Lock()
		dark, changed := k.dark, k.changed
		k.mu.Unlock()
		if !dark {
			return
		}
		<-changed
	}
}

func (k *Link) accept(l *net.TCPListener) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return
		}
		k.awaitLight()
		go k.serve(c)
	}
}

// serve carries one connection.
func (k *Link) serve(near *net.TCPConn) {
	p := &pipe{link: k, near: near}
	if k.options.Sender != nil {
		p.sender = k.options.Sender(near)
	}
	if c, _ := k.state(p.sender); c.Refused {
		reset(near)
		return
	}
	k.mu.Lock()
	target := k.target
	k.mu.Unlock()
	c, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		reset(near)
		return
	}
	p.far = c.(*net.TCPConn)
	if k.options.Opened != nil {
		k.options.Opened(c, p.sender)
	}
	k.mu.Lock()
	k.pipes[p] = true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(p.far, p.near, true) })
	both.Go(func() { p.pump(p.near, p.far, false) })
	both.Wait()
	p.near.Close()
	p.far.Close()
	k.mu.Lock()
	delete(k.pipes, p)
	k.mu.Unlock()
}

// pipe is one connection through a link: near is the end that connected.
type pipe struct {
	link      *Link
	sender    string
	near, far *net.TCPConn
}

// pieceSize is the size of the pieces in which data is carried.
const pieceSize = 16 << 10

// pump carries one direction of a connection until it ends.
func (p *pipe) pump(to, from *net.TCPConn, out bool) {
	buf := make([]byte, pieceSize)
	for {
		n, err := from.Read(buf)
		held, ended := false, false
		if n > 0 || errors.Is(err, io.EOF) {
			held, ended = p.pass(to, out)
		}
		switch {
		case ended || held && isReset(from):
			return // what its sender has discarded, or its receiver doesn't wait for, isn't delivered
		case n > 0:
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		switch c, _ := p.link.state(p.sender); {
		case err == nil:
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite() // fails only if the connection has ended
			return
		case c.silent(out):
			return
		case c.ClosesResets:
			_ = to.CloseWrite()
			return
		default:
			time.Sleep(c.Delay)
			reset(to)
			return
		}
	}
}

// silenceCheck is the time between two looks at whether the receiver of data that is held back has reset its
// connection.
const silenceCheck = 50 * time.Millisecond

// pass waits until the link lets a piece of data through. held reports whether it was held back by silence, ended
// whether the receiver has reset the connection meanwhile.
func (p *pipe) pass(to *net.TCPConn, out bool) (held, ended bool) {
	for {
		c, changed := p.link.state(p.sender)
		if !c.silent(out) {
			wait := c.Delay
			if c.Loss > 0 && p.link.draw() < c.Loss {
				wait += retransmission
			}
			time.Sleep(wait)
			return held, false
		}
		held = true
		select {
		case <-changed:
		case <-time.After(silenceCheck):
			if isReset(to) {
				return held, true
			}
		}
	}
}

// draw returns a random number from 0 to 1.
func (k *Link) draw() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rand.Float64()
}

// tcpClosed is the state of a connection that was reset (from linux/tcp_states.h).
const tcpClosed = 7

// isReset reports whether the other process has reset a connection, or this one has closed it.
func isReset(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	state := byte(0)
	err = raw.Control(func(fd uintptr) { state = tcpState(fd) })
	return err != nil || state == tcpClosed
}

// reset ends a connection by a reset.
func reset(c *net.TCPConn) {
	if c != nil {
		_ = c.SetLinger(0) // fails only on a closed connection
		c.Close()
	}
}
