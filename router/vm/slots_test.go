package vm

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func vmNames(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("vm-%03d", i)
	}
	return ids
}

// VMs with one view of the fleet must deal all of an endpoint's slots, and each once.
func TestSharesAddUp(t *testing.T) {
	for _, n := range []int{1, 2, 7, 40} {
		ids := vmNames(n)
		for _, slots := range []int{1, 8, 16, 100} {
			sum, least, most := 0, slots, 0
			for _, id := range ids {
				s := sharesOf(id, ids).Share("runner-1", slots)
				sum, least, most = sum+s, min(least, s), max(most, s)
			}
			require.Equal(t, slots, sum)
			require.LessOrEqual(t, most-least, 1)
		}
	}
}

func sharesOf(self string, ids []string) *slots {
	s := &slots{self: self}
	s.deal(ids)
	return s
}

// BenchmarkShare is one endpoint's share; a change of the fleet asks for each endpoint's.
func BenchmarkShare(b *testing.B) {
	for _, n := range []int{7, 28, 112, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := sharesOf("vm-003", vmNames(n))
			b.ReportAllocs()
			for b.Loop() {
				s.Share("runner-1", 8)
			}
		})
	}
}
