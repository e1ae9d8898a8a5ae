package slot

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// storm is far more trouble than any day brings: something breaks every second or two.
var storm = faults{crash: 0.02, freeze: 0.03, cut: 0.02, outage: 0.02, change: 0.05, loss: 0.1, latency: 1500 * time.Millisecond}

var calm = faults{latency: 50 * time.Millisecond}

// Processes crash and restart, are paused with grants in hand, are cut from one
// another one way, lose the platform and replies from it, propose epochs from
// wrong views, and messages come late and crossed. An endpoint in cold start must
// never run more than it bears: the caller would see it fall over again.
func TestColdLimitHoldsInAStorm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := storm
		// Each kind of fault alone, in pairs and all together.
		for _, chance := range []*float64{&f.crash, &f.freeze, &f.cut, &f.outage, &f.change, &f.loss} {
			*chance *= rapid.SampledFrom([]float64{0, 0.2, 1, 3}).Draw(t, "times")
		}
		f.loss = min(f.loss, 0.2)
		m := newModel(rapid.Uint64().Draw(t, "seed"), exact, f, rapid.IntRange(1, 6).Draw(t, "procs"), rapid.IntRange(1, 3).Draw(t, "limit"))
		m.run(10 * time.Minute)
		require.Zero(t, m.overshot)
	})
}

// With nothing broken the limit must also be used, or it would be exact by doing nothing.
func TestColdSlotsAreUsed(t *testing.T) {
	m := newModel(1, exact, calm, 4, 3)
	m.run(3 * time.Minute)
	require.Zero(t, m.overshot)
	// Two endpoints with three slots, jobs of 4.5 s on average and about one and a half
	// between two jobs run at most 180; the rest goes to the start.
	require.Greater(t, m.started, 120)
}

// A slot goes from a to b and on to c, and b never wanted it. c must get it by
// asking: b has it handed over by a first. Else it would stand idle for the wait.
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
	before, ok := tables[1].HandOverNeeds(now, "e", 0, 3)
	require.True(t, ok)
	require.Equal(t, Ask{Kind: Handover, Process: procs[0], Epoch: 2}, before)
	require.True(t, tables[0].HandOver(now, "e", 0, 2))
	tables[1].HandedOver("e", 0, 2)
	require.True(t, tables[1].HandOver(now, "e", 0, 3))
	tables[2].HandedOver("e", 0, 3)
	_, ok, _ = tables[2].Acquire(now, "e", 1)
	require.True(t, ok)
}

// BenchmarkSharing measures each way to share slots under the same churn (seeds
// 1 to 20, seven VMs, two endpoints that bear 4): starts above the limit, requests run, and the
// longest time an endpoint got nothing, mean over the seeds.
func BenchmarkSharing(b *testing.B) {
	names := []string{"exact", "one-owner", "leased-owner", "even-ceil", "even-floor", "optimistic"}
	churn := faults{crash: 0.002, freeze: 0.002, cut: 0.001, outage: 0.002, loss: 0.01, latency: 50 * time.Millisecond}
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

// A slot goes from a to b, back and to b again while a's first "it is free" is on
// its way. The late answer speaks of the first time; a may be using the slot since,
// so b must ask again.
func TestLateHandoverAnswerCountsForNothing(t *testing.T) {
	a, b := Process{ID: "a", Incarnation: 1}, Process{ID: "b", Incarnation: 1}
	now := time.Unix(1000, 0)
	table := NewTable(b, Defaults)
	e := Epoch{}
	for _, holder := range []Process{a, b, a, b} {
		e = e.next([]Process{holder})
		now = now.Add(time.Second)
		table.Observe(now, now, e, int64(e.Number))
	}
	table.HandedOver("e", 0, 2)
	_, ok, asks := table.Acquire(now, "e", 1)
	require.False(t, ok)
	require.Equal(t, []Ask{{Kind: Handover, Process: a, Epoch: 4}}, asks)
	table.HandedOver("e", 0, 4)
	_, ok, _ = table.Acquire(now, "e", 1)
	require.True(t, ok)
}
