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
	// excess of others. It covers times at which all traffic is 1.8 times the usual one. With 1.5,
	// requests of accounts that send as usual were refused at such times for the excess of others.
	// usualAllowance, in requests a second, covers the chance in the arrivals of a small account.
	usualMargin    = 2.0
	usualAllowance = 1.0
)

// demand is what one account asks for at one rank, in requests a second until gateState.toSlots
// converts it to slots.
type demand struct {
	key  uint32
	rank int
	// offered is the recent demand, usual the demand that counts as usual; 0 if it isn't known.
	offered, usual float64
	// returning is the part of the offered demand that returns after a refusal.
	returning float64
	// small says that it is that of all accounts of the rank that aren't listed.
	small bool
}

// share is the part of the requests of an account and rank that are admitted: of all of them, of those
// that return after a refusal, and of the first ones.
type share struct{ all, returning, first float64 }

var fullShare = share{1, 1, 1}

// unmeasuredPreference is how many times as many returning requests are admitted before they are measured.
const unmeasuredPreference = 3.0

// newShare serves returning requests first.
func newShare(got float64, d demand) share {
	returning := min(got, d.returning)
	s := share{all: got / d.offered, first: 1}
	// Before the first returning requests are in the totals, all of them would be admitted.
	s.returning = min(unmeasuredPreference*s.all, 1)
	if d.returning > 0 {
		s.returning = returning / d.returning
	}
	if first := d.offered - d.returning; first > 0 {
		s.first = min((got-returning)/first, 1)
	}
	return s
}

// allocate returns the part of each demand that the capacity serves. Demand up to the usual one
// comes first, so that accounts that send as usual don't pay for those that send more; then comes
// the excess. Both go by rank, most urgent first, and by fair shares of accounts within a rank.
func allocate(capacity float64, demands []demand) []float64 {
	usual, excess := make([]float64, len(demands)), make([]float64, len(demands))
	for i, d := range demands {
		usual[i] = min(d.offered, d.usual)
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
