package watching

import (
	"sync"
	"time"
)

const (
	// FirstPause is the time before a call that failed is made again.
	FirstPause = 100 * time.Millisecond
	// turnPause is the time between two tries of a VM, of whichever kind, to get word from
	// others: each is some round trips within the data centres.
	turnPause = 200 * time.Millisecond
	// claimFor is how long one kind may ask for all: a short call, which is given up after a
	// second.
	claimFor = 1200 * time.Millisecond
	// firstAsk is the time between two calls of the VM that ranks first to a platform that
	// doesn't answer. With the tries at others, 60 VMs know of its return within a second.
	firstAsk = 500 * time.Millisecond
	// rankShare makes VMs ask the platform less often by rank: the fourth half as often
	// as the first. 91 VMs ask 37 times a second then, in place of 710.
	rankShare = 4
	// lastAsk bounds that pause: a VM that alone is served, or finds no other VM, is back
	// within it. The first 36 VMs ask more often, 18 times a second together; each hundred
	// more adds 20.
	lastAsk = 5 * time.Second
)

// Outage paces one VM's calls while it has no word of the platform, over all kinds: one of
// them tries, the others wait for what comes of it. It is safe for concurrent use.
type Outage struct {
	mu      sync.Mutex
	lost    bool
	next    time.Duration // a try before it waits
	nextAsk time.Duration // the platform isn't asked before it
	granted bool          // the last turn may ask, and hasn't yet
	claimed time.Duration // a kind is asking for all until then
}

// Lost notes that the VM has no word of the platform.
func (o *Outage) Lost(now time.Duration, rank int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost {
		return
	}
	o.lost = true
	o.next = now + turnPause
	o.nextAsk = now + askPause(rank)
}

// Claim asks for the platform before a call of a VM that found no word at others: one kind
// calls for all until it is known whether the platform answers. No pause follows from it: a VM
// that is only short of processor time must not be without word for a pause by rank.
func (o *Outage) Claim(now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost {
		granted := o.granted
		o.granted = false
		return granted
	}
	if now < o.claimed {
		return false
	}
	o.claimed = now + claimFor
	return true
}

// Regained notes word of the platform, from itself or another VM.
func (o *Outage) Regained() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lost, o.granted, o.claimed = false, false, 0
}

// Turn is what one kind may do now.
type Turn struct {
	// Wait is how long until the next try is due; 0 when the caller has it.
	Wait time.Duration
	// Ask says that the platform may be asked, not only other VMs.
	Ask bool
}

// Turn asks for a try and takes it if it is due; rank is asked for only in an outage.
func (o *Outage) Turn(now time.Duration, rank func() int) Turn {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.lost {
		return Turn{Ask: true}
	}
	if now < o.next {
		return Turn{Wait: o.next - now}
	}
	o.next = now + turnPause
	t := Turn{Ask: now >= o.nextAsk}
	if t.Ask {
		o.granted = true
		o.nextAsk = now + askPause(rank())
	}
	return t
}

// askPause is the time between two calls of a VM to a platform that doesn't answer.
func askPause(rank int) time.Duration {
	return min(firstAsk+firstAsk*time.Duration(rank)/rankShare, lastAsk)
}
