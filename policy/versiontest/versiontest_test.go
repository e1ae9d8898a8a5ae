package versiontest

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcrestfork/policy/datacentre"
)

const (
	seedA = 4101
	seedB = 77003
)

func seeds(t *testing.T, f func(t *testing.T, seed uint64)) {
	for _, seed := range []uint64{seedA, seedB} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { f(t, seed) })
	}
}

// The account pays at most 60% of always the best version's price, for answers
// of which no more are below its target; where hardly any task is easy, trying
// costs it nothing in the end.
func TestCascadeCostAtTheTarget(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		const requests, best, whole = 20000, 0, 4
		for i, m := range Mixes() {
			base := PlayCascade(m, Strategies()[best], requests, seed)
			r := PlayCascade(m, Strategies()[whole], requests, seed)
			require.LessOrEqual(t, r.Below, base.Below+0.005, m.Name)
			require.LessOrEqual(t, r.Cost, []float64{0.60, 1.0}[i], m.Name)
		}
	})
}

// The rating service is down a third of the time. Answers stay at the target;
// the account pays more meanwhile, but less than always for the best.
func TestCascadeWithoutRatings(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		const requests, best, down = 20000, 0, 6
		m := Mixes()[0]
		base := PlayCascade(m, Strategies()[best], requests, seed)
		r := PlayCascade(m, Strategies()[down], requests, seed)
		require.LessOrEqual(t, r.Below, base.Below+0.01)
		require.Less(t, r.Cost, 0.8)
	})
}

// A version that is bad at 5% of traffic is stopped within 200 of its requests
// where it is clearly bad, and within 1% of a day's where it is little worse.
// A good one comes to its end, also while pools die and sessions fail as a whole.
func TestRollOuts(t *testing.T) {
	within200 := map[string]bool{
		"errors 1% to 20%": true, "errors 1% to 20%, after 4 min": true, "errors 1% to 100%": true,
		"poor ratings 10% to 40%": true, "slow 2% to 20%": true,
	}
	for _, c := range Cases() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			seeds(t, func(t *testing.T, seed uint64) {
				for i := range uint64(3) {
					r := PlayRollOut(c, true, seed+i)
					require.Equal(t, c.Equal(), r.Done)
					require.Equal(t, !c.Equal(), r.Stopped)
					if c.Equal() {
						continue
					}
					require.Less(t, r.Share, 0.01)
					if within200[c.Name] {
						require.LessOrEqual(t, r.Exposed, 200)
					}
				}
			})
		})
	}
}

// A data centre comes back empty after a minute. With the ramp hardly any caller
// notices; without it the empty data centre draws the load and callers wait past
// their deadline.
func TestReturnWithRamp(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		without := PlayReturn(0, seed)
		with := PlayReturn(datacentre.DefaultSettings().RampTime, seed)
		require.Greater(t, without.Late, 100)
		require.LessOrEqual(t, with.Late, without.Late/20)
	})
}
