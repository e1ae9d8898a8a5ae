package sizing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNext(t *testing.T) {
	base := Input{Models: []string{"s", "m", "l"}, Known: true, Confidence: 20, AttemptsLeft: 2, Left: time.Second, Total: time.Second}
	with := func(f func(*Input)) Input {
		s := base
		f(&s)
		return s
	}
	for name, c := range map[string]struct {
		s    Input
		next int
		up   bool
	}{
		"weak":                {base, 2, true},
		"strong":              {with(func(s *Input) { s.Confidence = 80 }), 2, false},
		"no confidence":       {with(func(s *Input) { s.Known = false }), 0, false},
		"largest":             {with(func(s *Input) { s.Current = 2 }), 2, false},
		"no attempts":         {with(func(s *Input) { s.AttemptsLeft = 0 }), 0, false},
		"no time":             {with(func(s *Input) { s.Left = 400 * time.Millisecond }), 0, false},
		"long wait":           {with(func(s *Input) { s.TargetLatency, s.Wait, s.Confidence = 2*time.Second, 500*time.Millisecond, 5 }), 2, false},
		"some wait, weak":     {with(func(s *Input) { s.TargetLatency, s.Wait, s.Confidence = 2*time.Second, 240*time.Millisecond, 10 }), 2, true},
		"some wait, better":   {with(func(s *Input) { s.TargetLatency, s.Wait, s.Confidence = 2*time.Second, 240*time.Millisecond, 28 }), 1, true},
		"some wait, good":     {with(func(s *Input) { s.TargetLatency, s.Wait, s.Confidence = 2*time.Second, 240*time.Millisecond, 45 }), 0, false},
		"full":                {with(func(s *Input) { s.Running, s.Slots, s.Confidence = 64, 64, 5 }), 2, false},
		"half full":           {with(func(s *Input) { s.Running, s.Slots, s.Confidence = 26, 64, 10 }), 2, true},
		"few slots in use":    {with(func(s *Input) { s.Running, s.Slots, s.Confidence = 8, 16, 43 }), 2, true},
		"few slots, queue":    {with(func(s *Input) { s.Running, s.Slots, s.Confidence = 20, 16, 5 }), 2, false},
		"no target latency":   {with(func(s *Input) { s.Wait = time.Hour }), 2, true},
		"late by prompt size": {with(func(s *Input) { s.TargetLatency, s.Read = 2*time.Second, 1700*time.Millisecond }), 2, false},
		"late by time spent":  {with(func(s *Input) { s.TargetLatency, s.Spent, s.Read = 2*time.Second, time.Second, time.Second }), 2, false},
		"large but in time":   {with(func(s *Input) { s.TargetLatency, s.Read, s.Confidence = 2*time.Second, 1500*time.Millisecond, 43 }), 2, true},
		"unsure":              {with(func(s *Input) { s.Confidence = 54 }), 1, true},
		"fairly sure":         {with(func(s *Input) { s.Confidence = 62 }), 1, true},
		"sure enough":         {with(func(s *Input) { s.Confidence = 63 }), 0, false},
		"unsure, two models":  {with(func(s *Input) { s.Models, s.Confidence = s.Models[:2], 54 }), 1, true},
		"unsure twice":        {with(func(s *Input) { s.Current, s.Confidence = 1, 41 }), 2, true},
		"second is better":    {with(func(s *Input) { s.Current, s.Confidence = 1, 42 }), 1, false},
		"unsure, largest late": {with(func(s *Input) {
			s.TargetLatency, s.Read, s.Confidence = 2*time.Second, 1700*time.Millisecond, 50
		}), 1, true},
		"unsure, next late": {with(func(s *Input) {
			s.TargetLatency, s.Spent, s.Read, s.Confidence = 2*time.Second, time.Second, 1700*time.Millisecond, 50
		}), 0, false},
	} {
		next, up := NextModel(c.s)
		require.Equal(t, c.up, up, name)
		if up {
			require.Equal(t, c.next, next, name)
		}
	}
}

// Guards against a cascade that costs too much or loses quality, for a mix with 56% easy
// requests. It must keep nearly the largest model's worth at well below its cost. The model's
// confidence reflects the true quality with an error of 20 points.
func TestCascadeOnAMix(t *testing.T) {
	quality, cost := []float64{0.56, 0.65, 1}, []float64{0.018, 0.13, 0.27}
	r := rand.New(rand.NewPCG(7, 7))
	var worth, paid [3]float64 // smallest, largest, cascade
	const n, poor = 20000, 0.05
	answer := func(hard float64, model int) float64 {
		if hard <= quality[model] {
			return 1
		}
		return poor
	}
	for range n {
		hard := r.Float64()
		for i, model := range []int{0, 2} {
			worth[i] += answer(hard, model)
			paid[i] += cost[model]
		}
		model, pay := 0, cost[0]
		for left := 2; ; left-- {
			confidence := int(50 + 100*(quality[model]-hard) + 20*r.NormFloat64())
			next, up := NextModel(Input{Models: make([]string, 3), Current: model, Known: true, Confidence: confidence, AttemptsLeft: left, Left: time.Second, Total: time.Second})
			if !up {
				break
			}
			model, pay = next, pay+cost[next]
		}
		worth[2] += answer(hard, model)
		paid[2] += pay
	}
	require.Greater(t, worth[2], 0.93*worth[1])
	require.Less(t, paid[2], 0.7*paid[1])
	require.Less(t, worth[0], 0.65*worth[1])
}

func TestWorkOfModels(t *testing.T) {
	require.Equal(t, 1.0, Work(0, 3))
	require.Equal(t, float64(largestWork), Work(2, 3))
	require.Equal(t, float64(largestWork), Work(9, 3))
	require.Equal(t, 1.0, Work(0, 0))
	require.InDelta(t, 2.6, Work(1, 3), 0.1)
}
