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

// Errors of a ledger; test with errors.Is.
var (
	// ErrUnavailable: the store can't be reached; nothing was decided.
	ErrUnavailable = errors.New("ledger unavailable")
	// ErrUnknown: a write may have taken effect; asking again with the same key tells.
	ErrUnknown = errors.New("ledger outcome unknown")
	// ErrTooLong: a value over Settings.MaxValue.
	ErrTooLong = errors.New("ledger value too long")
)

// Defaults of Settings.
const (
	// DefaultWritesPerSecond for all shards of the fleet. Grounds: the platform
	// takes several hundred writes a second (brief); the rest is for
	// configuration, leases and bills.
	DefaultWritesPerSecond = 300
	// DefaultMaxValue in bytes. Grounds: a booking's answer is a few hundred
	// bytes; longer ones would fill heads that every write carries.
	DefaultMaxValue = 1 << 10
	// DefaultTimeout of one operation: more than two calls to the platform, so
	// that one lost reply can be settled within it.
	DefaultTimeout = 5 * time.Second
	// finalsKept bounds the cache of decisions that can't change any more.
	finalsKept = 16 << 10
)

// Settings of a Ledger; zero values take the defaults.
type Settings struct {
	// VM is this VM's ID in the platform's list.
	VM string
	// Incarnation is this start's number; a restarted VM has another.
	Incarnation uint64
	// WritesPerSecond is the fleet's share of the platform's write rate; negative: unbounded.
	WritesPerSecond float64
	// MaxValue bounds a decided value or a recorded answer, in bytes.
	MaxValue int
	// Timeout bounds one operation.
	Timeout time.Duration
	// NoGroupCommit puts one operation into each write: the baseline of measurements.
	NoGroupCommit bool
}

// Forwarder is the ledger's view of the fleet: which VM gathers for a shard.
// A wrong or old answer costs conflicts, never a second decision.
type Forwarder interface {
	// Owner names the VM that gathers for a shard, and whether that is this one.
	Owner(shard int) (vm string, self bool)
	// Forward calls HandlePeer on a VM. Any error may mean that the call took effect.
	Forward(ctx context.Context, vm string, body []byte) ([]byte, error)
}

// Ledger decides keys. It keeps nothing that can't be read back from the store
// but what it owes to it: see Claims.
type Ledger struct {
	store    durable.Store
	forward  Forwarder
	settings Settings
	metrics  *metrics
	gate     gate
	pace     pacer
	alone    bool
	sealAt   int // sealBytes, but for tests
	// jitter draws from [0, d): losers of a race that wait alike would meet again.
	jitter  func(d time.Duration) time.Duration
	finals  *lru.Cache[Key, Entry]
	workers sync.WaitGroup

	mu     sync.Mutex
	shards map[int]*shard
}

// New returns a ledger over store. forward may be nil: then every VM commits
// for itself. Metrics are registered with r unless it is nil.
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
	finals, err := lru.New[Key, Entry](finalsKept)
	if err != nil {
		panic(err) // only a size below one fails
	}
	return &Ledger{
		store:    store,
		forward:  forward,
		settings: s,
		metrics:  newMetrics(r),
		pace:     pacer{perShard: s.WritesPerSecond / ShardCount},
		alone:    s.NoGroupCommit,
		sealAt:   sealBytes,
		jitter:   rand.N[time.Duration],
		finals:   finals,
		shards:   make(map[int]*shard),
	}
}

// Wait returns when no operation is under way any more.
func (l *Ledger) Wait() { l.workers.Wait() }

// RetryAfter is how long the ledger refuses from now on; zero when it does not.
func (l *Ledger) RetryAfter() time.Duration { return l.gate.wait() }

// Decide fixes a key's value: the first writer wins, and every later caller on
// any VM gets the winner's value. mine says whether it is this call's. The
// entry lives for hours after its last use. After ErrUnknown the value may have
// been decided; deciding again tells.
func (l *Ledger) Decide(ctx context.Context, key Key, value []byte, hours uint32) (winner []byte, mine bool, err error) {
	if len(value) > l.settings.MaxValue {
		return nil, false, ErrTooLong
	}
	r, err := l.do(ctx, op{Kind: opDecide, Key: key, Nonce: rand.Uint64(), Hours: hours, Value: value})
	if err != nil {
		return nil, false, err
	}
	return r.Entry.Value, r.Verdict == verdictMine, nil
}

// do brings one operation to its end, by the shard's owner or, failing that, here.
func (l *Ledger) do(ctx context.Context, o op) (result, error) {
	if r, ok := l.remembered(o); ok {
		l.metrics.decided(r, nil)
		return r, nil
	}
	r, err := l.commit(ctx, o)
	l.metrics.decided(r, err)
	if err == nil && r.Entry.final() {
		l.finals.Add(o.Key, r.Entry)
	}
	return r, err
}

// remembered answers from decisions that can't change, so that a hot key costs
// neither the shard's queue nor a message.
func (l *Ledger) remembered(o op) (result, bool) {
	e, ok := l.finals.Get(o.Key)
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
	r, tried, err := l.atOwner(ctx, number, o)
	if tried && err == nil {
		return r, nil
	}
	if errors.Is(err, errOwnerBusy) {
		// Committing here as well would add writes and conflicts to a shard that
		// has too many already: every VM would, and none would get through.
		return result{}, refusal(tried)
	}
	results, err := l.here(ctx, number, o)
	if err != nil && tried {
		// The owner may still carry it out.
		return result{}, ErrUnknown
	}
	if err != nil {
		return result{}, err
	}
	return results[0], nil
}

// refusal is what a caller is told when nothing is known to be decided; tried
// says that something may yet be.
func refusal(tried bool) error {
	if tried {
		return ErrUnknown
	}
	return ErrUnavailable
}

// here commits on this VM.
func (l *Ledger) here(ctx context.Context, number int, o op) ([]result, error) {
	if l.gate.wait() > 0 {
		return nil, ErrUnavailable
	}
	return l.shard(number).submit(ctx, []op{o})
}

// Trim frees the tables of shards that were not used since before; any VM reads
// them again when it needs them. A shard with a write in doubt stays: its next
// write must still fence that one out.
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

// shard gives a shard's table, made at its first use.
func (l *Ledger) shard(number int) *shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[number]
	if s == nil {
		s = &shard{l: l, number: number, key: durable.Key{Kind: kind, Name: headName(number)}}
		l.shards[number] = s
	}
	return s
}
