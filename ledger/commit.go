package ledger

import (
	"context"
	"errors"
	"time"

	"goldcrestfork/durable"
)

// attemptResult is the outcome of one attempt to commit a batch.
type attemptResult int

const (
	attemptDone      attemptResult = iota // all calls have their results
	attemptAwaitTurn                      // a write is needed and must wait for its turn
	attemptReplan                         // a caller stopped waiting before the write
	attemptReloaded                       // the state was reloaded
	attemptConflict                       // another VM wrote first
	attemptUnknown                        // the reply to a write was lost
	attemptFailed                         // the platform is unavailable and wrote nothing
	attemptThrottled                      // the platform refused the call over its rate limit
	attemptBroken                         // an object could not be decoded, encoded or found
)

// Backoff between attempts. The platform answers in milliseconds, so the loser of a conflict
// waits for a few writes at most; with 40 writers that don't forward to an owner, longer waits
// cost more than the conflicts (docs/design/ledger.md). An outage lasts longer than any caller
// waits, so a few attempts distinguish it from a lost packet.
const (
	minBackoff         = 5 * time.Millisecond
	maxConflictBackoff = 40 * time.Millisecond
	maxBackoff         = 500 * time.Millisecond
	maxAttempts        = 3
)

// commit retries a batch until each call has its results or an error.
func (s *shard) commit(batch []*call) {
	backoff := minBackoff
	failures := 0
	fresh := false   // the state was loaded after the last call joined the batch
	hadTurn := false // the next write has waited for its turn
	for {
		before := len(batch)
		s.mu.Lock()
		batch = s.takeQueued(batch)
		s.mu.Unlock()
		fresh = fresh && len(batch) == before
		if batch = s.dropAbandoned(batch); len(batch) == 0 {
			return
		}
		outcome := s.attempt(batch, fresh, hadTurn)
		hadTurn = outcome == attemptAwaitTurn || outcome == attemptReplan
		switch outcome {
		case attemptDone:
			s.l.breaker.recordSuccess()
			return
		case attemptAwaitTurn:
			s.awaitWriteTurn()
			continue
		case attemptReplan:
			continue
		case attemptReloaded:
			fresh = true
			continue
		case attemptConflict:
			fresh = true
		case attemptFailed, attemptBroken:
			failures++
			if failures < s.l.breaker.attempts(maxAttempts) {
				break
			}
			if outcome == attemptFailed {
				s.l.breaker.recordFailure()
			}
			if batch = refuseUndecided(batch); len(batch) == 0 {
				return
			}
		}
		time.Sleep(backoff/2 + s.l.jitter(backoff))
		backoff = min(2*backoff, backoffLimit(outcome))
	}
}

// backoffLimit returns the maximum backoff after an outcome.
func backoffLimit(outcome attemptResult) time.Duration {
	if outcome == attemptConflict {
		return maxConflictBackoff
	}
	return maxBackoff
}

// awaitWriteTurn waits until the VM's part of the platform's write rate allows another write;
// calls that arrive in the meantime join the batch. A VM with few writes does not wait. Without
// this limit the number of writes would grow with the requests, and the platform would refuse
// calls of the whole fleet, among them those for configuration and leases.
func (s *shard) awaitWriteTurn() {
	if s.l.settings.WritesPerSecond < 0 {
		return
	}
	now := time.Now()
	time.Sleep(s.l.pace.reserve(now, s.l.activeShards(now.Add(-activeWindow))))
}

// dropAbandoned removes the calls whose callers have stopped waiting and replies to them with
// an error.
func (s *shard) dropAbandoned(batch []*call) []*call {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*call
	for _, c := range batch {
		if c.ctx.Err() == nil && !c.abandoned {
			out = append(out, c)
			continue
		}
		c.done <- reply{err: c.failureError()}
	}
	return out
}

// refuseUndecided replies ErrUnavailable to the calls whose operations had no effect, and
// returns the others, which are in doubt.
func refuseUndecided(batch []*call) []*call {
	var out []*call
	for _, c := range batch {
		if c.inDoubt {
			out = append(out, c)
			continue
		}
		c.done <- reply{err: ErrUnavailable}
	}
	return out
}

func (c *call) failureError() error {
	if c.inDoubt {
		return ErrUnknown
	}
	return ErrUnavailable
}

// attempt tries once to commit the batch. fresh means that the state was loaded after the last
// call of the batch arrived; hadTurn means that a write has waited for its turn.
func (s *shard) attempt(batch []*call, fresh, hadTurn bool) attemptResult {
	if s.state == nil {
		if err := s.loadHead(); err != nil {
			return classifyError(err)
		}
		fresh = true
	}
	var ops []op
	for _, c := range batch {
		ops = append(ops, c.ops...)
	}
	hour := hourOf(time.Now())
	p := s.state.plan(ops, hour)
	writes := len(p.changes) > 0 || s.unsettled
	switch {
	case writes && !hadTurn:
		return attemptAwaitTurn
	case writes:
		return s.write(batch, p, hour)
	case p.final || fresh:
		sendResults(batch, p.results)
		return attemptDone
	}
	if err := s.loadHead(); err != nil {
		return classifyError(err)
	}
	return attemptReloaded
}

func classifyError(err error) attemptResult {
	if errors.Is(err, durable.ErrOverRate) {
		return attemptThrottled
	}
	if errors.Is(err, durable.ErrUnavailable) || errors.Is(err, durable.ErrUnknown) {
		return attemptFailed
	}
	return attemptBroken
}

// sendResults sends each call its part of the results.
func sendResults(batch []*call, results []result) {
	for _, c := range batch {
		c.done <- reply{results: results[:len(c.ops)]}
		results = results[len(c.ops):]
	}
}

// write commits a plan with a conditional write of the head at the state's version.
func (s *shard) write(batch []*call, p plan, hour uint32) attemptResult {
	next := proposal{segments: s.state.segments, entries: s.state.headWith(p.changes)}
	if s.state.headSize > s.l.sealAt {
		var err error
		if next, err = s.seal(p, hour); err != nil {
			return classifyError(err)
		}
	}
	value, err := next.encode()
	if err != nil {
		return attemptBroken
	}
	if !s.markInWrite(batch) {
		return attemptReplan
	}
	ctx, cancel := context.WithTimeout(context.Background(), durable.CallTimeout)
	defer cancel()
	o, err := s.l.store.Put(ctx, s.key, value, s.state.version)
	s.l.metrics.countWrite(err)
	if errors.Is(err, durable.ErrConflict) || errors.Is(err, durable.ErrUnavailable) {
		s.unmarkInWrite(batch)
	}
	var conflict *durable.ConflictError
	switch {
	case err == nil:
		s.writes++
		s.l.metrics.batch.Observe(float64(len(p.results)))
		s.adopt(o.Version, next, len(value))
		sendResults(batch, p.results)
		return attemptDone
	case errors.As(err, &conflict):
		return s.adoptWinner(conflict.Current)
	case errors.Is(err, durable.ErrUnavailable):
		return classifyError(err)
	case errors.Is(err, durable.ErrTooLarge):
		return attemptBroken
	}
	s.unsettled = true
	for _, c := range batch {
		c.inDoubt = true
	}
	return attemptUnknown
}

// adoptWinner advances the state to the head that won a conflict. If it contains operations of
// this VM, from an earlier write without a reply, the next attempt finds them by their nonces.
func (s *shard) adoptWinner(current durable.Object) attemptResult {
	if err := s.advanceTo(current); err != nil {
		return classifyError(err)
	}
	return attemptConflict
}
