package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/durable"
)

// Errors of a Ledger; compare with errors.Is.
var (
	// ErrUnavailable reports that nothing was decided, in most cases because the store can't be
	// reached; a busy owner or the end of the caller's context are other causes.
	ErrUnavailable = errors.New("ledger unavailable")
	// ErrUnknown reports that a write may have taken effect. A repeat of the operation with the
	// same key returns the decision.
	ErrUnknown = errors.New("ledger outcome unknown")
	// ErrTooLong reports a value longer than Settings.MaxValue.
	ErrTooLong = errors.New("ledger value too long")
)

// Defaults of Settings.
const (
	// DefaultWritesPerSecond is the write rate for all shards of the fleet together. The
	// platform takes several hundred writes a second; the rest is for configuration, leases and
	// bills.
	DefaultWritesPerSecond = 300
	// DefaultMaxValue is the maximum length of a value in bytes. The answer to a booking has a
	// few hundred bytes; longer values would fill the heads, which every write carries.
	DefaultMaxValue = 1 << 10
	// DefaultTimeout bounds one operation. It is longer than two calls to the platform, so that
	// an operation can recover from one lost reply.
	DefaultTimeout = 5 * time.Second
	// finalCacheSize is the capacity, in entries, of the cache of decisions that can't change
	// any more.
	finalCacheSize = 16 << 10
)

// Settings configure a Ledger; zero values take the defaults.
type Settings struct {
	// VM is this VM's ID in the platform's list.
	VM string
	// Incarnation is the number of this start of the VM; a restarted VM has another.
	Incarnation uint64
	// WritesPerSecond is the part of the platform's write rate that the ledgers of the whole
	// fleet may use; a negative value means no limit.
	WritesPerSecond float64
	// MaxValue is the maximum length, in bytes, of a decided value or a recorded answer.
	MaxValue int
	// Timeout bounds the duration of one operation.
	Timeout time.Duration
	// NoGroupCommit puts each operation into a write of its own. It is the baseline of
	// benchmarks.
	NoGroupCommit bool
}

// Forwarder assigns shards to VMs and carries calls between VMs. A wrong or outdated owner
// causes write conflicts, but never a second decision on a key.
type Forwarder interface {
	// Owner returns the VM that commits the fleet's operations on a shard, and whether this VM
	// is the owner.
	Owner(shard int) (vm string, self bool)
	// Forward calls HandlePeer on a VM. After any error the call may still have taken effect.
	Forward(ctx context.Context, vm string, body []byte) ([]byte, error)
}

// Ledger decides the values of keys. Its memory can be rebuilt from the store, except for the
// outcomes that a Claims has not recorded yet.
type Ledger struct {
	store         durable.Store
	forward       Forwarder
	settings      Settings
	metrics       *metrics
	breaker       breaker
	pace          pacer
	noGroupCommit bool
	sealAt        int // sealBytes, except in tests
	// jitter draws a duration from [0, d), so that VMs which lost the same race don't collide
	// again after equal waits.
	jitter       func(d time.Duration) time.Duration
	finalEntries *lru.Cache[Key, Entry]
	workers      sync.WaitGroup

	mu     sync.Mutex
	shards map[int]*shard
}

// New returns a ledger over store. If forward is nil, every VM commits its own operations.
// Metrics are registered with r unless it is nil.
func New(store durable.Store, forward Forwarder, r prometheus.Registerer, s Settings) *Ledger {
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = DefaultWritesPerSecond
	}
	if s.MaxValue == 0 {
		s.MaxValue = DefaultMaxValue
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	finals, err := lru.New[Key, Entry](finalCacheSize)
	if err != nil {
		panic(err) // lru.New only rejects a size below one
	}
	return &Ledger{
		store:         store,
		forward:       forward,
		settings:      s,
		metrics:       newMetrics(r),
		pace:          pacer{perShard: s.WritesPerSecond / ShardCount},
		noGroupCommit: s.NoGroupCommit,
		sealAt:        sealBytes,
		jitter:        rand.N[time.Duration],
		finalEntries:  finals,
		shards:        make(map[int]*shard),
	}
}

