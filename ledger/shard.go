package ledger

import (
	"context"
	"sync"
	"time"

	"goldcrestfork/durable"
)

// call holds the operations of one submit; they are committed in one write.
type call struct {
	ctx  context.Context
	ops  []op
	size int
	done chan reply // has a buffer of one
	// inDoubt is set if a write with these operations had no reply and may still take effect.
	inDoubt bool

	// The fields below are guarded by shard.mu.

	inWrite   bool // a write with these operations is under way, or inDoubt is set
	abandoned bool // the caller stopped waiting and got the answer that its operations have no effect
}

type reply struct {
	results []result
	err     error
}

// shard queues operations and commits them in batches, one write at a time. Its worker
// goroutine runs only while operations are queued.
type shard struct {
	l      *Ledger
	number int
	key    durable.Key

	mu      sync.Mutex
	queue   []*call
	running bool
	used    time.Time // time at which the worker last took operations
	info    ShardInfo // copy for Dump

	// The fields below belong to the worker while it runs.

	state *state // nil until the head is loaded
	// unsettled is set if a write at the state's version had no reply. That write may take
	// effect until the head's version has changed, so no call is answered from the state alone.
	// The next write at the same version either conflicts, which shows that the first took
	// effect, or makes that impossible.
	unsettled bool
	// reindexedAt is the hour in which the index was last rebuilt.
	reindexedAt uint32
	writes      int
}

// submit queues operations, which all belong to this shard, and waits for their results.
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
// (docs/design/ledger.md).
const opOverhead = 128

// abandon withdraws a call whose caller stops waiting. Unless a write contains its operations,
// they can have no effect from now on.
func (s *shard) abandon(c *call) ([]result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case r := <-c.done:
		return r.results, r.err
	default:
	}
	if c.inWrite {
		return nil, ErrUnknown
	}
	c.abandoned = true
	return nil, ErrUnavailable
}

// markInWrite marks the calls of the next write. It returns false if some caller has stopped
// waiting; the write must then be planned again without its call.
func (s *shard) markInWrite(batch []*call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range batch {
		if c.abandoned {
			return false
		}
	}
	for _, c := range batch {
		c.inWrite = true
	}
	return true
}

// unmarkInWrite removes the marks after a write that is known to have had no effect. Calls in
// doubt keep theirs.
func (s *shard) unmarkInWrite(batch []*call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range batch {
		c.inWrite = c.inDoubt
	}
}

// run commits batches until the queue is empty.
func (s *shard) run() {
	for {
		s.mu.Lock()
		batch := s.takeQueued(nil)
		s.running = len(batch) > 0
		s.used = time.Now()
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		s.commit(batch)
	}
}

// takeQueued moves calls from the queue to batch while they fit into one write. Callers hold
// s.mu.
func (s *shard) takeQueued(batch []*call) []*call {
	size := 0
	for _, c := range batch {
		size += c.size
	}
	for len(s.queue) > 0 {
		next := s.queue[0]
		if len(batch) > 0 && (s.l.noGroupCommit || size+next.size > maxBatch) {
			break
		}
		size += next.size
		batch = append(batch, next)
		s.queue = s.queue[1:]
	}
	return batch
}
