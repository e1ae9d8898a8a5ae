package retry

import (
	"fmt"
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

// Use is what a Window has counted when it decides.
type Use struct {
	First, Extra int
	Slack        float64 // this VM's part
}

// String formats a Use for a log line: "131/145+8.7" is 131 extra attempts for 145 requests, with a
// part of 8.7 in the slack.
func (u Use) String() string { return fmt.Sprintf("%d/%d+%.1f", u.Extra, u.First, u.Slack) }

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
// number of VMs that share the slack; with 0 there is no slack. The Use is that before the attempt.
func (w *Window) TakeExtra(now time.Time, vms int) (Use, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	var u Use
	for i := range bucketCount {
		u.First += w.first[i]
		u.Extra += w.extra[i]
	}
	if vms > 0 {
		u.Slack = w.slack / float64(vms)
	}
	if float64(u.Extra+1) > w.ratio*float64(u.First)+u.Slack {
		return u, false
	}
	w.extra[w.bucket%bucketCount]++
	return u, true
}
