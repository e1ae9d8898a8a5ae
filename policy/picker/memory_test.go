package picker

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkMemory reports the heap that a table occupies, with an empty and with a full
// prefix index.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{100, 500, 2000} {
		for _, prefixes := range []int{0, maxPrefixEntries} {
			b.Run(fmt.Sprintf("endpoints=%d/prefixes=%d", n, prefixes), func(b *testing.B) {
				specs := fleet(n, 19, 4)
				for b.Loop() {
					before := heap()
					tab := newTable(specs)
					for h := range uint64(prefixes) {
						tab.ApplyCacheEvent(specs[int(h)%n].Name, CacheEvent{Sequence: h/uint64(n) + 1, Stored: []uint64{h}})
					}
					b.ReportMetric(float64(heap()-before), "heap-B")
					runtime.KeepAlive(tab)
				}
			})
		}
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
