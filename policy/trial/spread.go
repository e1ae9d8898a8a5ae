package trial

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// spreadGroups is the number of groups of endpoints whose answers are counted apart. Counts by endpoint would
// leave no room in a datagram.
const spreadGroups = 16

// Spread counts a version's answers, and those of them that were errors of endpoints, by groups of endpoints.
// Broken connections are no errors here.
type Spread struct {
	_               struct{} `cbor:",toarray"`
	Answers, Errors [spreadGroups]uint64
}

// count counts an answer of an endpoint.
func (s *Spread) count(endpoint string, failed bool) {
	g := xxhash.Sum64String(endpoint) % spreadGroups
	s.Answers[g]++
	if failed {
		s.Errors[g]++
	}
}

func (s *Spread) add(o Spread) {
	for g := range spreadGroups {
		s.Answers[g] += o.Answers[g]
		s.Errors[g] += o.Errors[g]
	}
}

// since returns the counts since an earlier state. A VM whose counts were known then may be unknown now.
func (s Spread) since(o Spread) Spread {
	for g := range spreadGroups {
		s.Answers[g] -= min(o.Answers[g], s.Answers[g])
		s.Errors[g] -= min(o.Errors[g], s.Errors[g])
	}
	return s
}

// sum returns the counts of all groups.
func (s Spread) sum() LoadCounts {
	var c LoadCounts
	for g := range spreadGroups {
		c.Answers += s.Answers[g]
		c.Errors += s.Errors[g]
	}
	return c
}

// best returns the counts of the half of the groups with the lowest rates of errors, rounded down. Faulty endpoints
// leave most of that half without errors, a bad version doesn't. There are none with fewer than two groups, which don't
// tell the two apart.
func (s Spread) best() (c LoadCounts) {
	var used []int
	for g, n := range s.Answers {
		if n > 0 {
			used = append(used, g)
		}
	}
	slices.SortFunc(used, func(a, b int) int {
		return cmp.Compare(rate(s.Errors[a], s.Answers[a]), rate(s.Errors[b], s.Answers[b]))
	})
	for _, g := range used[:len(used)/2] {
		c.Answers += s.Answers[g]
		c.Errors += s.Errors[g]
	}
	return c
}

// String formats the counts for log lines: errors and answers of all groups, and of the half with the lowest rates.
func (s Spread) String() string {
	all, best := s.sum(), s.best()
	return fmt.Sprintf("%d/%d, best half %d/%d", all.Errors, all.Answers, best.Errors, best.Answers)
}
