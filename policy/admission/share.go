package admission

import (
	"cmp"
	"slices"
)

const (
	// rankFloor is the share of the capacity that each lower rank with demand keeps, so that a
	// flood of urgent requests doesn't stop the others entirely.
	rankFloor = 0.1
	// usualMargin is the multiple of its usual demand up to which an account is served before the
	// excess of others. The demand of a small account varies by half from second to second.
	usualMargin = 1.5
)

// demand is what one account asks for at one rank, in slots: arrivals per second times the time
// that each holds a slot.
type demand struct {
	key  uint32
	rank int
	// offered is the recent demand, usual that before the overload; 0 if it isn't known.
	offered, usual float64
}

// allocate returns the part of each demand that the capacity serves. Demand up to the usual one
// comes first, so that accounts that send as usual don't pay for those that send more; then comes
// the excess. Both go by rank, most urgent first, and by fair shares of accounts within a rank.
func allocate(capacity float64, demands []demand) []float64 {
	usual, excess := make([]float64, len(demands)), make([]float64, len(demands))
	for i, d := range demands {
		usual[i] = min(d.offered, usualMargin*d.usual)
	}
	got := allocateByRank(capacity, demands, usual)
	for i, d := range demands {
		excess[i] = d.offered - got[i]
		capacity -= got[i]
	}
	for i, more := range allocateByRank(max(capacity, 0), demands, excess) {
		got[i] += more
	}
	return got
}

// allocateByRank serves the wanted work in the order of the ranks. Each lower rank keeps rankFloor of
// the capacity as far as it wants it.
func allocateByRank(capacity float64, demands []demand, want []float64) []float64 {
	byRank := make(map[int][]int)
	wanted := make(map[int]float64)
	reserved := 0.0
	for i, d := range demands {
		byRank[d.rank] = append(byRank[d.rank], i)
		wanted[d.rank] += want[i]
	}
	for _, w := range wanted {
		reserved += min(w, rankFloor*capacity)
	}
	left := capacity
	got := make([]float64, len(demands))
	ranks := make([]int, 0, len(byRank))
	for rank := range byRank {
		ranks = append(ranks, rank)
	}
	slices.Sort(ranks)
	for _, rank := range ranks {
		reserved -= min(wanted[rank], rankFloor*capacity)
		part := min(wanted[rank], max(left-reserved, 0))
		left -= part
		fillShares(part, byRank[rank], want, got)
	}
	return got
}

// fillShares divides the capacity by fair shares: who wants less than its share gets all of it, and
// the rest goes to those that want more.
func fillShares(capacity float64, members []int, want, got []float64) {
	slices.SortFunc(members, func(a, b int) int { return cmp.Compare(want[a], want[b]) })
	for n, i := range members {
		got[i] = min(want[i], capacity/float64(len(members)-n))
		capacity -= got[i]
	}
}
