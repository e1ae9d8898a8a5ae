package ledger

import (
	"context"
	"sync"
	"time"
)

const (
	// settleKept bounds what is owed to the store. Grounds: at the size designed
	// for a VM has about 1.5 claims a second, so this outlasts an hour's outage.
	settleKept = 8192
	// settleChunk is how many operations go into one call to a shard.
	settleChunk = 128
	// settlePause is the wait between rounds while the store is away.
	settlePause = 2 * time.Second
)

// settler records outcomes that the store did not take at once. It loses them
// with its VM; their claims then stay open, which forbids a second run.
type settler struct {
	ledger *Ledger

	mu      sync.Mutex
	owed    []op
	running bool
	stopped bool
	idle    chan struct{} // closed when the worker has ended
}

// add takes an operation over.
func (s *settler) add(o op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.owed) >= settleKept {
		s.ledger.metrics.lost.Inc()
		return
	}
	s.owed = append(s.owed, o)
	s.ledger.metrics.pending.Set(float64(len(s.owed)))
	if s.running || s.stopped {
		return
	}
	s.running = true
	s.idle = make(chan struct{})
	go s.run()
}

// run settles round after round until nothing is owed.
func (s *settler) run() {
	for {
		s.round()
		s.mu.Lock()
		if len(s.owed) == 0 || s.stopped {
			s.running = false
			close(s.idle)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		time.Sleep(settlePause)
	}
}

// round tries all that is owed, shard by shard, and stops at the first shard
// that fails: in an outage the others would fail as well.
func (s *settler) round() {
	byShard := map[int][]op{}
	s.mu.Lock()
	for _, o := range s.owed {
		n := o.Key.Shard()
		byShard[n] = append(byShard[n], o)
	}
	s.mu.Unlock()
	for number, ops := range byShard {
		for len(ops) > 0 {
			n := min(len(ops), settleChunk)
			if !s.try(number, ops[:n]) {
				return
			}
			ops = ops[n:]
		}
	}
}

// try settles operations of one shard.
func (s *settler) try(number int, ops []op) bool {
	ctx, cancel := context.WithTimeout(context.Background(), s.ledger.settings.Timeout)
	defer cancel()
	if _, err := s.ledger.shard(number).submit(ctx, ops); err != nil {
		return false
	}
	s.settled(ops)
	return true
}

// settled takes operations off what is owed.
func (s *settler) settled(ops []op) {
	type id struct {
		kind  opKind
		nonce uint64
		state State
	}
	done := make(map[id]bool, len(ops))
	for _, o := range ops {
		done[id{o.Kind, o.Nonce, o.State}] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var left []op
	for _, o := range s.owed {
		if !done[id{o.Kind, o.Nonce, o.State}] {
			left = append(left, o)
		}
	}
	s.owed = left
	s.ledger.metrics.pending.Set(float64(len(left)))
}

// drain waits until nothing is owed or the context ends, and gives what is left.
func (s *settler) drain(ctx context.Context) int {
	s.mu.Lock()
	idle := s.idle
	s.mu.Unlock()
	if idle != nil {
		select {
		case <-idle:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.stopped = true
		s.ledger.metrics.lost.Add(float64(len(s.owed)))
	}
	return len(s.owed)
}
