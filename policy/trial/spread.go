package trial

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// spreadGroups is the number of groups of endpoints whose answers are counted apart. Counts by endpoint would
// leave no room in a datagram.
const spreadGroups = 32

// Spread counts a version's answers, and those of them that were errors of endpoints, by groups of endpoints.
// Broken connections are no errors here. The counts wrap around, so that they take few bytes for good.
type Spread struct {
	_               struct{} `cbor:",toarray"`
	Answers, Errors [spreadGroups]uint16
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

// since returns the counts since an earlier state.
func (s Spread) since(o Spread) Spread {
	for g := range spreadGroups {
		s.Answers[g] -= o.Answers[g]
		s.Errors[g] -= o.Errors[g]
	}
	return s
}

// sum returns the counts of all groups.
func (s Spread) sum() LoadCounts {
	var c LoadCounts
	for g := range spreadGroups {
		c.Answers += uint64(s.Answers[g])
		c.Errors += uint64(s.Errors[g])
	}
	return c
}

// best returns the counts of the third of the groups with the lowest rates of errors, rounded down, but one at least.
// Faulty endpoints leave most of that third without errors, a bad version doesn't. There are none with fewer than two
// groups, which don't tell the two apart.
func (s Spread) best() (c LoadCounts) {
	var used []int
	for g, n := range s.Answers {
		if n > 0 {
			used = append(used, g)
		}
	}
	errors := func(g int) float64 { return rate(uint64(s.Errors[g]), uint64(s.Answers[g])) }
	slices.SortFunc(used, func(a, b int) int { return cmp.Compare(errors(a), errors(b)) })
	if len(used) < 2 {
		return c
	}
	for _, g := range used[:max(len(used)/3, 1)] {
		c.Answers += uint64(s.Answers[g])
		c.Errors += uint64(s.Errors[g])
	}
	return c
}

// String formats the counts for log lines: errors and answers of all groups, and of the third with the lowest rates.
func (s Spread) String() string {
	all, best := s.sum(), s.best()
	return fmt.Sprintf("%d/%d, best third %d/%d", all.Errors, all.Answers, best.Errors, best.Answers)
}
