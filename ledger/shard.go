package ledger

import (
	"context"
	"sync"
	"time"

	"goldcrestfork/durable"
)

// call is what one caller wants of a shard; its operations go into one write.
type call struct {
	ctx  context.Context
	ops  []op
	size int
	done chan reply // holds one
	// tainted: a write with these operations had no reply and may yet take effect.
	tainted bool

	// The rest is guarded by shard.mu.

	carried bool // a write with these operations is under way, or they are tainted
	gone    bool // the caller has left, sure that nothing will happen
}

type reply struct {
	results []result
	err     error
}

// shard gathers operations and commits them one write at a time. Its worker
// runs only while there is something to do.
type shard struct {
	l      *Ledger
	number int
	key    durable.Key

	mu      sync.Mutex
	queue   []*call
	running bool
	used    time.Time // the last time that the worker ran
	info    ShardInfo // for Dump

	// The rest belongs to the worker while it runs.

	state *state // nil: read the head first
	// unsettled: a write at the state's version had no reply. Until the head has
	// moved on, that write may still take effect, so nothing may be answered
	// from the state alone: the next write at the same version either shows by
	// its conflict that the first took effect, or makes that impossible.
	unsettled bool
	// indexedAt is the hour of the last new index.
	indexedAt uint32
	writes    int
}

// submit queues operations and waits for their results.
func (s *shard) submit(ctx context.Context, ops []op) ([]result, error) {
	c := &call{ctx: ctx, ops: ops, done: make(chan reply, 1)}
	for _, o := range ops {
		c.size += opOverhead + len(o.Value)
	}
	s.mu.Lock()
	s.queue = append(s.queue, c)
	start := !s.running
	s.running = true
	s.mu.Unlock()
	if start {
		s.l.workers.Go(s.run)
	}
	select {
	case r := <-c.done:
		return r.results, r.err
	case <-ctx.Done():
		return s.abandon(c)
	}
}

// opOverhead is the size of an entry without its value, in bytes, rounded up
// (measured: docs/design/ledger.md).
const opOverhead = 128

// abandon takes a call back whose caller no longer waits. Unless a write
// carries it, it is sure to have no effect from now on.
func (s *shard) abandon(c *call) ([]result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case r := <-c.done:
		return r.results, r.err
	default:
	}
	if c.carried {
		return nil, ErrUnknown
	}
	c.gone = true
	return nil, ErrUnavailable
}

// carry marks the calls that the next write takes along; false says that some
// caller has left meanwhile, so that the write must be planned again without it.
func (s *shard) carry(batch []*call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range batch {
		if c.gone {
			return false
		}
	}
	for _, c := range batch {
		c.carried = true
	}
	return true
}

// release unmarks calls after a write that is known to have had no effect.
func (s *shard) release(batch []*call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range batch {
		c.carried = c.tainted
	}
}

// run commits until the queue is empty.
func (s *shard) run() {
	for {
		s.mu.Lock()
		batch := s.join(nil)
		s.running = len(batch) > 0
		s.used = time.Now()
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		s.commit(batch)
	}
}

// join adds waiting calls to batch while they fit into one write. Callers hold s.mu.
func (s *shard) join(batch []*call) []*call {
	size := 0
	for _, c := range batch {
		size += c.size
	}
	for len(s.queue) > 0 {
		next := s.queue[0]
		if len(batch) > 0 && (s.l.alone || size+next.size > maxBatch) {
			break
		}
		size += next.size
		batch = append(batch, next)
		s.queue = s.queue[1:]
	}
	return batch
}
