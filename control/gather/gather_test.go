package gather

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"goldcrestfork/policy/rollout"
)

const epoch = 7

func counts(source string, n uint64) rollout.Counts {
	return rollout.Counts{
		Source: source, RollOut: "r", Epoch: epoch,
		From: rollout.Tally{Requests: 19 * n}, To: rollout.Tally{Requests: n, Errors: n / 10},
	}
}

// sumCounts returns the new version's tally as a controller computes it from a collector.
func sumCounts(c *Collector) (to rollout.Tally, complete bool) {
	var totals rollout.Totals
	totals.Reset(epoch)
	list, complete := c.Counts(context.Background())
	for _, n := range list {
		totals.Add(n)
	}
	_, to = totals.Sum()
	return to, complete
}

// Two data centres with two VMs each report while a VM is partitioned or removed, two
// VMs both act as the aggregating VM, and reports arrive twice or late. The controller
// must detect missing counts and must never count a request twice, which could roll
// back a good version or advance a bad one.
func TestGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"nord", "sud"}
		vms := map[string][]string{"nord": {"n1", "n2"}, "sud": {"s1", "s2"}}
		c := NewCollector(func() []string { return names })
		aggregators := map[string]*Aggregator{"nord": NewAggregator("nord"), "sud": NewAggregator("sud")}
		round := func(n uint64, reporting ...string) {
			for dc, aggregator := range aggregators {
				for _, vm := range vms[dc] {
					for _, r := range reporting {
						if r == vm {
							aggregator.Add(Report{vm, []rollout.Counts{counts(vm, n)}}, time.Now())
							aggregator.Add(Report{vm, []rollout.Counts{counts(vm, n/2)}}, time.Now()) // late
						}
					}
				}
				c.Add(aggregator.Digest(vms[dc], []string{"r"}, time.Now()), time.Now())
			}
			time.Sleep(Interval)
		}
		require.Equal(t, names, c.Missing())
		round(100, "n1", "n2", "s1", "s2")
		to, complete := sumCounts(c)
		require.True(t, complete)
		require.Equal(t, rollout.Tally{Requests: 400, Errors: 40}, to)

		for range 4 { // s2 is partitioned
			round(200, "n1", "n2", "s1")
		}
		to, complete = sumCounts(c)
		require.False(t, complete)
		require.Equal(t, []string{"sud"}, c.Missing())
		require.Equal(t, uint64(700), to.Requests, "the requests that s2 counted stay in the sum")

		vms["sud"] = []string{"s1"} // s2 has left
		round(200, "n1", "n2", "s1")
		_, complete = sumCounts(c)
		require.True(t, complete)

		// n2 also acts as the aggregating VM and has only its own counts.
		other := NewAggregator("nord")
		other.Add(Report{"n2", []rollout.Counts{counts("n2", 300)}}, time.Now())
		c.Add(other.Digest(vms["nord"], []string{"r"}, time.Now()), time.Now())
		to, complete = sumCounts(c)
		require.False(t, complete)
		require.Equal(t, uint64(600), to.Requests, "300 of n2, 200 of s1 and 100 of s2, which has left")

		round(200, "n1", "n2", "s1")
		_, complete = sumCounts(c)
		require.True(t, complete, "complete after the next round")
		time.Sleep(staleAfter(1) + Interval)
		_, complete = sumCounts(c)
		require.False(t, complete, "digests are old")
	})
}

func TestAggregatorDropsOldReports(t *testing.T) {
	s, now := NewAggregator("nord"), time.Unix(0, 0)
	s.Add(Report{"n1", []rollout.Counts{counts("n1", 10)}}, now)
	old := counts("n1", 99)
	old.Epoch--
	s.Add(Report{"n1", []rollout.Counts{old}}, now)
	require.Equal(t, []rollout.Counts{counts("", 10)}, s.Digest([]string{"n1"}, []string{"r"}, now).Counts)
	require.Empty(t, s.Digest([]string{"n1"}, nil, now).Counts)
	later := now.Add(staleAfter(1) + Interval)
	require.Zero(t, s.Digest([]string{"n1"}, []string{"r"}, later).Reporting)
	s.Add(Report{"n1", nil}, now)
	require.Equal(t, 1, s.Digest([]string{"n1"}, []string{"r", "q"}, later).Reporting, "with two roll-outs reports are half as frequent")
}

// BenchmarkRound measures the CPU time of Collector.Counts by the number of VMs.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{7, 100, 400} {
		b.Run(fmt.Sprint("vms=", n), func(b *testing.B) {
			const perDataCentre = 21
			now := time.Unix(0, 0)
			full := counts("vm", 1e6) // an hour of a model's traffic, all rated
			full.From.Slow, full.From.Rated, full.From.Poor = 1e6, 19e6, 1e6
			full.To.Slow, full.To.Rated, full.To.Poor = 1e5, 1e6, 1e5
			aggregator := NewAggregator("dc")
			var vms []string
			for i := range min(n, perDataCentre) {
				vms = append(vms, fmt.Sprint("vm-", i))
				full.Source = vms[i]
				aggregator.Add(NewReport(vms[i], []rollout.Counts{full}), now)
			}
			c := NewCollector(func() []string { return nil })
			for i := range (n + perDataCentre - 1) / perDataCentre {
				d := aggregator.Digest(vms, []string{"r"}, now)
				d.DataCentre = fmt.Sprint("dc-", i)
				c.Add(d, now)
			}
			report, err := cbor.Marshal(NewReport(vms[0], []rollout.Counts{full}))
			require.NoError(b, err)
			digest, err := cbor.Marshal(aggregator.Digest(vms, []string{"r"}, now))
			require.NoError(b, err)
			for b.Loop() {
				c.Counts(context.Background())
			}
			b.ReportMetric(float64(len(report)), "B/report")
			b.ReportMetric(float64(len(digest)), "B/digest")
		})
	}
}

// A VM sends its report each second while a roll-out is under way. The report must
// stay well within the 14 KB per second that a node has for all control traffic.
func TestReportSize(t *testing.T) {
	const vm = "vm-cluj-nord-0123/fedcba9876543210"
	for _, rollOuts := range []int{1, 3, 9} {
		var list []rollout.Counts
		for i := range rollOuts {
			n := uint64(1 << 40) // far more than a day's requests
			all := rollout.Tally{Requests: n, Errors: n, Slow: n, Rated: n, Poor: n}
			list = append(list, rollout.Counts{
				Source: vm, RollOut: fmt.Sprint("model-ierburi-2026-12-", i), Epoch: 1 << 40, From: all, To: all,
			})
		}
		data, err := cbor.Marshal(NewReport(vm, list))
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), 50+150*rollOuts)
		t.Logf("%d roll-outs: %d bytes", rollOuts, len(data))
	}
}

// BenchmarkAggregator measures the CPU time of an aggregating VM per round, by the
// number of VMs in its data centre.
func BenchmarkAggregator(b *testing.B) {
	for _, n := range []int{7, 21, 60} {
		b.Run(fmt.Sprint("vms=", n), func(b *testing.B) {
			aggregator, now := NewAggregator("dc"), time.Unix(0, 0)
			var vms []string
			for i := range n {
				vms = append(vms, fmt.Sprint("vm-", i))
			}
			total := uint64(0)
			for b.Loop() {
				total++
				for _, vm := range vms {
					aggregator.Add(Report{vm, []rollout.Counts{counts(vm, total)}}, now)
				}
				aggregator.Digest(vms, []string{"r"}, now)
			}
		})
	}
}
