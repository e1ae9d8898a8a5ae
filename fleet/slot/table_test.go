package slot

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// storm has a fault every second or two, far more than occurs in operation.
var storm = faults{crash: 0.02, pause: 0.03, partition: 0.02, outage: 0.02, change: 0.05, loss: 0.1, latency: 1500 * time.Millisecond}

var calm = faults{latency: 50 * time.Millisecond}

// Processes crash, restart and pause with grants in hand, links fail in one direction,
// platform replies are lost, epochs are proposed from wrong views, and messages arrive
// late and out of order. An endpoint in cold start must never run more than its limit,
// or it fails again.
func TestColdLimitHoldsInAStorm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := storm
		// Each kind of fault occurs alone, in pairs and all together.
		for _, chance := range []*float64{&f.crash, &f.pause, &f.partition, &f.outage, &f.change, &f.loss} {
			*chance *= rapid.SampledFrom([]float64{0, 0.2, 1, 3}).Draw(t, "times")
		}
		f.loss = min(f.loss, 0.2)
		m := newModel(rapid.Uint64().Draw(t, "seed"), exact, f, rapid.IntRange(1, 6).Draw(t, "procs"), rapid.IntRange(1, 3).Draw(t, "limit"))
		m.run(10 * time.Minute)
		require.Zero(t, m.overshot)
	})
}

// Without faults the slots must also be used: a table that grants nothing would keep
// the limit trivially.
func TestColdSlotsAreUsed(t *testing.T) {
	m := newModel(1, exact, calm, 4, 3)
	m.run(3 * time.Minute)
	require.Zero(t, m.overshot)
	// Two endpoints with three slots, with jobs of 4.5 s on average and about 1.5 s
	// between two jobs, run at most 180 jobs; the difference is the start phase.
	require.Greater(t, m.started, 120)
}

// A slot moves from process a to b and on to c, and b never used it. c must obtain it by
// a request to b, after b has requested the handover from a. Otherwise the slot would
// stay idle for Params.Wait.
func TestSlotThatMovesTwiceIsHandedOn(t *testing.T) {
	procs := []Process{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 1}, {ID: "c", Incarnation: 1}}
	now := time.Unix(1000, 0)
	var tables []*Table
	for _, p := range procs {
		tables = append(tables, NewTable(p, Defaults))
	}
	e := Epoch{}
	for _, p := range procs {
		e = e.next([]Process{p})
		for _, table := range tables {
			table.Observe(now, now, e, int64(e.Number))
		}
	}
	require.False(t, tables[1].HandOver(now, "e", 0, 3))
	before, ok := tables[1].PriorHandOver(now, "e", 0, 3)
	require.True(t, ok)
	require.Equal(t, Source{Kind: Handover, Process: procs[0], Epoch: 2}, before)
	require.True(t, tables[0].HandOver(now, "e", 0, 2))
	tables[1].RecordHandOver("e", 0, 2)
	require.True(t, tables[1].HandOver(now, "e", 0, 3))
	tables[2].RecordHandOver("e", 0, 3)
	_, ok, _ = tables[2].Acquire(now, "e", 1)
	require.True(t, ok)
}

// BenchmarkSharing compares the sharing policies under the same faults, with seven VMs
// and two endpoints with a limit of 4: starts above the limit, requests run, and the
// mean over the runs of the longest time without a start at an endpoint.
func BenchmarkSharing(b *testing.B) {
	names := []string{"exact", "one-owner", "leased-owner", "even-ceil", "even-floor", "optimistic"}
	churn := faults{crash: 0.002, pause: 0.002, partition: 0.001, outage: 0.002, loss: 0.01, latency: 50 * time.Millisecond}
	for _, trouble := range []struct {
		name   string
		faults faults
	}{{"calm", calm}, {"churn", churn}, {"storm", storm}} {
		for p, policyName := range names {
			b.Run(fmt.Sprintf("%s/%s", trouble.name, policyName), func(b *testing.B) {
				started, overshot, stalled := 0, 0, time.Duration(0)
				for b.Loop() {
					started, overshot, stalled = 0, 0, 0
					for seed := range uint64(20) {
						m := newModel(seed+1, policy(p), trouble.faults, 7, 4)
						m.run(3 * time.Minute)
						started += m.started
						overshot += m.overshot
						stalled += m.stalled
					}
				}
				b.ReportMetric(float64(overshot), "overshoots")
				b.ReportMetric(float64(started), "requests")
				b.ReportMetric(stalled.Seconds()/20, "s-longest-stall")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// A slot moves from process a to b, back, and to b again while a's first handover reply is
// under way. The late reply refers to the first tenure; a may have used the slot since,
// so b must ask again.
func TestLateHandoverAnswerIsIgnored(t *testing.T) {
	a, b := Process{ID: "a", Incarnation: 1}, Process{ID: "b", Incarnation: 1}
	now := time.Unix(1000, 0)
	table := NewTable(b, Defaults)
	e := Epoch{}
	for _, holder := range []Process{a, b, a, b} {
		e = e.next([]Process{holder})
		now = now.Add(time.Second)
		table.Observe(now, now, e, int64(e.Number))
	}
	table.RecordHandOver("e", 0, 2)
	_, ok, sources := table.Acquire(now, "e", 1)
	require.False(t, ok)
	require.Equal(t, []Source{{Kind: Handover, Process: a, Epoch: 4}}, sources)
	table.RecordHandOver("e", 0, 4)
	_, ok, _ = table.Acquire(now, "e", 1)
	require.True(t, ok)
}
