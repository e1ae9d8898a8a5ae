package speed

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// measure adds an answer every 100 ms for a time, and returns when the next one would come.
func measure(e *Endpoint, from time.Time, ratio float64, length time.Duration) time.Time {
	for end := from.Add(length); from.Before(end); from = from.Add(100 * time.Millisecond) {
		e.Measure(from, ratio, 1)
	}
	return from
}

// Guards against an endpoint that is judged by few answers, keeps a factor that no answer confirms, or gets one beyond the bounds.
func TestFactorFollowsAnswers(t *testing.T) {
	var e Endpoint
	require.Equal(t, 1.0, e.Factor(start, 0))
	e.Measure(start, 8, 0.2)
	require.Less(t, e.Factor(start, 0), 1.3, "one answer of little work")
	now := measure(&e, start.Add(6*time.Second), 1, 6*time.Second)
	require.InDelta(t, 1, e.Factor(now, 0), 0.01)
	now = measure(&e, now, 4.5, time.Second)
	require.Greater(t, e.Factor(now, 0), 1.6, "a second after it turned slow")
	now = measure(&e, now, 1e9, 10*time.Second)
	require.InDelta(t, MaxFactor, e.Factor(now, 0), 1.5)
	require.Equal(t, 1.0, e.Factor(now.Add(forgetAfter), 0))
	now = measure(&e, now, 1e-9, 10*time.Second)
	require.GreaterOrEqual(t, e.Factor(now, 2), MinFactor)
	e.Measure(now, math.NaN(), 1)
	e.Measure(now, math.Inf(1), 1)
	require.False(t, math.IsNaN(e.Factor(now, 0)))
}

// Guards against a stated slowdown that is wrong, or old, and outweighs measured answers.
func TestStatedSlowdown(t *testing.T) {
	var e Endpoint
	e.State(start, 250)
	require.InDelta(t, 2.5, e.Factor(start, 0), 0.01)
	require.Less(t, e.Factor(start.Add(500*time.Millisecond), 0), 1.15)
	require.InDelta(t, 1, e.Factor(start.Add(2*time.Second), 0), 0.01)
	for _, percent := range []int{1, 20, 800, math.MaxInt} {
		var wrong Endpoint
		now := measure(&wrong, start, 1.6, 6*time.Second)
		unstated := wrong.Factor(now, 0)
		for range 50 {
			wrong.Measure(now, 1.6, 1)
			now = now.Add(100 * time.Millisecond)
			wrong.State(now, percent)
			require.InDelta(t, 0, math.Log(wrong.Factor(now, 0)/unstated), math.Log(maxStatedEffect)+0.1, "stated %d", percent)
		}
		require.InDelta(t, 0, math.Log(wrong.Factor(now, 0)/unstated), 0.5, "stated %d for 5 s", percent)
	}
	var turned Endpoint
	now := start
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		turned.Measure(now, 1, 1)
		turned.State(now, 100)
	}
	turned.State(now, 800)
	require.InDelta(t, maxStatedEffect, turned.Factor(now, 0), 0.01, "stated once")
}

// Guards against answers that count twice because the totals contain this VM's own, totals that no longer arrive, and a factor without answers for 5 s at any VM.
func TestFleetSums(t *testing.T) {
	var a, b Endpoint
	now := measure(&a, start, 3, 3*time.Second)
	own, ok := a.Report(now)
	require.True(t, ok)
	alone := a.Factor(now, 0)
	a.SetFleet(now, own)
	require.Equal(t, alone, a.Factor(now, 0), "totals without other VMs")
	a.SetFleet(now, own.plus(Sums{Weight: own.Weight}))
	require.InDelta(t, math.Exp(own.Log/(2*own.Weight+priorWeight)), a.Factor(now, 0), 1e-9, "totals with another VM")
	b.SetFleet(now, own)
	require.InDelta(t, alone, b.Factor(now, 0), 0.01, "a VM without answers of its own")
	b.SetFleet(now, Sums{})
	require.Equal(t, 1.0, b.Factor(now, 0), "no longer named")
	b.SetFleet(now, own)
	require.Equal(t, 1.0, b.Factor(now.Add(fleetMaxAge), 0), "totals no longer arrive")
	a.SetFleet(now, Sums{Log: math.MaxFloat32, Weight: math.MaxFloat32})
	require.LessOrEqual(t, a.Factor(now, 0), MaxFactor)
	_, ok = a.Report(now.Add(reportFor))
	require.False(t, ok)
}

// Guards against factors that differ from 1 because the expected time is wrong for all, or that are set by a few very slow endpoints.
func TestUsual(t *testing.T) {
	require.Zero(t, Usual(nil))
	require.Zero(t, Usual([]Sums{{}}))
	list := []Sums{{Log: 3, Weight: 10}, {}, {Log: 3, Weight: 10}, {Log: 3, Weight: 10}, {Log: 20, Weight: 10}}
	require.InDelta(t, 0.3, Usual(list), 1e-9)
	require.Less(t, Usual([]Sums{{Weight: 4}, {Weight: 4}, {Weight: 4}, {Log: 200, Weight: 100}}), 0.5)
	var e Endpoint
	now := measure(&e, start, math.Exp(0.3), 5*time.Second)
	require.InDelta(t, 1, e.Factor(now, 0.3), 0.01)
}
