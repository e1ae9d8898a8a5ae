package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/forward"
	"goldcrestfork/policy/pace"
	"goldcrestfork/policy/placement"
)

// Guards against an accepted version whose endpoints get any load, whose bound ends with its roll-out or stays for the next version, or that other VMs learn nothing of.
func TestLoadOfAnAcceptedVersionIsBounded(t *testing.T) {
	o := newOrders()
	table := o.n.table
	for _, id := range []string{"a", "b"} {
		table.Set(time.Now(), placement.Spec{ID: id, Address: id, Service: "s", DataCentre: "dc", Version: "v2", Slots: 64})
	}
	fill := func() (n int) {
		var choices []placement.Choice
		for n < 100 {
			c, miss := table.Pick(time.Now(), rand.New(rand.NewPCG(1, 1)), &placement.Request{Service: "s", Version: "v2", Work: 1})
			if miss != placement.Picked {
				break
			}
			choices = append(choices, c)
			n++
		}
		for _, c := range choices {
			table.Done(time.Now(), c, placement.NoSignal)
		}
		return n
	}
	bound := func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.boundLoad(bootClock(), o.orders["s"])
	}
	answer := func(version string, load int) {
		o.RecordAnswer(forward.AnswerResult{Service: "s", Version: version, Route: "r", Answer: pace.Answer{Head: time.Millisecond}, InFlight: load, Slots: 64})
	}
	o.receive("v2", 10, catalog.RollOutRunning)
	for range 50 {
		answer("v1", 4)
	}
	bound()
	require.Equal(t, 100, fill(), "not in the trial")
	for _, state := range []catalog.RollOutState{catalog.RollOutMoving, catalog.RollOutCompleted} {
		o.receive("v2", 10, state)
		bound()
		require.Equal(t, 5+8, fill(), state)
	}
	require.Len(t, o.reports(bootClock(), maxPayloadBytes), 1, "other VMs count the answers too")
	for range 20 {
		answer("v2", 8)
	}
	bound()
	require.Greater(t, fill(), 5+8, "the load was seen with good answers")
	o.receive("v3", 20, catalog.RollOutRunning)
	bound()
	require.Equal(t, 100, fill(), "the bound is that of another order")
}
