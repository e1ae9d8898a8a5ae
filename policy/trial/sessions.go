package trial

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// mostWord bounds the sessions that one VM names to others at once, 4 bytes each in a
// datagram of 1,400. At 33 requests a second a fifth of the sessions of 6 s are 40.
const mostWord = 128

// Session is a session's mark.
type Session uint32

// SessionOf marks a session of a service.
func SessionOf(service, id string) Session {
	return Session(xxhash.Sum64String(service + "/" + id))
}

// String is the mark as log lines give it.
func (s Session) String() string { return fmt.Sprintf("%08x", uint32(s)) }

// Tries says that the session belongs to a share that tries a new version.
func (s Session) Tries(share float64) bool { return float64(s%1000) < share*1000 }

// Sessions remembers which of the sessions that would try a new version are at the old
// one, by this VM's requests and the others' word. It is safe for concurrent use.
type Sessions struct {
	pause time.Duration // longest pause within a session

	mu   sync.Mutex
	seen map[Session]time.Duration
	own  map[Session]time.Duration
}

// NewSessions returns an empty memory.
func NewSessions(pause time.Duration) *Sessions {
	return &Sessions{pause: pause + settle, seen: make(map[Session]time.Duration), own: make(map[Session]time.Duration)}
}

// AtOld notes a request of a session that goes to the old version.
func (m *Sessions) AtOld(now time.Duration, s Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen[s], m.own[s] = now, now
}

// Stays says that the session was at the old version within its longest pause.
func (m *Sessions) Stays(now time.Duration, s Session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.seen[s]
	return ok && now-at < m.pause
}

// Age is how long ago the session was known to be at the old version; 0 if it isn't known.
func (m *Sessions) Age(now time.Duration, s Session) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, ok := m.seen[s]; ok {
		return max(now-at, 1)
	}
	return 0
}

// Heard takes another VM's word.
func (m *Sessions) Heard(now time.Duration, list []Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range list {
		m.seen[s] = now
	}
}

// Word returns the sessions that this VM has at the old version, and forgets old ones.
func (m *Sessions) Word(now time.Duration) []Session {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s, at := range m.seen {
		if now-at >= m.pause {
			delete(m.seen, s)
		}
	}
	var out []Session
	for s, at := range m.own {
		if now-at >= m.pause {
			delete(m.own, s)
		} else if len(out) < mostWord {
			out = append(out, s)
		}
	}
	return out
}
