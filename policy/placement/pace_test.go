package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveRequests places n requests of 40 units, each with a first event after perUnit for each
// unit.
func serveRequests(t *testing.T, tb *Table, n int, perUnit time.Duration) {
	now := start
	for range n {
		c, miss := tb.Pick(now, rng(), &Request{Service: "s", Work: 1, Prefill: 39})
		require.Equal(t, Picked, miss)
		now = now.Add(40 * perUnit)
		tb.PromptRead(now, c)
		tb.Done(now, c, Good)
	}
}

// Guards against a wrong fixed speed: engines of one fleet take 2.5 ms per unit, those of
// another 6 ms. The estimate converges within some hundred requests. One engine that hangs for
// a minute changes it little, and small requests, whose time is mostly network time, do not.
func TestOutlookFollowsThePace(t *testing.T) {
	for _, perUnit := range []time.Duration{2500 * time.Microsecond, 6 * time.Millisecond} {
		tb := table(3)
		ask := &Request{Service: "s", Work: 1, Prefill: 99}
		serveRequests(t, tb, 300, perUnit)
		require.InEpsilon(t, 100*perUnit, tb.EstimateWait(start, rng(), ask).Read, 0.05)
		require.Zero(t, tb.EstimateWait(start, rng(), ask).Wait)

		c, _ := tb.Pick(start, rng(), &Request{Service: "s", Work: 1, Prefill: 39})
		tb.PromptRead(start.Add(time.Minute), c)
		tb.Done(start, c, Good)
		for range 100 {
			c, _ := tb.Pick(start, rng(), &Request{Service: "s", Work: 1})
			tb.PromptRead(start.Add(200*time.Millisecond), c)
			tb.Done(start, c, Good)
		}
		require.InEpsilon(t, 100*perUnit, tb.EstimateWait(start, rng(), ask).Read, 0.15)
	}
}

// The wait is that of the usable endpoint with the least work under way, from this VM and the
// others.
func TestOutlookIsThatOfTheBestEndpoint(t *testing.T) {
	tb := table(3)
	setPeerLoad(tb, start, func(id string) EndpointLoad {
		return map[string]EndpointLoad{"e00": {Work: 50}, "e01": {Work: 20}, "e02": {Work: 0}}[id]
	})
	ask := &Request{Service: "s", Work: 1}
	require.Zero(t, tb.EstimateWait(start, rng(), ask).Wait)
	tb.Set(start, Spec{ID: "e02", Service: "s", Address: "e02", DataCentre: "a", Slots: 8, Draining: true})
	require.Equal(t, 20*defaultUnitTime, tb.EstimateWait(start, rng(), ask).Wait)
	require.Equal(t, WaitEstimate{}, tb.EstimateWait(start, rng(), &Request{Service: "unknown"}))
}
