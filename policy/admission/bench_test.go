package admission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"goldcrestfork/config"
)

// BenchmarkDecision measures the offer, start and completion of one item while other
// accounts and items are queued.
func BenchmarkDecision(b *testing.B) {
	for _, accounts := range []int{10, 100} {
		for _, waiting := range []int{0, 100, 1000, 4000} {
			b.Run(fmt.Sprintf("accounts=%d/waiting=%d", accounts, waiting), func(b *testing.B) {
				q := newMeasuredQueue(1)
				next := uint64(0)
				offer := func() {
					next++
					it := item(next, fmt.Sprint("a", next%uint64(accounts)), config.ClassInteractive, 1000*time.Hour)
					q.Offer(start, it)
				}
				for range waiting + 1 {
					offer()
				}
				q.Refused(start)
				running := item(1, "a1", config.ClassInteractive, 0)
				b.ReportAllocs()
				for b.Loop() {
					offer()
					q.Release(start, running, time.Second, 1)
					running, _ = q.Next(start)
					q.Refused(start)
				}
			})
		}
	}
}

// BenchmarkCheck measures the scan of the queue, which runs ten times a second.
func BenchmarkCheck(b *testing.B) {
	for _, waiting := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := newMeasuredQueue(1)
			for id := range uint64(waiting) {
				q.Offer(start, item(id, fmt.Sprint("a", id%10), config.ClassInteractive, 1000*time.Hour))
			}
			now := start
			for b.Loop() {
				now = now.Add(checkInterval)
				q.Refused(now)
			}
		})
	}
}

// BenchmarkMemory reports the heap that queued items occupy, without the memory behind
// their Value.
func BenchmarkMemory(b *testing.B) {
	for _, waiting := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				q := newMeasuredQueue(1)
				for id := range uint64(waiting) {
					q.Offer(start, item(id, "a", config.ClassInteractive, 1000*time.Hour))
				}
				b.ReportMetric(float64(heap()-before), "heap-B")
				runtime.KeepAlive(q)
			}
		})
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
