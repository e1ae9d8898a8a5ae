package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// saturate takes all requests that the given buckets grant and returns the worst window.
func saturate(take ...func(now time.Time) time.Duration) int {
	var arrivals []time.Time
	for at := time.Duration(0); at < 3*window; at += time.Millisecond {
		for _, f := range take {
			for f(start.Add(at)) == 0 {
				arrivals = append(arrivals, start.Add(at))
			}
		}
	}
	return busiest(arrivals)
}

// Guards against VMs that use different keepers, because they don't know the same members, and exceed a limit together.
func TestDisagreeingKeepersStayWithinTarget(t *testing.T) {
	for _, limit := range []float64{0, 0.2, 0.5, 1, 1.2, 3, 10, 50} {
		keeper := func(role Role) func(time.Time) time.Duration {
			b := NewBuckets()
			return func(now time.Time) time.Duration { return b.Take(now, endpointHash(0), limit, role) }
		}
		require.LessOrEqual(t, saturate(keeper(First), keeper(Deputy), keeper(Deputy)), allowed(limit), "limit %v", limit)
	}
}

// Guards against a bucket that stays empty, or keeps the old rate, when an endpoint states another limit.
func TestBucketFollowsLimit(t *testing.T) {
	b := NewBuckets()
	require.Zero(t, b.Take(start, endpointHash(0), 0.2, First))
	wait := b.Take(start, endpointHash(0), 0.2, First)
	require.Equal(t, 5*time.Second, wait)
	require.Equal(t, wait, b.Take(start, endpointHash(0), 0.2, First), "a refused request takes nothing")
	require.LessOrEqual(t, b.Take(start.Add(time.Second), endpointHash(0), 100, First), 10*time.Millisecond)
	require.Zero(t, b.Take(start, endpointHash(1), 0.2, First), "another endpoint")
}

// Guards against buckets that are kept for endpoints that are gone.
func TestIdleBucketsAreRemoved(t *testing.T) {
	b := NewBuckets()
	b.Take(start, endpointHash(0), 1, First)
	b.Sweep(start.Add(idleTime))
	require.Len(t, b.byBucket, 1)
	b.Sweep(start.Add(idleTime + 1))
	require.Empty(t, b.byBucket)
}
