package ratelimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"goldcrestfork/fleet/rendezvous"
)

const (
	// burstTime is the time whose requests an endpoint may get at once. VMs ask when callers
	// arrive and not at equal distances.
	burstTime = 500 * time.Millisecond
	// minRate is the rate at which an endpoint that takes no requests is asked whether it still
	// states so, in requests a second.
	minRate = 0.2
	// deputyShare is the part of the rate that a bucket of the second keeper has. VMs that don't
	// know the same members may use the first keeper and two deputies at the same time.
	deputyShare = 0.125
	// idleTime is the time without a request after which a bucket is removed. It is full again
	// by then, as a new one is.
	idleTime = time.Minute
)

// Role is the position of a VM among the keepers of an endpoint's limit.
type Role uint8

// Values of Role.
const (
	// First is the keeper that all VMs ask.
	First Role = iota
	// Deputy is the keeper that VMs ask if the first one is silent.
	Deputy
)

// Buckets grants requests at the endpoints whose limits one VM keeps, with a token bucket each.
// It is safe for concurrent use; its mutex is a leaf of the lock order.
type Buckets struct {
	mu       sync.Mutex
	byBucket map[bucketKey]*bucket
}

type bucketKey struct {
	endpoint rendezvous.Hash
	role     Role
}

type bucket struct {
	limiter *rate.Limiter
	usedAt  time.Time
}

// NewBuckets returns buckets for no endpoint.
func NewBuckets() *Buckets { return &Buckets{byBucket: make(map[bucketKey]*bucket)} }

// Take takes one request of an endpoint's limit, in requests a second. It returns 0 if the
// request may be sent, and otherwise the time after which one may be.
func (b *Buckets) Take(now time.Time, endpoint rendezvous.Hash, perSecond float64, role Role) time.Duration {
	perSecond = max(perSecond, minRate)
	if role == Deputy {
		perSecond *= deputyShare
	}
	limit, burst := rate.Limit(perSecond), 1+int(perSecond*burstTime.Seconds())
	b.mu.Lock()
	defer b.mu.Unlock()
	k := bucketKey{endpoint, role}
	u := b.byBucket[k]
	if u == nil {
		u = &bucket{limiter: rate.NewLimiter(limit, burst)}
		b.byBucket[k] = u
	}
	u.usedAt = now
	if u.limiter.Limit() != limit {
		u.limiter.SetLimitAt(now, limit)
		u.limiter.SetBurstAt(now, burst)
	}
	r := u.limiter.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}

// Sweep removes idle buckets.
func (b *Buckets) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, u := range b.byBucket {
		if now.Sub(u.usedAt) > idleTime {
			delete(b.byBucket, k)
		}
	}
}
