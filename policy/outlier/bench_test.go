package outlier

import (
	"fmt"
	"testing"
)

func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{100, 500, 2000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			d, names := newPool(n)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				d.Record(start, Result{Endpoint: names[i%n], Failed: i%50 == 0})
				i++
			}
		})
	}
}
