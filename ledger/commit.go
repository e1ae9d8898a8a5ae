package ledger

import (
	"context"
	"errors"
	"time"

	"goldcrestfork/durable"
)

// step is how one attempt at a commit ended.
type step int

const (
	stepDone      step = iota // all calls have their reply
	stepPace                  // a write is due; wait for its turn
	stepReplan                // a caller left before the write
	stepAgain                 // the state is newer now
	stepConflict              // another VM wrote first
	stepUnknown               // a write's reply was lost
	stepFailed                // the platform took nothing
	stepThrottled             // the platform has too many calls
	stepBroken                // an object could not be read as what it should be
)

// Waits between attempts. Grounds: the platform answers in milliseconds, so a
// conflict's loser waits for a few writes at most (longer waits cost 40 writers
// without a hint more than the conflicts do: docs/design/ledger.md); an outage
// lasts longer than any caller waits, so a few tries tell it from a lost packet.
const (
	firstBackoff = 5 * time.Millisecond
	lastConflict = 40 * time.Millisecond
	lastBackoff  = 500 * time.Millisecond
	failedTries  = 3
)

// commit brings a batch to its end: each call gets results, or an error, or has left.
func (s *shard) commit(batch []*call) {
	backoff := firstBackoff
	failures := 0
	read := false  // the state was read after the batch's last call came
	paced := false // the write that is due has had its turn
	for {
		before := len(batch)
		s.mu.Lock()
		batch = s.join(batch)
		s.mu.Unlock()
		read = read && len(batch) == before
		if batch = s.present(batch); len(batch) == 0 {
			return
		}
		outcome := s.attempt(batch, read, paced)
		paced = outcome == stepPace || outcome == stepReplan
		switch outcome {
		case stepDone:
			s.l.gate.opened()
			return
		case stepPace:
			s.gather()
			continue
		case stepReplan:
			continue
		case stepAgain:
			read = true
			continue
		case stepConflict:
			read = true
		case stepFailed, stepBroken:
			failures++
			if failures < s.l.gate.tries(failedTries) {
				break
			}
			if outcome == stepFailed {
				s.l.gate.failed()
			}
			if batch = refuse(batch); len(batch) == 0 {
				return
			}
		}
		time.Sleep(backoff/2 + s.l.jitter(backoff))
		backoff = min(2*backoff, longestWait(outcome))
	}
}

// longestWait bounds the wait after a step.
func longestWait(outcome step) time.Duration {
	if outcome == stepConflict {
		return lastConflict
	}
	return lastBackoff
}

// gather waits for the VM's share of the platform's writes; what arrives
// meanwhile joins the batch. A quiet VM has its share at hand and waits for
// nothing. Without it the writes grow with the requests, and the platform
// refuses the fleet's calls, configuration and leases among them.
func (s *shard) gather() {
	if s.l.settings.WritesPerSecond < 0 {
		return
	}
	now := time.Now()
	time.Sleep(s.l.pace.turn(now, s.l.active(now.Add(-activeFor))))
}

// present drops the calls whose callers have left.
func (s *shard) present(batch []*call) []*call {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*call
	for _, c := range batch {
		if c.ctx.Err() == nil && !c.gone {
			out = append(out, c)
			continue
		}
		c.done <- reply{err: c.failure()}
	}
	return out
}

// refuse answers the calls that are sure to have had no effect; the others go on.
func refuse(batch []*call) []*call {
	var out []*call
	for _, c := range batch {
		if c.tainted {
			out = append(out, c)
			continue
		}
		c.done <- reply{err: ErrUnavailable}
	}
	return out
}

func (c *call) failure() error {
	if c.tainted {
		return ErrUnknown
	}
	return ErrUnavailable
}

// attempt makes one try at committing the batch.
func (s *shard) attempt(batch []*call, read, paced bool) step {
	if s.state == nil {
		if err := s.load(); err != nil {
			return failedStep(err)
		}
		read = true
	}
	var ops []op
	for _, c := range batch {
		ops = append(ops, c.ops...)
	}
	hour := hourOf(time.Now())
	p := s.state.plan(ops, hour)
	writes := len(p.changes) > 0 || s.unsettled
	switch {
	case writes && !paced:
		return stepPace
	case writes:
		return s.write(batch, p, hour)
	case p.final || read:
		answer(batch, p.results)
		return stepDone
	}
	if err := s.load(); err != nil {
		return failedStep(err)
	}
	return stepAgain
}

func failedStep(err error) step {
	if errors.Is(err, durable.ErrOverRate) {
		return stepThrottled
	}
	if errors.Is(err, durable.ErrUnavailable) || errors.Is(err, durable.ErrUnknown) {
		return stepFailed
	}
	return stepBroken
}

// answer gives each call its part of the results.
func answer(batch []*call, results []result) {
	for _, c := range batch {
		c.done <- reply{results: results[:len(c.ops)]}
		results = results[len(c.ops):]
	}
}

// write commits a plan at the state's version.
func (s *shard) write(batch []*call, p plan, hour uint32) step {
	next := proposal{segments: s.state.segments, entries: s.state.with(p.changes)}
	if s.state.size > s.l.sealAt {
		var err error
		if next, err = s.seal(p, hour); err != nil {
			return failedStep(err)
		}
	}
	value, err := next.encode()
	if err != nil {
		return stepBroken
	}
	if !s.carry(batch) {
		return stepReplan
	}
	ctx, cancel := context.WithTimeout(context.Background(), durable.CallTimeout)
	defer cancel()
	o, err := s.l.store.Put(ctx, s.key, value, s.state.version)
	s.l.metrics.wrote(err)
	if errors.Is(err, durable.ErrConflict) || errors.Is(err, durable.ErrUnavailable) {
		s.release(batch)
	}
	var conflict *durable.ConflictError
	switch {
	case err == nil:
		s.writes++
		s.l.metrics.batch.Observe(float64(len(p.results)))
		s.adopt(o.Version, next, len(value))
		answer(batch, p.results)
		return stepDone
	case errors.As(err, &conflict):
		return s.lost(conflict.Current)
	case errors.Is(err, durable.ErrUnavailable):
		return failedStep(err)
	case errors.Is(err, durable.ErrTooLarge):
		return stepBroken
	}
	s.unsettled = true
	for _, c := range batch {
		c.tainted = true
	}
	return stepUnknown
}

// lost takes the head that won; operations of ours that are in it after all
// (an earlier write whose reply was lost) are found by their nonces.
func (s *shard) lost(current durable.Object) step {
	if err := s.follow(current); err != nil {
		return failedStep(err)
	}
	return stepConflict
}
