package ledger

import (
	"sync"
	"time"
)

const (
	// paceBurst is the number of writes for each shard in use that go out at once after a time
	// without writes: the claims and outcomes of two requests. With a burst of two, one request
	// in a hundred waited 0.3 s at a third of the load (docs/design/ledger.md).
	paceBurst = 4
	// activeWindow is the time for which a shard counts as in use after its worker last ran.
	activeWindow = 10 * time.Second
)

// pacer limits a VM to its part of the fleet's write rate: that of the shards which it owns.
// All its shards use one budget, so that on a VM with several shards a write waits only if the
// VM as a whole exceeds its part.
//
// Load pattern: hundreds of requests a second, unevenly distributed over the shards. Without
// the pacer the number of writes would grow with the requests until the platform refuses them.
//
// pacer is a leaky bucket whose rate follows the number of shards. A token bucket of
// x/time/rate keeps its tokens when its rate rises, so that the first writes of a VM that
// starts under load would wait for seconds.
type pacer struct {
	perShard float64 // writes per second

	mu      sync.Mutex
	emptyAt time.Time // time at which the bucket is empty
}

// reserve reserves the next write and returns the wait until it is allowed. shards is the
// number of shards in use.
func (p *pacer) reserve(now time.Time, shards int) time.Duration {
	interval := time.Duration(float64(time.Second) / (p.perShard * float64(max(1, shards))))
	burst := time.Duration(paceBurst * float64(time.Second) / p.perShard)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.emptyAt.Before(now) {
		p.emptyAt = now
	}
	p.emptyAt = p.emptyAt.Add(interval)
	return max(0, p.emptyAt.Sub(now)-burst)
}

// activeShards returns the number of shards that were used after since.
func (l *Ledger) activeShards(since time.Time) int {
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
