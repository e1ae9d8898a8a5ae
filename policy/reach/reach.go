package reach

import (
	"sync"
	"time"
)

const (
	// minFailed is the number of endpoints that must fail before the VM probes others, or all of
	// them if there are fewer. Two crash within a moment now and then.
	minFailed = 3
	// probeInterval is the time between two probes by a VM that has lost its paths.
	probeInterval = 300 * time.Millisecond
	// minSettleTime is how long a probed connection must stay open. A network that refuses connections
	// may let them open and reset them a round trip later.
	minSettleTime = 50 * time.Millisecond
	maxSettleTime = time.Second
)

// Tracker holds what one VM knows of its paths to the endpoints. It is safe for concurrent use.
type Tracker struct {
	mu         sync.Mutex
	receivedAt time.Time            // when bytes came from any endpoint, or a probe succeeded
	failed     map[string]time.Time // endpoints' addresses that failed since, and when
	lost       bool
	probing    bool
	// unconfirmed counts the probes that succeeded since bytes came from any endpoint.
	unconfirmed int
	nextProbe   time.Time // of a VM that has lost its paths
}

// New returns the tracker of a VM that has its paths.
func New() *Tracker { return &Tracker{failed: make(map[string]time.Time)} }

// Received records that bytes came from an endpoint. It reports whether the VM had lost its paths.
func (t *Tracker) Received(now time.Time) (regained bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unconfirmed = 0
	return t.received(now)
}

func (t *Tracker) received(now time.Time) (regained bool) {
	regained, t.lost = t.lost, false
	t.receivedAt = now
	clear(t.failed)
	return regained
}

// Failed records that an endpoint took no connection, or that one ended without a byte of an answer.
func (t *Tracker) Failed(now time.Time, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[address] = now
}

// Lost reports whether the VM has lost its paths.
func (t *Tracker) Lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// ReceivedSince reports whether bytes came from any endpoint after the given time.
func (t *Tracker) ReceivedSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.receivedAt.After(at)
}

// DueProbe reports whether the VM must probe endpoints now. known is the number of endpoints that it
// knows. The result must be reported by ProbeDone.
func (t *Tracker) DueProbe(now time.Time, known int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	due := len(t.failed) > 0 && len(t.failed) >= min(minFailed, known)
	if t.lost {
		due = !now.Before(t.nextProbe)
	}
	if t.probing || !due {
		return false
	}
	t.probing = true
	return true
}

// SettleTime returns how long a probed connection must stay open to count as a success. It doubles with
// each success that was followed by no byte from any endpoint.
func (t *Tracker) SettleTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	settle := minSettleTime
	for range t.unconfirmed {
		if settle *= 2; settle >= maxSettleTime {
			return maxSettleTime
		}
	}
	return settle
}

// Change is what a probe changed.
type Change int

// Values of Change.
const (
	Unchanged Change = iota
	PathsLost
	PathsRegained
)

// ProbeDone records the result of a probe that began at the given time: whether any endpoint took a
// connection and kept it open.
func (t *Tracker) ProbeDone(began, now time.Time, succeeded bool) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probing = false
	if succeeded {
		t.unconfirmed++
		if t.received(now) {
			return PathsRegained
		}
		return Unchanged
	}
	t.nextProbe = now.Add(probeInterval)
	if t.lost || t.receivedAt.After(began) {
		return Unchanged
	}
	t.lost = true
	return PathsLost
}

// FailedEndpoints returns the number of endpoints that failed with no byte received since.
func (t *Tracker) FailedEndpoints() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.failed)
}
