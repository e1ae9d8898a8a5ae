package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/policy/admission"
)

// A pool with one free slot receives three requests. The first runs, the second is
// queued, and the third is refused with a retry time since it cannot complete by its
// deadline.
func Example() {
	now := time.Unix(0, 0)
	q := admission.New(admission.Config{SecondsPerUnit: 1}, rand.New(rand.NewPCG(1, 0)))
	q.SetCapacity(now, 1)
	offer := func(id uint64, within time.Duration) admission.Verdict {
		return q.Offer(now, admission.Item{
			ID: id, Account: "baker", Class: config.ClassInteractive, Size: 4, Deadline: now.Add(within),
		})
	}
	fmt.Println(offer(1, time.Minute).Outcome == admission.Run)
	fmt.Println(offer(2, time.Minute).Outcome == admission.Queued)
	late := offer(3, 5*time.Second)
	fmt.Println(late.Outcome == admission.Refused, late.Reason, late.RetryAfter > 0)

	now = now.Add(4 * time.Second)
	q.Release(now, admission.Item{ID: 1, Account: "baker", Size: 4}, 4*time.Second, 4)
	next, ok := q.Next(now)
	fmt.Println(next.ID, ok)
	// Output:
	// true
	// true
	// true deadline true
	// 2 true
}
