package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// fleetBuckets is the number of buckets of a FleetWindow.
	fleetBuckets = 100
	// historyBuckets covers a window, the one before it, and a part of a bucket at each end.
	historyBuckets = 2*fleetBuckets + 2
	// earlierShare is the share of the ratio that the requests of the window before pay for. It is
	// what a VM can spend in an instant, as when an endpoint crashes, and what a VM that has just
	// started leaves to the attempts that its predecessor may have made.
	earlierShare = 0.2
)

// FleetWindow bounds the extra attempts of all VMs within any window of time, without communication
// between them.
//
// Without this bound, when many endpoints of a service fail, up to MaxAttempts attempts
// of each request reach the remaining ones.
//
// In each window a VM makes at most ratio times (1 - earlierShare) of its own requests in that window
// and earlierShare of those in the window before, plus its part of the slack. These sums add up over
// VMs, also over those that end and those that start in their place, wherever callers send their
// requests meanwhile. A limit on the window that has just passed does not add up: a VM could
// spend what its earlier requests pay for and end, and later requests would pay again elsewhere.
//
// A FleetWindow is safe for concurrent use. Its mutex is a leaf of the lock order.
type FleetWindow struct {
	ratio, slack float64
	// rounding is the fraction of an attempt, greater than 0, from which a whole one is granted. It
	// is random, so that the fractions of many VMs add up. Rounding down at each VM would deny a
	// tenth of the attempts in a fleet whose VMs get few requests each.
	rounding float64

	mu     sync.Mutex
	counts counts
}

// NewFleetWindow returns a window of the given length that allows all VMs together ratio times the
// number of requests in it, plus slack, as extra attempts.
func NewFleetWindow(length time.Duration, ratio, slack float64, rng *rand.Rand) *FleetWindow {
	return &FleetWindow{
		ratio: ratio, slack: slack, rounding: 1 - rng.Float64(),
		counts: newCounts(length/fleetBuckets, historyBuckets),
	}
}

// RecordFirst counts the first attempt of a request.
func (w *FleetWindow) RecordFirst(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.advance(now)
	w.counts.recordFirst()
}

// TakeExtra counts one more attempt and reports true if it is allowed. vms is the number of VMs
// that share the slack; with 0 there is no slack. The Use is that before the attempt.
func (w *FleetWindow) TakeExtra(now time.Duration, vms int) (Use, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.advance(now)
	var u Use
	if vms > 0 {
		u.Slack = w.slack / float64(vms)
	}
	allowed := w.allows(&u)
	if allowed {
		w.counts.recordExtra()
	}
	return u, allowed
}

// allows reports whether one more attempt keeps the bound in each window that contains the current
// time, and sets the counts of u. Windows differ by the bucket in which they start: its extra attempts
// count as made in the window, its requests as made in the window before, which pay less.
func (w *FleetWindow) allows(u *Use) bool {
	c := &w.counts
	earlier := 0
	for age := range fleetBuckets {
		earlier += c.first[c.index(age)]
	}
	allowed := true
	for age := range fleetBuckets + 1 {
		u.Extra += c.extra[c.index(age)]
		paid := (1-earlierShare)*float64(u.First) + earlierShare*float64(earlier)
		if float64(u.Extra)+w.rounding > w.ratio*paid+u.Slack {
			allowed = false
		}
		first := c.first[c.index(age)]
		u.First += first
		earlier += c.first[c.index(age+fleetBuckets)] - first
	}
	return allowed
}
