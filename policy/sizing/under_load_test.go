package sizing

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a rule for managed services that loses one of its inputs or limits.
func TestNextUnderLoad(t *testing.T) {
	base := LoadInput{
		Input: Input{Models: []string{"s", "m", "l"}, Known: true, Confidence: 20, AttemptsLeft: 2, Left: 15 * time.Second, Total: 15 * time.Second, TargetLatency: 1500 * time.Millisecond},
		Ranks: 3, RelativeWork: 0.9, CapacityUse: 0.3, Measured: true, ShortestTarget: 1500 * time.Millisecond,
	}
	large := func(s *LoadInput) { s.Rank, s.RelativeWork, s.TargetLatency = 2, 2.6, 6*time.Second }
	for name, c := range map[string]struct {
		change func(*LoadInput)
		next   int // 0: none
		kept   Reason
	}{
		"weak":                               {func(*LoadInput) {}, 2, ReasonNone},
		"strong":                             {func(s *LoadInput) { s.Confidence = 71 }, 0, ReasonNone},
		"middling, spare capacity":           {func(s *LoadInput) { s.Confidence = 65 }, 1, ReasonNone},
		"middling, no spare capacity":        {func(s *LoadInput) { s.Confidence, s.CapacityUse = 65, 1.25 }, 0, ReasonNone},
		"middling, much work":                {func(s *LoadInput) { large(s); s.Confidence, s.RelativeWork = 65, 4 }, 0, ReasonNone},
		"small and urgent, endpoints busy":   {func(s *LoadInput) { s.CapacityUse = 1.3 }, 2, ReasonNone},
		"large, endpoints busy":              {func(s *LoadInput) { large(s); s.CapacityUse = 1.3 }, 0, ReasonPressure},
		"large and urgent, endpoints busy":   {func(s *LoadInput) { large(s); s.Rank, s.CapacityUse = 0, 1.3 }, 2, ReasonNone},
		"small and urgent, endpoints full":   {func(s *LoadInput) { s.CapacityUse = 1.7 }, 0, ReasonPressure},
		"callers are refused":                {func(s *LoadInput) { s.Refusing = true }, 0, ReasonPressure},
		"one endpoint full":                  {func(s *LoadInput) { s.Running, s.Slots = 16, 16 }, 2, ReasonNone},
		"no load known":                      {func(s *LoadInput) { s.CapacityUse, s.Measured = 1.7, false }, 2, ReasonNone},
		"no load known, long wait":           {func(s *LoadInput) { s.Measured, s.Wait = false, 700*time.Millisecond }, 0, ReasonPressure},
		"large, wait that others can't bear": {func(s *LoadInput) { large(s); s.Wait = 400 * time.Millisecond }, 0, ReasonPressure},
		"no confidence":                      {func(s *LoadInput) { s.Known = false }, 0, ReasonNone},
		"largest":                            {func(s *LoadInput) { s.Current = 2 }, 0, ReasonNone},
		"no attempts":                        {func(s *LoadInput) { s.AttemptsLeft = 0 }, 0, ReasonAttempts},
		"no time":                            {func(s *LoadInput) { s.Left = 7 * time.Second }, 0, ReasonTime},
		"small, a little late, of no use":    {func(s *LoadInput) { s.Spent, s.Read = 1500*time.Millisecond, time.Second }, 2, ReasonNone},
		"small, a little late, of some use":  {func(s *LoadInput) { s.Spent, s.Read, s.Confidence = 1500*time.Millisecond, time.Second, 35 }, 0, ReasonTime},
		"small, just in time":                {func(s *LoadInput) { s.Spent, s.Read, s.Confidence = 800*time.Millisecond, 600*time.Millisecond, 35 }, 2, ReasonNone},
		"small, late, time limit near": {func(s *LoadInput) {
			s.Spent, s.Read, s.Left, s.Total = time.Second, 1700*time.Millisecond, 3*time.Second, 4*time.Second
		}, 0, ReasonTime},
		"large, just in time":                 {func(s *LoadInput) { large(s); s.Spent, s.Read = 4*time.Second, time.Second }, 0, ReasonTime},
		"work unknown, just in time":          {func(s *LoadInput) { s.RelativeWork = 0; s.Spent, s.Read = 800*time.Millisecond, 600*time.Millisecond }, 0, ReasonTime},
		"second answer weak":                  {func(s *LoadInput) { s.Current, s.Confidence = 1, 41 }, 2, ReasonNone},
		"second answer middling":              {func(s *LoadInput) { s.Current, s.Confidence = 1, 42 }, 0, ReasonNone},
		"one rank, mean work, endpoints busy": {func(s *LoadInput) { s.Ranks, s.RelativeWork, s.CapacityUse = 1, 1, 1.4 }, 0, ReasonPressure},
		"one rank, mean work, calm":           {func(s *LoadInput) { s.Ranks, s.RelativeWork = 1, 1 }, 2, ReasonNone},
	} {
		s := base
		c.change(&s)
		d := NextUnderLoad(s)
		require.Equal(t, c.next > 0, d.Escalate, name)
		require.Equal(t, c.kept, d.Kept, name)
		if d.Escalate {
			require.Equal(t, c.next, d.Model, name)
		}
	}
}

// Guards against an account's priority beyond the routes' that gets a larger share of the budget, or none.
func TestBudgetAllows(t *testing.T) {
	require.True(t, BudgetAllows(0, 3, 54, 0.99))
	require.False(t, BudgetAllows(2, 3, 54, 0.77))
	require.True(t, BudgetAllows(2, 3, 54, 0.74))
	require.True(t, BudgetAllows(2, 3, 10, 0.9), "a weak answer of a low rank")
	require.True(t, BudgetAllows(1, 3, 54, 0.8))
	require.True(t, BudgetAllows(0, 0, 54, 0.99))
	require.False(t, BudgetAllows(0, 3, 60, 0.75), "an answer that is kept in an overload")
	require.True(t, BudgetAllows(2, 3, 60, 0.4))
	require.Equal(t, BudgetAllows(2, 3, 54, 0.77), BudgetAllows(9, 3, 54, 0.77))
}

// Guards against work that is compared with a mean of nothing, and against hints that make it 0 or infinite.
func TestRelativeWork(t *testing.T) {
	var m MeanWork
	require.Zero(t, m.Relative(0))
	require.Equal(t, 1.0, m.Relative(RequestWork(2, 3, 826, 290, 16)))
	large := m.Relative(RequestWork(2, 3, 11990, 380, 16))
	require.InDelta(t, 2.9, large, 0.1)
	for range 1000 {
		m.Relative(RequestWork(2, 3, 11990, 380, 16))
	}
	require.InDelta(t, 1, m.Relative(RequestWork(2, 3, 11990, 380, 16)), 0.01)
	require.Equal(t, RequestWork(2, 3, 826, 290, 16), RequestWork(2, 3, 826, 290, 0), "no slots stated")
	require.False(t, math.IsInf(RequestWork(0, 1, 0, 1, -1), 0))
}
