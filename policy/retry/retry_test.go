package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const seed = 5

var start = time.Unix(1_700_000_000, 0)

func attempt() Attempt {
	return Attempt{Account: "a", Idempotent: true, Made: 1, Size: 1, Deadline: start.Add(time.Minute), Expected: time.Second}
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Attempt)
		want   Reason
	}{
		{"idempotent", func(*Attempt) {}, ReasonNone},
		{"a refund", func(a *Attempt) { a.Idempotent = false }, ReasonNotIdempotent},
		{"third attempt failed", func(a *Attempt) { a.Made = MaxAttempts }, ReasonAttempts},
		{"forwarded too often", func(a *Attempt) { a.Hops = MaxHops + 1 }, ReasonHops},
		{"no time left", func(a *Attempt) { a.Expected = time.Hour }, ReasonDeadline},
		{"another account's credit", func(a *Attempt) { a.Account = "b" }, ReasonAccountBudget},
		{"a hedge while the pool has little", func(a *Attempt) { a.Hedge = true }, ReasonPoolBudget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := New(Ratio)
			for range 11 {
				b.RecordFirst("a", 1)
			}
			a := attempt()
			c.change(&a)
			d := b.Decide(start, rand.New(rand.NewPCG(seed, 0)), a)
			require.Equal(t, c.want, d.Reason)
			require.Equal(t, c.want == ReasonNone, d.Again)
		})
	}
}

// TestExtraWork guards against retry storms. All attempts fail, and the repeated work
// must stay within a tenth of the first attempts, plus one attempt that may be larger
// than a full balance, regardless of the duration and the accounts.
func TestExtraWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Ratio)
		rng := rand.New(rand.NewPCG(seed, 0))
		first, extra, largest := 0.0, 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			a := attempt()
			a.Account = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
			a.Size = rapid.Float64Range(0.1, 10).Draw(t, "size")
			b.RecordFirst(a.Account, a.Size)
			first += a.Size
			largest = max(largest, a.Size)
			for b.Decide(start, rng, a).Again {
				extra += a.Size
				a.Made++
			}
		}
		require.LessOrEqual(t, extra, Ratio*first+largest)
	})
}

// Guards against VMs that retry more than the ratio allows because each start gives them a balance, or leaves a debt behind.
func TestExtraWorkOfVMsThatRestart(t *testing.T) {
	for _, requests := range []int{1, 5, 30, 300} {
		t.Run(fmt.Sprint(requests, " requests a life"), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			first, extra := 0.0, 0.0
			for range 3000 / requests {
				b := New(Ratio)
				for range requests {
					a := attempt()
					b.RecordFirst(a.Account, a.Size)
					first += a.Size
					for b.Decide(start, rng, a).Again {
						extra += a.Size
						a.Made++
					}
				}
			}
			require.LessOrEqual(t, extra, Ratio*first)
		})
	}
}

func TestHedgeAfter(t *testing.T) {
	require.Equal(t, 2*time.Second, HedgeDelay(time.Second, time.Minute))
	require.Equal(t, 1500*time.Millisecond, HedgeDelay(time.Second, 2500*time.Millisecond), "early enough for a second attempt")
	require.Equal(t, time.Second, HedgeDelay(time.Second, time.Second), "not before the first attempt's expected time")
	require.Equal(t, minHedgeDelay, HedgeDelay(time.Millisecond, time.Minute))
}
