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

// With many easy tasks, the cascade costs at most 60% of the best version's price
// without more answers below the target. With few easy tasks, it costs no more than
// the best version.
func TestCascadeCostAtTheTarget(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		const requests, best, whole = 20000, 0, 4
		for i, m := range Mixes() {
			base := SimulateCascade(m, Strategies()[best], requests, seed)
			r := SimulateCascade(m, Strategies()[whole], requests, seed)
			require.LessOrEqual(t, r.Below, base.Below+0.005, m.Name)
			require.LessOrEqual(t, r.Cost, []float64{0.60, 1.0}[i], m.Name)
		}
	})
}

// While the rating service is down for a third of the time, the answers must stay
// at the target, and the cost must stay below that of the best version.
func TestCascadeWithoutRatings(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		const requests, best, down = 20000, 0, 6
		m := Mixes()[0]
		base := SimulateCascade(m, Strategies()[best], requests, seed)
		r := SimulateCascade(m, Strategies()[down], requests, seed)
		require.LessOrEqual(t, r.Below, base.Below+0.01)
		require.Less(t, r.Cost, 0.8)
	})
}

// A version that is clearly bad at 5% of traffic must be stopped within 200 of its
// requests, and a slightly worse one within 1% of the model's requests of a day. A
// good version must finish its roll-out, also while pools fail or sessions fail as
// a whole.
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
					r := SimulateRollOut(c, true, seed+i)
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

// A data centre returns with an empty cache after a minute. Without the ramp it
// attracts the load, and callers wait past their deadline.
func TestReturnWithRamp(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		without := SimulateReturn(0, seed)
		with := SimulateReturn(datacentre.DefaultSettings().RampTime, seed)
		require.Greater(t, without.Late, 100)
		require.LessOrEqual(t, with.Late, without.Late/20)
	})
}
