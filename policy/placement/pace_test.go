package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve plays n requests of 40 units each, whose first events come at a time per unit.
func serve(t *testing.T, tb *Table, n int, perUnit time.Duration) {
	now := start
	for range n {
		c, miss := tb.Pick(now, rng(), &Request{Service: "s", Work: 1, Prefill: 39})
		require.Equal(t, Picked, miss)
		now = now.Add(40 * perUnit)
		tb.Began(now, c)
		tb.Done(now, c, Good)
	}
}

// Engines of one fleet take 2.5 ms for a unit, those of another 6 ms, and nothing says so.
// After some hundred requests a caller's first event is expected when it comes; one
// engine that hangs for a minute doesn't change that much, and small requests, whose time
// is mostly the way, don't at all.
func TestOutlookFollowsThePace(t *testing.T) {
	for _, perUnit := range []time.Duration{2500 * time.Microsecond, 6 * time.Millisecond} {
		tb := table(3)
		ask := &Request{Service: "s", Work: 1, Prefill: 99}
		serve(t, tb, 300, perUnit)
		require.InEpsilon(t, 100*perUnit, tb.Outlook(start, rng(), ask).Read, 0.05)
		require.Zero(t, tb.Outlook(start, rng(), ask).Wait)

		c, _ := tb.Pick(start, rng(), &Request{Service: "s", Work: 1, Prefill: 39})
		tb.Began(start.Add(time.Minute), c)
		tb.Done(start, c, Good)
		for range 100 {
			c, _ := tb.Pick(start, rng(), &Request{Service: "s", Work: 1})
			tb.Began(start.Add(200*time.Millisecond), c)
			tb.Done(start, c, Good)
		}
		require.InEpsilon(t, 100*perUnit, tb.Outlook(start, rng(), ask).Read, 0.15)
	}
}

// The wait is that of the endpoint with the least under way, by this VM's requests and
// the others'; endpoints that may not be used don't count.
func TestOutlookIsThatOfTheBestEndpoint(t *testing.T) {
	tb := table(3)
	tell(tb, start, func(id string) Share {
		return map[string]Share{"e00": {Work: 50}, "e01": {Work: 20}, "e02": {Work: 0}}[id]
	})
	ask := &Request{Service: "s", Work: 1}
	require.Zero(t, tb.Outlook(start, rng(), ask).Wait)
	tb.Set(start, Spec{ID: "e02", Service: "s", Address: "e02", DataCentre: "a", Slots: 8, Draining: true})
	require.Equal(t, 20*firstPace, tb.Outlook(start, rng(), ask).Wait)
	require.Equal(t, Outlook{}, tb.Outlook(start, rng(), &Request{Service: "unknown"}))
}
