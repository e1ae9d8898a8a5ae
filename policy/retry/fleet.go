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
	// earlierShare is the weight of the requests of the window before. It is the part of a window's
	// attempts that a VM may make in an instant, as when an endpoint crashes. A VM that has just
	// started leaves the same part to the attempts that its predecessor may have made.
	earlierShare = 0.2
	// slackShare is the share of the slack that is used. The rest covers attempts that reach their
	// endpoints later than they were granted, and the random rounding.
	slackShare = 0.9
)

// FleetWindow bounds the extra attempts of all VMs within any window of time, without communication
// between them.
//
// Without this bound, when many endpoints of a service fail, up to MaxAttempts attempts
// of each request reach the remaining ones.
//
// In each window a VM makes at most ratio times (1 - earlierShare) of its own requests in that window
// and earlierShare of those in the window before, plus its part of a slack. These sums add up over
// VMs, also over those that end and those that start in their place, wherever callers send their
// requests meanwhile. A limit on the window that ends now does not add up: a VM could make all
// attempts that its earlier requests allow and end, and the VMs that its callers turn to would
// allow as many again for the same window.
//
// A FleetWindow is safe for concurrent use. Its mutex is a leaf of the lock order.
type FleetWindow struct {
	ratio float64
	// rounding is the fraction of an attempt, greater than 0, from which a whole one is granted. It
	// is random, so that the fractions of many VMs add up. Rounding down at each VM would deny a
	// tenth of the attempts in a fleet whose VMs get few requests each.
	rounding float64

	mu     sync.Mutex
	counts counts
}

// NewFleetWindow returns a window of the given length that allows all VMs together ratio times the
// number of requests in it as extra attempts.
func NewFleetWindow(length time.Duration, ratio float64, rng *rand.Rand) *FleetWindow {
	return &FleetWindow{ratio: ratio, rounding: 1 - rng.Float64(), counts: newCounts(length/fleetBuckets, historyBuckets)}
}

// SetRatio changes the ratio. What is counted stays counted.
func (w *FleetWindow) SetRatio(ratio float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio = ratio
}

// RecordFirst counts the first attempt of a request.
func (w *FleetWindow) RecordFirst(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.advance(now)
	w.counts.recordFirst()
}

// TakeExtra counts one more attempt and reports true if it is allowed. slack is this VM's part of the
// fleet's slack. The Use is that before the attempt.
func (w *FleetWindow) TakeExtra(now time.Duration, slack float64) (Use, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.advance(now)
	u := Use{Slack: slack}
	allowed := w.allows(&u)
	if allowed {
		w.counts.recordExtra()
		u.bucket = w.counts.newest
	}
	return u, allowed
}

// ReturnExtra takes back an extra attempt that was allowed and not made.
func (w *FleetWindow) ReturnExtra(now time.Duration, u Use) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.advance(now)
	w.counts.removeExtra(u.bucket)
}

// allows reports whether one more attempt keeps the bound in each window that contains the current
// time, and sets the counts of u. Windows differ by the bucket in which they start: its extra attempts
// count as made in the window, its requests as made in the window before, which weigh less.
func (w *FleetWindow) allows(u *Use) bool {
	c := &w.counts
	earlier := 0
	for age := range fleetBuckets {
		earlier += c.first[c.index(age)]
	}
	allowed := true
	for age := range fleetBuckets + 1 {
		u.Extra += c.extra[c.index(age)]
		weighted := (1-earlierShare)*float64(u.First) + earlierShare*float64(earlier)
		bound := w.ratio*weighted + u.Slack
		if float64(u.Extra)+w.rounding > bound {
			allowed = false
		}
		if u.Extra > 0 {
			u.used = max(u.used, min(float64(u.Extra)/max(bound, w.rounding), 1))
		}
		first := c.first[c.index(age)]
		u.First += first
		earlier += c.first[c.index(age+fleetBuckets)] - first
	}
	return allowed
}

// SlackPart is one VM's part of a slack that all VMs share. The parts of all VMs add up to no more than
// the slack within any window of time.
//
// It is safe for concurrent use. Its mutex is a leaf of the lock order.
type SlackPart struct {
	start time.Duration

	mu   sync.Mutex
	most int // VMs that shared the slack at once
}

// NewSlackPart returns the part of a VM that started at the given time.
func NewSlackPart(start time.Duration) *SlackPart { return &SlackPart{start: start} }

// Of returns the VM's part of a slack in a window of the given length. vms is the number of VMs
// that share it, 0 if this VM doesn't know them.
//
// A VM has no part until a window has passed since its start: its predecessor and the other VMs, if
// they didn't expect it, have used the whole slack. Its part doesn't grow when VMs end, for what
// these used remains used, and a VM that hears no others for long would take the slack for itself.
func (p *SlackPart) Of(now, window time.Duration, slack float64, vms int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = max(p.most, vms)
	if vms == 0 || now-p.start < window {
		return 0
	}
	return slack * slackShare / float64(p.most)
}
