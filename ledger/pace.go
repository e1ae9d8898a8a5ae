package ledger

import (
	"sync"
	"time"
)

const (
	// paceBurst writes for each shard in use go out at once after a quiet spell:
	// claims and outcomes of two requests (with two, one request in a hundred waited
	// 0.3 s at a third of the load: docs/design/ledger.md).
	paceBurst = 4
	// activeFor is how long a shard counts as in use.
	activeFor = 10 * time.Second
)

// pacer gives a VM its share of the fleet's writes: that of the shards which it
// gathers for. All of them draw on one budget, so that on a VM with several
// shards a write waits only when the VM as a whole is over its share.
//
// Load pattern: requests at a few hundred a second, unevenly over shards.
// Without it the writes grow with the requests until the platform refuses.
// It is a leaky bucket whose rate follows the number of shards; a token bucket
// of x/time/rate keeps what it held when its rate rises, and made the first
// writes of a VM that starts under load wait for seconds.
type pacer struct {
	perShard float64 // writes a second

	mu   sync.Mutex
	next time.Time // when the bucket will have leaked empty
}

// turn takes a write's turn and gives how long it is away; shards are those in use.
func (p *pacer) turn(now time.Time, shards int) time.Duration {
	interval := time.Duration(float64(time.Second) / (p.perShard * float64(max(1, shards))))
	burst := time.Duration(paceBurst * float64(time.Second) / p.perShard)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(interval)
	return max(0, p.next.Sub(now)-burst)
}

// active counts the shards used since a time.
func (l *Ledger) active(since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.shards {
		s.mu.Lock()
		if s.used.After(since) {
			n++
		}
		s.mu.Unlock()
	}
	return n
}
