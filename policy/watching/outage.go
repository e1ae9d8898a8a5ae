package watching

import (
	"sync"
	"time"
)

const (
	// RetryDelay is the time after which a failed call is repeated.
	RetryDelay = 100 * time.Millisecond
	// turnInterval is the time between two tries of a VM, over all kinds, to get the state from
	// other VMs. Each try takes some round trips within the data centres.
	turnInterval = 200 * time.Millisecond
	// claimDuration is how long one kind may call the platform for all kinds. A call is short
	// and times out after a second.
	claimDuration = 1200 * time.Millisecond
	// minCallInterval is the time between two calls of the VM that ranks first to a platform
	// that does not answer. With the tries at other VMs, 60 VMs notice its return within a
	// second.
	minCallInterval = 500 * time.Millisecond
	// rankDivisor reduces the call rate with the rank: rank 4 calls half as often as rank 0. 91
	// VMs then make 37 calls per second in place of 710.
	rankDivisor = 4
	// maxCallInterval bounds the interval: a VM that alone reaches the platform, or finds no
	// other VM, recovers within it. The first 36 VMs call more often, 18 times per second
	// together; each hundred more add 20 calls per second.
	maxCallInterval = 5 * time.Second
)

// Outage limits one VM's calls, over all kinds, while it has no current state of the platform:
// one kind tries, and the others wait for the result. It is safe for concurrent use.
type Outage struct {
	mu           sync.Mutex
	lost         bool
	nextTurn     time.Duration // time of the next try
	nextCall     time.Duration // time of the next call to the platform
	granted      bool          // the last turn allows a call that was not made yet
	claimedUntil time.Duration // a kind calls for all until this time
}

// Lost records that the VM has no current state of the platform; rank sets the time of its
// first call.
func (o *Outage) Lost(now time.Duration, rank int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost {
		return
	}
	o.lost = true
	o.nextTurn = now + turnInterval
	o.nextCall = now + callInterval(rank)
}

// Claim reports whether a VM that found no state at other VMs may call the platform. One kind
// calls for all until it is known whether the platform answers. A claim does not start the
// interval by rank: a VM that is only short of CPU time must not go without state for that
// long.
func (o *Outage) Claim(now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost {
		granted := o.granted
		o.granted = false
		return granted
	}
	if now < o.claimedUntil {
		return false
	}
	o.claimedUntil = now + claimDuration
	return true
}

// Regained records that the VM has state again, from the platform or another VM.
func (o *Outage) Regained() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lost, o.granted, o.claimedUntil = false, false, 0
}

// Turn says what one kind may do now.
type Turn struct {
	// Wait is the time until the next try is due; 0 if the caller may try now.
	Wait time.Duration
	// MayCall says that the caller may call the platform, not only other VMs.
	MayCall bool
}

// NextTurn returns the turn of a caller and takes it if it is due. It calls rank only in an
// outage.
func (o *Outage) NextTurn(now time.Duration, rank func() int) Turn {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.lost {
		return Turn{MayCall: true}
	}
	if now < o.nextTurn {
		return Turn{Wait: o.nextTurn - now}
	}
	o.nextTurn = now + turnInterval
	t := Turn{MayCall: now >= o.nextCall}
	if t.MayCall {
		o.granted = true
		o.nextCall = now + callInterval(rank())
	}
	return t
}

// callInterval returns the time between two calls of a VM to a platform that does not answer.
func callInterval(rank int) time.Duration {
	return min(minCallInterval+minCallInterval*time.Duration(rank)/rankDivisor, maxCallInterval)
}
