package store

import (
	"time"

	"golang.org/x/time/rate"

	"goldcrestfork/durable"
)

// Faults is what goes wrong, from the moment it is set.
type Faults struct {
	// Down: every call fails with ErrUnavailable and watches break.
	Down bool
	// Delay is added to each call before it takes effect.
	Delay time.Duration
	// LoseReplies is the number of further writes whose effect takes place and whose reply is lost.
	LoseReplies int
	// RefuseWrites is the number of further writes that fail with ErrUnknown without effect.
	RefuseWrites int
	// HoldWrites is the number of further writes that fail with ErrUnknown and
	// reach the store later, when their condition may still hold.
	HoldWrites int
	// HoldFor is how long a held write takes; zero: until Release.
	HoldFor time.Duration
	// HistoryLost makes the next watch start fail with ErrGone, once.
	HistoryLost bool
}

type heldWrite struct {
	key       durable.Key
	value     []byte
	ifVersion int64
	deleted   bool
}

// SetFaults replaces the faults in force; breaking watches see it at once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// SetRates caps the calls a second; zero lifts a cap. A tenth of a second's worth may come at once.
func (s *Store) SetRates(writes, reads float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = [2]*rate.Limiter{read: limiter(reads), write: limiter(writes)}
}

func limiter(perSecond float64) *rate.Limiter {
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

// hold keeps a write back. Callers hold s.mu.
func (s *Store) hold(h heldWrite) {
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
