package address

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawCandidates(t *rapid.T) []Candidate {
	n := rapid.IntRange(0, 12).Draw(t, "n")
	all := make([]Candidate, n)
	for i := range all {
		all[i] = Candidate{
			ID: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "dc"),
			Load:       rapid.Uint16Range(0, 1000).Draw(t, "load"),
			Leaving:    rapid.Bool().Draw(t, "leaving"), Suspected: rapid.Bool().Draw(t, "doubtful"),
		}
	}
	return all
}

// Operators take a data centre out of service and VMs leave. No answer may name these
// VMs, the answer must not depend on the order of the candidates, which differs between
// VMs, and a VM that is removed must move only the callers that used it.
func TestChooseNamesOnlyVMsThatTakeCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawCandidates(t)
		out := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "out")
		q := Query{Caller: rapid.StringMatching(`[a-z]{1,6}`).Draw(t, "caller"), DataCentre: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "near")}
		view := func(c []Candidate) View { return View{Candidates: c, IsOut: func(dc string) bool { return dc == out }} }
		answer := Choose(q, view(all))
		byAddress := map[string]Candidate{}
		may := 0
		for _, c := range all {
			byAddress[c.Address] = c
			if !c.Leaving && c.DataCentre != out {
				may++
			}
		}
		require.Len(t, answer.Addresses, min(may, MaxAddresses))
		for _, a := range answer.Addresses {
			require.False(t, byAddress[a].Leaving || byAddress[a].DataCentre == out)
		}
		require.Equal(t, answer, Choose(q, view(rapid.Permutation(all).Draw(t, "shuffled"))))
		if len(all) > 0 && len(answer.Addresses) > 0 {
			gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
			rest := Choose(q, view(slices.Delete(slices.Clone(all), gone, gone+1)))
			if all[gone].Address != answer.Addresses[0] {
				require.Equal(t, answer.Addresses[0], rest.Addresses[0])
			}
		}
	})
}

// One VM of four is nearly full. Callers must be spread over the near VMs in proportion
// to their free capacity, or the full VM would still get an equal share.
func TestChooseSpreadsByFreeCapacity(t *testing.T) {
	const callers = 8000
	view := View{Candidates: []Candidate{
		{ID: "a1", Address: "a1", DataCentre: "a"}, {ID: "a2", Address: "a2", DataCentre: "a"},
		{ID: "a3", Address: "a3", DataCentre: "a", Load: 990}, {ID: "b1", Address: "b1", DataCentre: "b"},
	}}
	first := map[string]int{}
	for i := range callers {
		first[Choose(Query{Caller: fmt.Sprint(i), DataCentre: "a"}, view).Addresses[0]]++
	}
	require.Zero(t, first["b1"])
	// The free capacities are 4, 4 and 1 of 9; five standard deviations are about 220.
	require.InDelta(t, callers*4/9, first["a1"], 220)
	require.InDelta(t, callers/9, first["a3"], 140)
}
