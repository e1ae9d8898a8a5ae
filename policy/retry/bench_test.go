package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func BenchmarkBudget(b *testing.B) {
	for _, accounts := range []int{10, 1000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			budget, rng := New(Ratio), rand.New(rand.NewPCG(seed, 0))
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint("a", i)
			}
			a, i := attempt(), 0
			b.ReportAllocs()
			for b.Loop() {
				a.Account = names[i%accounts]
				i++
				budget.RecordFirst(a.Account, 1)
				budget.Decide(start, rng, a)
			}
		})
	}
}
