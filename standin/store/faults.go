package store

import (
	"time"

	"golang.org/x/time/rate"

	"goldcrestfork/durable"
)

// Faults are the faults that the store simulates from the time they are set.
type Faults struct {
	// Down makes each call fail with ErrUnavailable and ends the watches.
	Down bool
	// Delay is added to each call before it takes effect.
	Delay time.Duration
	// LoseReplies is the number of further writes that take effect but fail with ErrUnknown, as
	// if their reply were lost.
	LoseReplies int
	// RefuseWrites is the number of further writes that fail with ErrUnknown without effect.
	RefuseWrites int
	// HoldWrites is the number of further writes that fail with ErrUnknown and reach the store
	// later. They then take effect if their condition still holds.
	HoldWrites int
	// HoldFor is the time after which a held write reaches the store; zero means at the next
	// call of Release.
	HoldFor time.Duration
	// HistoryLost makes the next start of a watch fail with ErrGone, once.
	HistoryLost bool
}

// writeCall is a write or deletion on condition that the object has version ifVersion.
type writeCall struct {
	key       durable.Key
	value     []byte
	ifVersion int64
	deleted   bool
}

// SetFaults replaces the faults in force and applies them to waiting watches at once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// SetRateLimits limits the writes and reads a second; zero means no limit. The burst is the number
// of calls in a tenth of a second, at least one.
func (s *Store) SetRateLimits(writes, reads float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = [2]*rate.Limiter{read: newLimiter(reads), write: newLimiter(writes)}
}

// newLimiter returns a rate limiter, or nil for no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Release lets held writes reach the store, in the order in which they were made.
func (s *Store) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held
	s.held = nil
	for _, h := range held {
		_, _ = s.apply(*h)
	}
}

// hold delays a write until Release or for HoldFor. Callers hold s.mu.
func (s *Store) hold(h writeCall) {
	if s.faults.HoldFor == 0 {
		s.held = append(s.held, &h)
		return
	}
	time.AfterFunc(s.faults.HoldFor, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = s.apply(h)
	})
}
