package picker_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"goldcrestfork/policy/limit"
	"goldcrestfork/policy/picker"
)

// Two endpoints serve a version. One is leaving, and the other has one slot for this VM.
func Example() {
	now, rng := time.Unix(0, 0), rand.New(rand.NewPCG(1, 0))
	t := picker.NewTable(picker.DefaultConfig(picker.WeightsCost))
	t.SetEndpoints([]picker.Spec{
		{Name: "a", Pools: []string{"ierburi-2"}, Bounds: limit.Bounds{Slots: 4, Cold: 1}},
		{Name: "b", Pools: []string{"ierburi-2"}, Bounds: limit.Bounds{Slots: 1, Cold: 1}},
	})
	t.Update("a", func(s *picker.State) { s.Leaving = true })

	r := &picker.Request{Pool: "ierburi-2"}
	e, _ := t.Pick(now, rng, r)
	fmt.Println(e.Name)
	_, miss := t.Pick(now, rng, r)
	fmt.Println(miss)

	t.Release(now.Add(time.Second), e, r, limit.Sample{Latency: time.Second, Size: 1})
	e, _ = t.Pick(now, rng, r)
	fmt.Println(e.Name)
	// Output:
	// b
	// full
	// b
}
