package retry

import (
	"fmt"
	"time"
)

// Use is what a window has counted when it decides.
type Use struct {
	First, Extra int     // attempts in the last window
	Slack        float64 // this VM's part

	used   float64 // of what the window allows
	bucket int64   // that the extra attempt is counted in
}

// Share returns the share of the allowed extra attempts that were made, 0 if the window doesn't state
// it.
func (u Use) Share() float64 { return u.used }

// String formats a Use for a log line: "131/145+8.7" is 131 extra attempts for 145 requests, with a
// part of 8.7 in the slack.
func (u Use) String() string { return fmt.Sprintf("%d/%d+%.1f", u.Extra, u.First, u.Slack) }

// counts holds the numbers of first and extra attempts of the last buckets of time. Times are those of
// a clock that never steps and includes the time for which the VM is suspended: the time of day may
// step by seconds, which would empty the counts or keep old ones.
type counts struct {
	width  time.Duration // of a bucket
	first  []int
	extra  []int
	newest int64 // number of the newest bucket since the clock's zero
}

func newCounts(width time.Duration, buckets int) counts {
	return counts{width: width, first: make([]int, buckets), extra: make([]int, buckets)}
}

// advance makes the bucket of the current time the newest one and clears the buckets that have
// expired since the last call.
func (c *counts) advance(now time.Duration) {
	n := int64(now / c.width)
	for i := max(c.newest+1, n-int64(len(c.first))+1); i <= n; i++ {
		c.first[i%int64(len(c.first))], c.extra[i%int64(len(c.first))] = 0, 0
	}
	c.newest = max(c.newest, n)
}

// index returns the index of the bucket that is so many buckets older than the newest.
func (c *counts) index(age int) int {
	n := int64(len(c.first))
	return int((c.newest%n + n - int64(age)) % n)
}

// removeExtra removes an attempt from the bucket with the given number, unless that has expired.
func (c *counts) removeExtra(bucket int64) {
	age := c.newest - bucket
	if age < 0 || age >= int64(len(c.extra)) {
		return
	}
	if i := c.index(int(age)); c.extra[i] > 0 {
		c.extra[i]--
	}
}

// recordFirst and recordExtra count an attempt in the newest bucket.
func (c *counts) recordFirst() { c.first[c.index(0)]++ }
func (c *counts) recordExtra() { c.extra[c.index(0)]++ }