// Wait blocks until the background work of all operations has ended.
func (l *Ledger) Wait() { l.workers.Wait() }

// RetryAfter returns for how long the ledger refuses operations from now on; zero if it accepts
// them.
func (l *Ledger) RetryAfter() time.Duration { return l.breaker.wait() }

// Decide fixes the value of a key. The first writer wins, and every later caller on any VM gets
// the winner's value. mine reports whether the value is this call's. The entry is kept for the
// given number of hours; a use in the second half of that time renews it. After ErrUnknown the
// value may have been decided; another call of Decide returns the decision.
func (l *Ledger) Decide(ctx context.Context, key Key, value []byte, hours uint32) (winner []byte, mine bool, err error) {
	if len(value) > l.settings.MaxValue {
		return nil, false, ErrTooLong
	}
	r, err := l.execute(ctx, op{Kind: opDecide, Key: key, Nonce: rand.Uint64(), Hours: hours, Value: value})
	if err != nil {
		return nil, false, err
	}
	return r.Entry.Value, r.Verdict == verdictMine, nil
}

// execute carries out one operation: on the shard's owner or, if the owner fails, on this VM.
func (l *Ledger) execute(ctx context.Context, o op) (result, error) {
	if r, ok := l.cachedResult(o); ok {
		l.metrics.countDecide(r, nil)
		return r, nil
	}
	r, err := l.commit(ctx, o)
	l.metrics.countDecide(r, err)
	if err == nil && r.Entry.final() {
		l.finalEntries.Add(o.Key, r.Entry)
	}
	return r, err
}

// cachedResult returns the result of an operation on a key whose entry is final and cached. A
// frequently used key then costs neither a place in the shard's queue nor a call to another VM.
func (l *Ledger) cachedResult(o op) (result, bool) {
	e, ok := l.finalEntries.Get(o.Key)
	hour := hourOf(time.Now())
	if !ok || expired(e.Expire, hour) {
		return result{}, false
	}
	_, changed, r := apply(&e, o, hour)
	return r, !changed
}

func (l *Ledger) commit(ctx context.Context, o op) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.Timeout)
	defer cancel()
	number := o.Key.Shard()
	r, tried, err := l.forwardToOwner(ctx, number, o)
	if tried && err == nil {
		return r, nil
	}
	if errors.Is(err, errOwnerBusy) {
		// The shard has too many operations already. A commit on this VM would add writes and
		// conflicts; if every VM did that, no operation would succeed.
		return result{}, undecidedError(tried)
	}
	results, err := l.commitLocally(ctx, number, o)
	if err != nil && tried {
		// The owner may still commit the operation.
		return result{}, ErrUnknown
	}
	if err != nil {
		return result{}, err
	}
	return results[0], nil
}

// undecidedError returns the error for an operation without a known decision: ErrUnknown if
// tried, which means that the operation may still take effect, else ErrUnavailable.
func undecidedError(tried bool) error {
	if tried {
		return ErrUnknown
	}
	return ErrUnavailable
}

// commitLocally commits an operation on this VM.
func (l *Ledger) commitLocally(ctx context.Context, number int, o op) ([]result, error) {
	if l.breaker.wait() > 0 {
		return nil, ErrUnavailable
	}
	return l.shard(number).submit(ctx, []op{o})
}

// Trim frees the memory of shards that have not been used since before; they are loaded again
// when needed. A shard with an unsettled write is kept, because its next write must exclude
// that the unsettled one takes effect later.
func (l *Ledger) Trim(before time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for number, s := range l.shards {
		s.mu.Lock()
		if !s.running && !s.unsettled && s.used.Before(before) {
			delete(l.shards, number)
		}
		s.mu.Unlock()
	}
}

// shard returns the shard with a number and creates it at its first use.
func (l *Ledger) shard(number int) *shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[number]
	if s == nil {
		s = &shard{l: l, number: number, key: durable.Key{Kind: objectKind, Name: headName(number)}}
		l.shards[number] = s
	}
	return s
}
