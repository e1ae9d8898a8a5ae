package retry

import (
	"sync"
	"time"
)

const (
	// buckets are the parts of a window that age together.
	buckets = 20
	// safeShare of the ratio is used: VMs count at slightly different moments, and a
	// request may be counted in the window before the one in which it is repeated.
	safeShare = 0.8
)

// Window bounds the attempts beyond the first of each request over a sliding time,
// summed over all VMs without a word between them: each VM keeps to the ratio of its
// own requests and to its part of the slack.
//
// Load pattern: a service's endpoints fail by the dozen while its requests go on.
// Without it up to MaxAttempts of each request arrive at what is left.
//
// It is safe for concurrent use; its mutex is a leaf.
type Window struct {
	ratio, slack float64
	length       time.Duration

	mu     sync.Mutex
	first  [buckets]int
	extra  [buckets]int
	bucket int64 // number of the newest bucket since the zero time
}

// NewWindow returns a window of a length that allows ratio of the requests in it and
// slack more.
func NewWindow(length time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio * safeShare, slack: slack, length: length}
}

func (w *Window) turn(now time.Time) {
	n := now.UnixNano() / int64(w.length/buckets)
	for i := max(w.bucket+1, n-buckets+1); i <= n; i++ {
		w.first[i%buckets], w.extra[i%buckets] = 0, 0
	}
	w.bucket = max(w.bucket, n)
}

// First counts a request's first attempt.
func (w *Window) First(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	w.first[w.bucket%buckets]++
}

// Again takes one more attempt, if the window has it; vms is the number of VMs that
// share the slack.
func (w *Window) Again(now time.Time, vms int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	first, extra := 0, 0
	for i := range buckets {
		first += w.first[i]
		extra += w.extra[i]
	}
	if float64(extra+1) > w.ratio*float64(first)+w.slack/float64(max(vms, 1)) {
		return false
	}
	w.extra[w.bucket%buckets]++
	return true
}
