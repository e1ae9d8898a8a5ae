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

// Window bounds the attempts beyond the first of each request within a sliding time
// window, summed over all VMs, without communication between them: each VM applies the
// ratio to its own requests and uses its part of the slack.
//
// Without this bound, when many endpoints of a service fail, up to MaxAttempts attempts
// of each request reach the remaining ones.
//
// A Window is safe for concurrent use. Its mutex is a leaf of the lock order.
type Window struct {
	ratio, slack float64
	length       time.Duration

	mu     sync.Mutex
	first  [bucketCount]int
	extra  [bucketCount]int
	bucket int64 // number of the newest bucket since the Unix epoch
}

// NewWindow returns a window of the given length that allows ratio times the number of
// requests in it, plus slack, as extra attempts.
func NewWindow(length time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio * usedShare, slack: slack, length: length}
}

// advance clears the buckets that have expired since the last call.
func (w *Window) advance(now time.Time) {
	n := now.UnixNano() / int64(w.length/bucketCount)
	for i := max(w.bucket+1, n-bucketCount+1); i <= n; i++ {
		w.first[i%bucketCount], w.extra[i%bucketCount] = 0, 0
	}
	w.bucket = max(w.bucket, n)
}

// RecordFirst counts the first attempt of a request.
func (w *Window) RecordFirst(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.first[w.bucket%bucketCount]++
}

// TakeExtra counts one more attempt and reports true if the window allows it. vms is the
// number of VMs that share the slack; with 0 there is no slack.
func (w *Window) TakeExtra(now time.Time, vms int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	first, extra := 0, 0
	for i := range bucketCount {
		first += w.first[i]
		extra += w.extra[i]
	}
	slack := 0.0
	if vms > 0 {
		slack = w.slack / float64(vms)
	}
	if float64(extra+1) > w.ratio*float64(first)+slack {
		return false
	}
	w.extra[w.bucket%bucketCount]++
	return true
}
