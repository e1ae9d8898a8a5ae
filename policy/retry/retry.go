// Package retry decides whether a failed attempt is made again, and whether a
// slow one is hedged.
//
// Load pattern: an endpoint or a whole pool fails while traffic goes on.
//
// Without it: each request of a failing pool is sent two or three times more, so
// that the load on what is left doubles or triples at the moment of its least
// capacity, and the pool doesn't come back (a retry storm).
//
// Extra work is paid from a budget: first attempts pay Ratio of their size in, a
// retry or hedge takes its whole size out. There is one balance an account and
// one for the pool, and both must be in credit, so that one account's failures
// do not use up the retries of the others.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// Ratio is the extra work allowed: at most 10% of first attempts in any failure.
	Ratio = 0.1
	// maxBalance bounds what a quiet time saves up, in mean requests: enough for
	// the requests in flight on one endpoint to go elsewhere when it dies (16 slots
	// of the runners of model-ierburi).
	maxBalance = 16.0
	// startBalance lets a new account retry before its first ten requests, in mean requests.
	startBalance = 2.0
	// hedgeReserve is the share of maxBalance that hedges leave in the pool's balance
	// for retries: a hedge only makes an answer faster, a retry saves it.
	hedgeReserve = 0.5
	// baseBackoff is the first retry's mean delay. Another endpoint is asked, so it
	// need only be long enough to part retries of requests that failed together.
	baseBackoff = 20 * time.Millisecond
	// maxBackoff bounds the delay's growth.
	maxBackoff = time.Second
	// MaxAttempts is the number of dispatches of one request, the first included.
	// Two failures on distinct endpoints say more about the pool than about an endpoint.
	MaxAttempts = 3
	// MaxHops is how often a request may be forwarded from VM to VM: once to the VM
	// with the free slot, and once more when that slot was just taken.
	MaxHops = 2
	// hedgeFactor is how many times its expected length an attempt takes before a
	// second one starts beside it. An answer takes 1.5 times as long at full slots; one
	// in a hundred of those at healthy endpoints reaches 2.
	hedgeFactor = 2.0
	// hedgeLeast keeps requests that take milliseconds from being hedged at all.
	hedgeLeast = 100 * time.Millisecond
	// meanGain is the weight of a request in the running mean size.
	meanGain = 0.02
)

// Reason tells why an attempt isn't repeated.
type Reason string

// The reasons not to repeat an attempt.
const (
	ReasonNone          Reason = ""
	ReasonNotIdempotent Reason = "not-idempotent"
	ReasonAttempts      Reason = "attempts"
	ReasonHops          Reason = "hops"
	ReasonDeadline      Reason = "deadline"
	ReasonAccountBudget Reason = "account-budget"
	ReasonPoolBudget    Reason = "pool-budget"
)

// Attempt describes the attempt that failed or is slow.
type Attempt struct {
	Account    string
	Idempotent bool
	// Made is how many dispatches were made so far, this one included.
	Made int
	// Hops is how often the request was forwarded between VMs.
	Hops int
	// Size is the expected work in the caller's units.
	Size float64
	// Deadline is the request's; Expected is how long a new attempt takes.
	Deadline time.Time
	Expected time.Duration
	// Hedge asks for a second attempt beside a slow first one.
	Hedge bool
}

// Decision says whether to dispatch again; the caller excludes the endpoints already tried.
type Decision struct {
	Again bool
	// After is the delay before the dispatch.
	After time.Duration
	// Reason is set when Again is false.
	Reason Reason
}

// Budget holds the balances of one pool. It is safe for concurrent use; its mutex is a leaf.
type Budget struct {
	mu       sync.Mutex
	ratio    float64
	mean     float64 // running mean size
	pool     float64 // balance in units of work
	accounts map[string]float64
}

// New returns a budget that pays ratio of first attempts into retries.
func New(ratio float64) *Budget {
	return &Budget{ratio: ratio, accounts: make(map[string]float64)}
}

// First pays in for a first attempt, when it is dispatched: one that was refused
// before did no work that a tenth could be taken of.
func (b *Budget) First(account string, size float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mean == 0 {
		b.mean = size
		b.pool = startBalance * size
	}
	b.mean += meanGain * (size - b.mean)
	balance, known := b.accounts[account]
	if !known {
		balance = startBalance * size
	}
	top := maxBalance * b.mean
	b.accounts[account] = min(balance+b.ratio*size, top)
	b.pool = min(b.pool+b.ratio*size, top)
}

// Decide takes the work of another attempt out of the budget, or says why not.
func (b *Budget) Decide(now time.Time, rng *rand.Rand, a Attempt) Decision {
	if reason := allowed(a); reason != ReasonNone {
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

// HedgeAfter is when to ask Decide for a hedge of an attempt, from its start: when
// it takes twice as long as expected, or earlier when a second attempt would then
// have too little time, but never before the first had the time it should take.
func HedgeAfter(expected, left time.Duration) time.Duration {
	after := time.Duration(hedgeFactor * float64(expected))
	after = min(after, max(left-expected, expected))
	return max(after, hedgeLeast)
}

// Forget drops an account that configuration no longer has.
func (b *Budget) Forget(account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.accounts, account)
}

func allowed(a Attempt) Reason {
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

// backoff is exponential with full jitter; a hedge starts at once.
func backoff(rng *rand.Rand, a Attempt) time.Duration {
	if a.Hedge {
		return 0
	}
	mean := min(baseBackoff<<min(max(a.Made-1, 0), 16), maxBackoff)
	return time.Duration(rng.Int64N(int64(2 * mean)))
}

// withdraw overdraws by one attempt at most: a balance that must cover a large
// request first would keep it from ever being repeated, and the debt is paid before
// the next one.
func (b *Budget) withdraw(a Attempt) Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	keep := 0.0
	if a.Hedge {
		keep = hedgeReserve * maxBalance * b.mean
	}
	if b.accounts[a.Account] <= 0 {
		return ReasonAccountBudget
	}
	if b.pool <= keep {
		return ReasonPoolBudget
	}
	b.accounts[a.Account] -= a.Size
	b.pool -= a.Size
	return ReasonNone
}
