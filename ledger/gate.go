package ledger

import (
	"sync"
	"time"
)

// Limits of the wait after a batch that the platform did not take. 400 VMs that probe every two
// seconds cost a platform that recovers 200 calls a second, a tenth of its reads.
const (
	minPause = 250 * time.Millisecond
	maxPause = 2 * time.Second
)

// breaker is a circuit breaker: it refuses callers at once while the platform is known to be
// down. Without it, each request of an outage would wait for its own attempts, and all of them
// together would load the platform when it returns.
type breaker struct {
	mu      sync.Mutex
	retryAt time.Time // end of the refusal, on the monotonic clock
	pause   time.Duration
}

// wait returns the time for which callers are refused from now on; zero lets them pass.
func (b *breaker) wait() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pause == 0 {
		return 0
	}
	return max(0, time.Until(b.retryAt))
}

// attempts returns the number of attempts for a batch: one after a failure, else usual.
func (b *breaker) attempts(usual int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pause > 0 {
		return 1
	}
	return usual
}

// recordFailure starts the next refusal; each is twice as long as the last, up to maxPause.
func (b *breaker) recordFailure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pause = min(max(2*b.pause, minPause), maxPause)
	b.retryAt = time.Now().Add(b.pause)
}

// recordSuccess ends the outage.
func (b *breaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pause = 0
}
