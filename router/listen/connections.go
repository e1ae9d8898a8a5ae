package listen

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// Connections bounds the connections that clients keep to a process. One connection more than the limit
// closes the one that has been idle longest, or else the one whose first request has not arrived for longest.
// If there is neither, the connection is an excess one, whose requests the process may refuse. It is safe for
// concurrent use.
type Connections struct {
	limit int

	mu    sync.Mutex
	conns map[net.Conn]*clientConn
	idle  list.List // of net.Conn, the longest idle first
	fresh list.List // of net.Conn without a whole head so far, the oldest first
}

// clientConn is the state of one connection.
type clientConn struct {
	opened time.Time
	idle   *list.Element // nil while it carries a request
	fresh  *list.Element // nil since the head of its first request was read
	excess bool          // it came when the process had no room for it
}

const (
	// hardLimitFactor times the limit is the number of connections from which new ones are closed at once:
	// so many clients don't take their refusals.
	hardLimitFactor = 1.25
	// freshTime is how long a connection may take for its first head before a new one may replace it. A
	// sound client sends its request at once, and gives up if it isn't read within a second.
	freshTime = time.Second
)

// NewConnections returns a Connections with the given limit.
func NewConnections(limit int) *Connections {
	return &Connections{limit: limit, conns: make(map[net.Conn]*clientConn)}
}

// SetState records a connection's state, for http.Server.ConnState. It reports whether a connection was
// closed for it.
func (l *Connections) SetState(c net.Conn, state http.ConnState) (closed bool) {
	closing := l.record(time.Now(), c, state)
	if closing == nil {
		return false
	}
	_ = closing.Close() // it carries no request, or is refused
	return true
}

// record records a connection's state and returns the connection to close for it, nil for none.
func (l *Connections) record(now time.Time, c net.Conn, state http.ConnState) (closing net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.conns[c]
	switch state {
	case http.StateNew:
		return l.open(now, c)
	case http.StateIdle:
		if k != nil && k.idle == nil {
			k.idle = l.idle.PushBack(c)
		}
	case http.StateActive:
		if k != nil {
			l.unlist(k)
		}
	case http.StateClosed, http.StateHijacked:
		l.forget(c)
	}
	return nil
}

// open records a new connection. Callers hold l.mu.
func (l *Connections) open(now time.Time, c net.Conn) (closing net.Conn) {
	k := &clientConn{opened: now}
	l.conns[c] = k
	if len(l.conns) > l.limit {
		if closing = l.replaceable(now); closing != nil {
			l.forget(closing)
		} else {
			k.excess = true
			if float64(len(l.conns)) > hardLimitFactor*float64(l.limit) {
				return c
			}
		}
	}
	k.fresh = l.fresh.PushBack(c)
	return closing
}

// replaceable returns the connection that a new one replaces, nil for none. Callers hold l.mu.
func (l *Connections) replaceable(now time.Time) net.Conn {
	if longest := l.idle.Front(); longest != nil {
		return longest.Value.(net.Conn)
	}
	if oldest := l.fresh.Front(); oldest != nil {
		if c := oldest.Value.(net.Conn); now.Sub(l.conns[c].opened) >= freshTime {
			return c
		}
	}
	return nil
}

// unlist takes a connection out of the lists of those that may be replaced. Callers hold l.mu.
func (l *Connections) unlist(k *clientConn) {
	if k.idle != nil {
		l.idle.Remove(k.idle)
		k.idle = nil
	}
	if k.fresh != nil {
		l.fresh.Remove(k.fresh)
		k.fresh = nil
	}
}

// forget removes a connection. Callers hold l.mu.
func (l *Connections) forget(c net.Conn) {
	if k := l.conns[c]; k != nil {
		l.unlist(k)
		delete(l.conns, c)
	}
}

// Count returns the number of connections.
func (l *Connections) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Idle returns the number of those that carry no request and have carried one.
func (l *Connections) Idle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.idle.Len()
}

// IsExcess reports whether a connection came when the process had no room for it.
func (l *Connections) IsExcess(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.conns[c]
	return k != nil && k.excess
}
