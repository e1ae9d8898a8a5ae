package vm

import (
	"fmt"
	"testing"
)

// BenchmarkSlopeTokens measures the time of one stream by its length. With -cpu 1 that is
// the processor time of client, router and stand-in together.
func BenchmarkSlopeTokens(b *testing.B) {
	w := newBenchTestbed(b)
	for _, tokens := range []int{10, 100, 1000} {
		for _, way := range []string{"direct", "routed"} {
			b.Run(fmt.Sprintf("%s/%d", way, tokens), func(b *testing.B) {
				for b.Loop() {
					discardBody(b, post(b, w.urls()[way], tokens))
				}
			})
		}
	}
}
