package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/tally"
	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/placement"
)

// demandVM is a VM of which only the admission runs, with two endpoints of 30 slots together.
func demandVM(managed bool) *Node {
	n := &Node{table: placement.New("a"), registry: prometheus.NewRegistry(), sums: make(map[uint8]sumTopic)}
	n.vms = cached[[]string]{at: time.Duration(1<<63 - 1)} // bootClock isn't virtual
	n.vms.last = []string{"vm1", "vm2"}
	if managed {
		n.table.SetAllManaged()
	}
	for _, id := range []string{"e1", "e2"} {
		n.table.Set(time.Now(), placement.Spec{ID: id, Service: "s", Address: id, Version: "v1", Slots: 15})
	}
	n.demand = newDemand(n)
	return n
}

// load makes each VM send requests for a second: `requests` that hold a slot for a second, of which one in
// five is rejected.
func load(n *Node, requests int) {
	g := n.demand.gate("s")
	for i := range requests {
		now := time.Now()
		g.Arrive(now, admission.Arrival{Account: "acme", Left: time.Minute})
		g.Held(now, 0, time.Second)
		g.Sent(now, "v1")
		g.Ended(now, i%5 == 0)
		time.Sleep(time.Second / time.Duration(requests))
	}
}

// Guards against a service that isn't managed and is refused or costs messages.
func TestUnmanagedServicesTakeNoPart(t *testing.T) {
	n := demandVM(false)
	require.Nil(t, n.demand.gate("s"))
	require.Nil(t, n.demand.collect())
	n.table.ReportSlowdown(time.Now(), "e1", 100)
	require.NotNil(t, n.demand.gate("s"))
	require.NotNil(t, n.demand.collect())
}

// Guards against totals with the figures of an ended VM or of its earlier life, and against a VM without a keeper that uses old totals or the whole capacity.
func TestDemandFollowsTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm1, vm2, keeper := demandVM(true), demandVM(true), tally.NewAggregator()
		began := time.Now()
		exchange := func(incarnation, sequence uint64) {
			clock := time.Since(began)
			keeper.RecordSums(clock, "vm1", 1, sequence, tally.TopicSums{Topic: topicDemand, List: vm1.demand.collect()}, false)
			if vm2 != nil {
				keeper.RecordSums(clock, "vm2", incarnation, sequence, tally.TopicSums{Topic: topicDemand, List: vm2.demand.collect()}, false)
			}
			vm1.applySums(keeper.SumTotals(clock, topicDemand, true))
		}
		report := func() admission.Report { return vm1.demand.reports()["s"] }
		load(vm1, 10)
		exchange(1, 1)
		require.InDelta(t, 30, report().Capacity, 1e-9)
		alone := report().Offered
		load(vm2, 100)
		exchange(1, 2)
		require.Greater(t, report().Offered, 5*alone, "with the other VM's")
		vm2 = demandVM(true) // it starts again
		vm2.demand.gate("s")
		exchange(2, 1)
		require.Less(t, report().Offered, alone, "an earlier life")
		load(vm2, 100)
		exchange(2, 2)
		require.Greater(t, report().Offered, 5*alone)
		vm2 = nil // it ended
		time.Sleep(2*time.Second + 1)
		exchange(2, 3)
		require.Less(t, report().Offered, alone)
		require.False(t, report().OwnOnly)
		time.Sleep(2*time.Second + 1)
		vm1.demand.tick()
		require.True(t, report().OwnOnly, "no keeper answers")
		require.InDelta(t, 15, report().Capacity, 1e-9)
	})
}
