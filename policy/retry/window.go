package retry

import (
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets of a window. The attempts of one bucket expire
	// together.
	bucketCount = 20
	// usedShare is the share of the ratio that is used. The attempts of a whole bucket expire
	// together, so that those of a window may include the attempts of one bucket more. A lower
	// share would deny attempts at single VMs of a large fleet while the fleet is far from the
	// bound: each of them sees some thirty requests in a window.
	usedShare = 1 - 1.0/bucketCount
)

// Window bounds the extra attempts of one VM within a sliding time window. For a bound on the sum over
// all VMs use FleetWindow.
//
// A Window is safe for concurrent use. Its mutex is a leaf of the lock order.
type Window struct {
	ratio, slack float64

	mu     sync.Mutex
	counts counts
}

// NewWindow returns a window of the given length that allows ratio times the number of
// requests in it, plus slack, as extra attempts.
func NewWindow(length time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio * usedShare, slack: slack, counts: newCounts(length/bucketCount, bucketCount)}
}

// RecordFirst counts the first attempt of a request.
func (w *Window) RecordFirst(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.advance(now)
	w.counts.recordFirst()
}

// TakeExtra counts one more attempt and reports true if the window allows it. vms is the
// number of VMs that share the slack; with 0 there is no slack. The Use is that before the attempt.
func (w *Window) TakeExtra(now time.Duration, vms int) (Use, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.advance(now)
	var u Use
	for age := range bucketCount {
		u.First += w.counts.first[w.counts.index(age)]
		u.Extra += w.counts.extra[w.counts.index(age)]
	}
	if vms > 0 {
		u.Slack = w.slack / float64(vms)
	}
	if float64(u.Extra+1) > w.ratio*float64(u.First)+u.Slack {
		return u, false
	}
	w.counts.recordExtra()
	return u, true
}
