package trial

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// drawSpread draws answers of a version's endpoints, of which the first so many fail the given share, and the others the
// other one.
func drawSpread(seed uint64, endpoints, faulty, answers int, fails, others float64) (s Spread) {
	r := rand.New(rand.NewPCG(seed, 73))
	for range answers {
		e, share := r.IntN(endpoints), others
		if e < faulty {
			share = fails
		}
		s.count(fmt.Sprint("endpoint", e), r.Float64() < share)
	}
	return s
}

// Guards against faulty endpoints that are taken for a bad version, and a bad version that is taken for faulty endpoints.
func TestBestGroupsTellFaultyEndpointsFromABadVersion(t *testing.T) {
	for _, endpoints := range []int{3, 9, 40, 200} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			var bad, good float64
			for seed := range uint64(40) {
				b := drawSpread(seed, endpoints, 0, 400, 0, 0.4).best()
				bad += rate(b.Errors, b.Answers) / 40
				g := drawSpread(seed, endpoints, endpoints/3, 400, 0.4, 0).best()
				good += rate(g.Errors, g.Answers) / 40
			}
			t.Logf("rates of errors in the best third: bad version %.2f, a third of the endpoints faulty %.2f", bad, good)
			require.Greater(t, bad, 0.2)
			require.Less(t, good, 0.1)
		})
	}
}

// Guards against a single group of endpoints, faulty or not, by which a version would be judged.
func TestOneGroupSaysNothing(t *testing.T) {
	require.Zero(t, drawSpread(1, 1, 1, 100, 1, 0).best())
}
