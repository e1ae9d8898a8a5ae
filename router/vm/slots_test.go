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

// VMs with the same view of the fleet must assign each slot of an endpoint exactly once.
func TestSlotSharesSumToAllSlots(t *testing.T) {
	for _, n := range []int{1, 2, 7, 40} {
		ids := vmNames(n)
		for _, slots := range []int{1, 8, 16, 100} {
			sum, least, most := 0, slots, 0
			for _, id := range ids {
				s := newWarmSlots(id, ids).Share("runner-1", slots)
				sum, least, most = sum+s, min(least, s), max(most, s)
			}
			require.Equal(t, slots, sum)
			require.LessOrEqual(t, most-least, 1)
		}
	}
}

func newWarmSlots(self string, ids []string) *slots {
	s := &slots{self: self}
	s.setLive(ids)
	return s
}

// BenchmarkShare measures one endpoint's share. A change of the fleet computes it for
// every endpoint.
func BenchmarkShare(b *testing.B) {
	for _, n := range []int{7, 28, 112, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newWarmSlots("vm-003", vmNames(n))
			b.ReportAllocs()
			for b.Loop() {
				s.Share("runner-1", 8)
			}
		})
	}
}
