// Package retry decides whether a failed attempt is repeated and whether a slow one is
// hedged.
//
// The package covers an endpoint or a whole pool that fails while requests keep arriving.
// Without a bound, each request to a failing pool is sent two or three more times. The
// load on the remaining endpoints doubles or triples when their capacity is lowest, and
// the pool does not recover (a retry storm).
//
// Extra work is paid from a budget. A first attempt adds Ratio of its size, and a retry
// or hedge takes its whole size. Each account and the pool have a balance, so that the
// failures of one account do not use up the retries of the others. The pool's balance
// must cover an attempt and starts empty, since what a start gave would add up over
// restarts.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// Ratio is the allowed extra work: at most 10% of the first attempts under any
	// failure.
	Ratio = 0.1
	// maxBalance bounds the balance saved up while few requests fail, in mean requests.
	// It is enough to move the requests in flight on one endpoint, with 16 slots, to
	// others when it crashes.
	maxBalance = 16.0
	// initialBalance lets a new account retry before its first ten requests if the pool's balance
	// covers it, in mean requests.
	initialBalance = 2.0
	// hedgeReserve is the share of maxBalance that hedges leave in the pool's balance for
	// retries: a hedge only makes an answer faster, whereas a retry saves it.
	hedgeReserve = 0.5
	// baseBackoff is the mean delay of the first retry. The retry goes to another
	// endpoint, so the delay only needs to separate the retries of requests that failed
	// together.
	baseBackoff = 20 * time.Millisecond
	// maxBackoff is the maximum mean delay of a retry.
	maxBackoff = time.Second
	// MaxAttempts is the maximum number of dispatches of one request, including the
	// first. After two failures on different endpoints, the pool is a more likely cause
	// than an endpoint.
	MaxAttempts = 3
	// MaxHops is the maximum number of forwards of a request between VMs: one to the VM
	// with a free slot, and one more if that slot is taken in the meantime.
	MaxHops = 2
	// hedgeFactor is the multiple of its expected time after which an attempt is hedged.
	// An answer takes 1.5 times as long at full slots, and one in a hundred of those at
	// healthy endpoints reaches 2.
	hedgeFactor = 2.0
	// minHedgeDelay prevents hedges of requests that take milliseconds.
	minHedgeDelay = 100 * time.Millisecond
	// meanGain is the weight of a request in the running mean size.
	meanGain = 0.02
)

// Reason is the reason why an attempt is not repeated.
type Reason string

// The reasons not to repeat an attempt.
const (
	// ReasonNone means that the attempt may be repeated.
	ReasonNone Reason = ""
	// ReasonNotIdempotent means that repeating the request could have a second effect.
	ReasonNotIdempotent Reason = "not-idempotent"
	// ReasonAttempts means that MaxAttempts attempts were made.
	ReasonAttempts Reason = "attempts"
	// ReasonHops means that the request was forwarded more than MaxHops times.
	ReasonHops Reason = "hops"
	// ReasonDeadline means that a new attempt could not complete by the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonAccountBudget means that the account's balance is used up.
	ReasonAccountBudget Reason = "account-budget"
	// ReasonPoolBudget means that the pool's balance is used up, or too low for a hedge.
	ReasonPoolBudget Reason = "pool-budget"
)

// Attempt describes the attempt that failed or is slow.
type Attempt struct {
	// Account is the client account of the request.
	Account string
	// Idempotent means that the request may be executed more than once.
	Idempotent bool
	// Made is the number of dispatches so far, including this one.
	Made int
	// Hops is the number of times the request was forwarded between VMs.
	Hops int
	// Size is the expected work, in the unit that the caller uses for all attempts.
	Size float64
	// Deadline is the deadline of the request. Expected is the expected time of a new
	// attempt.
	Deadline time.Time
	Expected time.Duration
	// Hedge requests a second attempt in parallel to a slow first one.
	Hedge bool
}

// Decision is the answer to whether an attempt is repeated. The caller excludes the
// endpoints already tried.
type Decision struct {
	Again bool
	// After is the delay before the dispatch.
	After time.Duration
	// Reason is set when Again is false.
	Reason Reason
}

// Budget holds the balances of one pool. It is safe for concurrent use. Its mutex is a
// leaf of the lock order.
type Budget struct {
	mu       sync.Mutex
	ratio    float64
	mean     float64 // running mean size
	pool     float64 // balance in units of work
	accounts map[string]float64
}

// New returns a budget to which each first attempt adds `ratio` of its size.
func New(ratio float64) *Budget {
	return &Budget{ratio: ratio, accounts: make(map[string]float64)}
}

// RecordFirst adds to the balances for a first attempt when it is dispatched. Requests refused
// before a dispatch are not counted, since they cause no work of which a share could be
// added.
func (b *Budget) RecordFirst(account string, size float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mean == 0 {
		b.mean = size
	}
	b.mean += meanGain * (size - b.mean)
	balance, known := b.accounts[account]
	if !known {
		balance = initialBalance * size
	}
	top := maxBalance * b.mean
	b.accounts[account] = min(balance+b.ratio*size, top)
	b.pool = min(b.pool+b.ratio*size, top)
}

// Decide takes the work of another attempt out of the budget, or returns the reason why
// the attempt is not repeated.
func (b *Budget) Decide(now time.Time, rng *rand.Rand, a Attempt) Decision {
	if reason := disallowedReason(a); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	after := backoff(rng, a)
	if now.Add(after + a.Expected).After(a.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if reason := b.withdraw(a); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	return Decision{Again: true, After: after}
}

// HedgeDelay returns the time from the start of an attempt after which Decide is to be
// asked for a hedge: twice the expected time, or earlier if a second attempt would then
// have too little time left, but not before the expected time has passed.
func HedgeDelay(expected, left time.Duration) time.Duration {
	after := time.Duration(hedgeFactor * float64(expected))
	after = min(after, max(left-expected, expected))
	return max(after, minHedgeDelay)
}

// Forget removes an account that is no longer configured.
func (b *Budget) Forget(account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.accounts, account)
}

// disallowedReason returns the reason that rules out another attempt regardless of the
// budget, or ReasonNone.
func disallowedReason(a Attempt) Reason {
	switch {
	case !a.Idempotent:
		return ReasonNotIdempotent
	case a.Made >= MaxAttempts:
		return ReasonAttempts
	case a.Hops > MaxHops:
		return ReasonHops
	}
	return ReasonNone
}

// backoff returns an exponential delay with full jitter, or 0 for a hedge.
func backoff(rng *rand.Rand, a Attempt) time.Duration {
	if a.Hedge {
		return 0
	}
	mean := min(baseBackoff<<min(max(a.Made-1, 0), 16), maxBackoff)
	return time.Duration(rng.Int64N(int64(2 * mean)))
}

// withdraw takes the size of an attempt out of both balances. The account's must be positive and
// may be overdrawn by one attempt. The pool's must cover the attempt, or be full for one that
// is larger: the debt of a VM that ends would never be paid. A hedge must also leave hedgeReserve
// in the pool's balance.
func (b *Budget) withdraw(a Attempt) Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	reserved := 0.0
	if a.Hedge {
		reserved = hedgeReserve * maxBalance * b.mean
	}
	if b.accounts[a.Account] <= 0 {
		return ReasonAccountBudget
	}
	if b.pool-reserved < min(a.Size, maxBalance*b.mean-reserved) {
		return ReasonPoolBudget
	}
	b.accounts[a.Account] -= a.Size
	b.pool -= a.Size
	return ReasonNone
}
