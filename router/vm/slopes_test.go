package vm

import (
	"fmt"
	"testing"
)

// BenchmarkSlopeTokens is the time of one stream by its length; with -cpu 1 it is
// the processor time of client, router and stand-in together.
func BenchmarkSlopeTokens(b *testing.B) {
	w := benchWorld(b)
	for _, tokens := range []int{10, 100, 1000} {
		for _, way := range []string{"direct", "routed"} {
			b.Run(fmt.Sprintf("%s/%d", way, tokens), func(b *testing.B) {
				for b.Loop() {
					drain(b, post(b, w.urls()[way], tokens))
				}
			})
		}
	}
}
