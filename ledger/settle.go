package ledger

import (
	"context"
	"sync"
	"time"
)

const (
	// settleCapacity is the maximum number of pending outcomes. A VM has about 1.5 claims a
	// second at the intended size, so the capacity lasts for an outage of more than an hour.
	settleCapacity = 8192
	// settleBatchSize is the maximum number of operations in one call to a shard.
	settleBatchSize = 128
	// settleInterval is the wait between rounds while the store is unavailable.
	settleInterval = 2 * time.Second
)

// settler records in the background the outcomes that the store did not take at once. They are
// lost if the VM crashes; their claims then stay open, which forbids a second run.
type settler struct {
	ledger *Ledger

	mu      sync.Mutex
	pending []op
	running bool
	stopped bool
	idle    chan struct{} // closed when the worker ends
}

// add queues an operation; if settleCapacity are pending, it drops the operation and counts it
// as lost.
func (s *settler) add(o op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= settleCapacity {
		s.ledger.metrics.settleLost.Inc()
		return
	}
	s.pending = append(s.pending, o)
	s.ledger.metrics.settlePending.Set(float64(len(s.pending)))
	if s.running || s.stopped {
		return
	}
	s.running = true
	s.idle = make(chan struct{})
	go s.settleLoop()
}

// settleLoop runs rounds until no operation is pending or the settler is stopped.
func (s *settler) settleLoop() {
	for {
		s.settleAll()
		s.mu.Lock()
		if len(s.pending) == 0 || s.stopped {
			s.running = false
			close(s.idle)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		time.Sleep(settleInterval)
	}
}

// settleAll tries all pending operations, shard by shard. It stops at the first shard that
// fails, because in an outage the others would fail as well.
func (s *settler) settleAll() {
	byShard := map[int][]op{}
	s.mu.Lock()
	for _, o := range s.pending {
		n := o.Key.Shard()
		byShard[n] = append(byShard[n], o)
	}
	s.mu.Unlock()
	for number, ops := range byShard {
		for len(ops) > 0 {
			n := min(len(ops), settleBatchSize)
			if !s.settleBatch(number, ops[:n]) {
				return
			}
			ops = ops[n:]
		}
	}
}

// settleBatch commits operations of one shard and reports whether it succeeded.
func (s *settler) settleBatch(number int, ops []op) bool {
	ctx, cancel := context.WithTimeout(context.Background(), s.ledger.settings.Timeout)
	defer cancel()
	if _, err := s.ledger.shard(number).submit(ctx, ops); err != nil {
		return false
	}
	s.removePending(ops)
	return true
}

// removePending removes operations from the pending ones.
func (s *settler) removePending(ops []op) {
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
	for _, o := range s.pending {
		if !done[id{o.Kind, o.Nonce, o.State}] {
			left = append(left, o)
		}
	}
	s.pending = left
	s.ledger.metrics.settlePending.Set(float64(len(left)))
}

// close waits until no operation is pending or the context ends, stops the settler, and returns
// the number of operations left. They are counted as lost.
func (s *settler) close(ctx context.Context) int {
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
		s.ledger.metrics.settleLost.Add(float64(len(s.pending)))
	}
	return len(s.pending)
}
