package tally

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/datagram"
)

func topicSums(sums ...Sum) TopicSums { return TopicSums{Topic: testTopic, List: sums} }

// Guards against figures of VMs that ended, of an earlier life or out of order, and against invalid ones, in the totals.
func TestSumTotals(t *testing.T) {
	a := NewAggregator()
	a.RecordSums(0, "vm1", 1, 2, topicSums(Sum{Key: 7, A: 1, B: 2}, Sum{Key: 8, A: float32(math.NaN()), B: 1}), false)
	a.RecordSums(0, "vm1", 1, 1, topicSums(Sum{Key: 7, A: 100, B: 100}), false)
	a.RecordSums(0, "vm2", 1, 9, topicSums(Sum{Key: 7, A: 50, B: 50}), false)
	a.RecordSums(time.Second, "vm2", 2, 1, topicSums(Sum{Key: 7, A: 3, B: 4}), false)
	a.RecordSums(time.Second, "other", 1, 1, topicSums(Sum{Key: 7, A: 10, B: 20}), true)
	require.Equal(t, topicSums(Sum{Key: 7, A: 14, B: 26}), a.SumTotals(time.Second, testTopic, true))
	require.Equal(t, topicSums(Sum{Key: 7, A: 4, B: 6}), a.SumTotals(time.Second, testTopic, false), "of this data centre")
	require.Equal(t, topicSums(Sum{Key: 7, A: 13, B: 24}), a.SumTotals(reportTTL+1, testTopic, true), "without vm1, which is silent")
	require.Empty(t, a.SumTotals(time.Second, testTopic+1, true).List)
}

// Guards against totals of many subjects that don't fit a datagram.
func TestSumsFitADatagram(t *testing.T) {
	a := NewAggregator()
	for i := range uint32(1000) {
		a.RecordSums(0, fmt.Sprint("vm", i), 1, 1, topicSums(Sum{Key: i << 16, A: -1.5e9, B: float32(i)}), false)
	}
	got := a.SumTotals(0, testTopic, true)
	require.Len(t, got.List, MaxSums)
	require.Equal(t, float32(999), got.List[0].B, "the largest first")
	raw, err := cbor.Marshal(&message{Kind: kindFleetSums, From: "front-a-long-data-centre-name-12", Incarnation: 1 << 63, Sequence: 1 << 40, Sums: &got})
	require.NoError(t, err)
	require.LessOrEqual(t, len(raw), datagram.MaxPacketSize)
}

// Guards against totals that miss a VM, or that a VM without figures of its own doesn't get.
func TestSumsReachVMs(t *testing.T) {
	vms := open(t, 3)
	vms[0].sums.Store(&[]Sum{{Key: 7, A: 1, B: 1}})
	vms[1].sums.Store(&[]Sum{{Key: 7, A: 2, B: 3}})
	vms[2].sums.Store(&[]Sum{})
	for _, v := range vms {
		require.Eventually(t, func() bool {
			got := v.totals.Load()
			return got != nil && len(got.List) == 1 && got.List[0] == Sum{Key: 7, A: 3, B: 4}
		}, 20*time.Second, time.Millisecond)
	}
}

// Guards against totals that contain only a few VMs: a VM that skips the keeper for half a second, since one query for the load was lost, must not exchange its sums with a VM that the others don't report to.
func TestSumsStayWithTheFirstKeeper(t *testing.T) {
	vms := open(t, 3)
	vms[2].mu.Lock()
	vms[2].backoffUntil["vm0"] = time.Hour
	vms[2].mu.Unlock()
	vms[0].sums.Store(&[]Sum{{Key: 7, A: 1, B: 1}})
	vms[2].sums.Store(&[]Sum{{Key: 7, A: 2, B: 3}})
	for _, v := range []*vm{vms[0], vms[2]} {
		require.Eventually(t, func() bool {
			got := v.totals.Load()
			return got != nil && len(got.List) == 1 && got.List[0] == Sum{Key: 7, A: 3, B: 4}
		}, 10*time.Second, time.Millisecond)
	}
}

// Guards against totals that contain only a few VMs: a new keeper must not give any before the others had time to report to it, also if it was the keeper before.
func TestNewKeeperWaitsForReports(t *testing.T) {
	v, now := &Service{cfg: Config{Self: "vm0"}, aggregator: NewAggregator()}, time.Hour
	m := message{Kind: kindSums, From: "vm9", Sums: new(topicSums(Sum{Key: 1, A: 1, B: 1}))}
	for range 2 {
		for end := now + keeperDelay; now < end; now += refreshInterval {
			m.Sequence++
			require.Nil(t, v.sumsAnswer(now, &m))
		}
		for range 3 {
			m.Sequence++
			require.Len(t, v.sumsAnswer(now, &m).Sums.List, 1)
			now += refreshInterval
		}
		now += keeperDelay // the VMs report to another one
	}
}

// Guards against totals that aren't finite, since the figures of two VMs overflow.
func TestSumTotalsStayFinite(t *testing.T) {
	a := NewAggregator()
	for _, vm := range []string{"vm1", "vm2"} {
		a.RecordSums(0, vm, 1, 1, topicSums(Sum{Key: 7, A: -math.MaxFloat32, B: math.MaxFloat32}), false)
	}
	for _, s := range a.SumTotals(0, testTopic, true).List {
		require.True(t, isFinite(s.A) && isFinite(s.B), "%v", s)
	}
}

// Guards against totals that miss a change, or contain an expired list, since they are kept between answers.
func TestSumTotalsFollowEachList(t *testing.T) {
	kept := NewAggregator()
	require.Empty(t, kept.SumTotals(0, testTopic, true).List)
	rng := rand.New(rand.NewPCG(1, 2))
	lists, at := make(map[string][]Sum), make(map[string]time.Duration)
	for step := range uint64(2000) {
		now := time.Duration(step) * 200 * time.Millisecond
		vm := fmt.Sprint("vm", rng.IntN(20))
		lists[vm], at[vm] = []Sum{{Key: uint32(rng.IntN(4)), A: -1, B: float32(rng.IntN(9))}}, now
		kept.RecordSums(now, vm, 1, step, topicSums(lists[vm]...), vm == "vm1")
		want := make(map[uint32]Sum)
		for name, list := range lists {
			if now-at[name] <= reportTTL {
				sum := want[list[0].Key]
				want[list[0].Key] = Sum{Key: list[0].Key, A: sum.A - 1, B: sum.B + list[0].B}
			}
		}
		for _, got := range kept.SumTotals(now, testTopic, true).List {
			w := want[got.Key]
			w.Key = got.Key
			require.Equal(t, w, got, "step %d", step)
			delete(want, got.Key)
		}
		require.Empty(t, want, "step %d", step)
	}
}

// BenchmarkSumTotals measures the answer to one report at the keeper of a data centre of 75 VMs, each with
// figures of 140 subjects on three topics.
func BenchmarkSumTotals(b *testing.B) {
	a := NewAggregator()
	var list []Sum
	for i := range uint32(140) {
		list = append(list, Sum{Key: i * 2654435761, A: 1, B: float32(i)})
	}
	for vm := range 75 {
		for topic := range uint8(3) {
			a.RecordSums(0, fmt.Sprint("vm", vm), 1, 1, TopicSums{Topic: topic, List: list}, false)
		}
	}
	for b.Loop() {
		a.SumTotals(0, 1, true)
	}
}
