package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Two VMs list the same ids in different orders, and one id is removed. Both must
// agree, and no key may move between the remaining ids, or each replacement of a VM
// would move slots and shards between live VMs.
func TestRankIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9]{1,8}`), 1, 20, rapid.ID[string]).Draw(t, "ids")
		key := rapid.String().Draw(t, "key")
		ranked := Rank(key, ids)
		require.Equal(t, ranked, Rank(key, rapid.Permutation(ids).Draw(t, "shuffled")))
		require.Equal(t, ranked[0], Best(key, ids))
		gone := rapid.IntRange(0, len(ids)-1).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(ranked), func(id string) bool { return id == ids[gone] })
		require.Equal(t, rest, Rank(key, slices.Delete(slices.Clone(ids), gone, gone+1)))
	})
}

// One VM of 20 is removed: its keys must spread over the others instead of doubling the load of
// one of them.
func TestKeysOfALostIDSpread(t *testing.T) {
	const keys = 19000
	ids := make([]string, 20)
	for i := range ids {
		ids[i] = fmt.Sprintf("vm-%d", i)
	}
	gained := map[string]int{}
	for k := range keys {
		key := fmt.Sprintf("key-%d", k)
		if Best(key, ids) == ids[0] {
			gained[Best(key, ids[1:])]++
		}
	}
	for id, n := range gained {
		// An even share is 50 of about 950; five standard deviations are 35.
		require.InDelta(t, 50, n, 35, id)
	}
	require.Len(t, gained, 19)
}

func BenchmarkBest400(b *testing.B) {
	ids := make([]string, 400)
	for i := range ids {
		ids[i] = fmt.Sprintf("vm-%d", i)
	}
	b.ReportAllocs()
	for b.Loop() {
		Best("endpoint-17#0", ids)
	}
}

// Position must return the index of an id in Rank's result, and -1 for an unknown id.
func TestPositionMatchesRank(t *testing.T) {
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprint("vm", i))
	}
	for key := range 50 {
		for place, id := range Rank(fmt.Sprint(key), ids) {
			require.Equal(t, place, Position(fmt.Sprint(key), id, ids))
		}
	}
	require.Equal(t, -1, Position("key", "unknown", ids))
}
