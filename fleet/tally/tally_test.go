package tally

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"goldcrestfork/fleet/datagram"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func sumOf(entries []Entry) map[uint32]float32 {
	out := make(map[uint32]float32)
	for _, e := range entries {
		out[e.Endpoint] = e.Work
	}
	return out
}

// The totals for a VM must leave out its own report. A reordered report must not replace a later
// one, and a silent VM's report must expire, or its engines would look busy and stay unused.
func TestAggregator(t *testing.T) {
	b := NewAggregator()
	b.RecordReport(0, "a", 1, 5, State{Work: []Entry{{Endpoint: 1, Work: 2}}})
	b.RecordReport(0, "b", 1, 1, State{Work: []Entry{{Endpoint: 1, Work: 3}, {Endpoint: 2, Work: 1}}})
	b.RecordSummary(0, "far", 1, 1, []Entry{{Endpoint: 2, Work: 4}})
	require.Equal(t, map[uint32]float32{1: 3, 2: 5}, sumOf(b.Totals(0, "a").Work))
	require.Equal(t, map[uint32]float32{1: 5, 2: 1}, sumOf(b.LocalSums(0)), "other data centres' sums aren't passed on")
	b.RecordReport(0, "a", 1, 4, State{})
	require.Equal(t, map[uint32]float32{1: 5, 2: 1}, sumOf(b.LocalSums(0)), "reordered report")
	b.RecordReport(0, "a", 2, 1, State{})
	require.Equal(t, map[uint32]float32{1: 3, 2: 1}, sumOf(b.LocalSums(0)), "new incarnation of the VM")
	require.Equal(t, map[uint32]float32{1: 3, 2: 1}, sumOf(b.Totals(summaryTTL+1, "a").Work), "silent data centre")
	require.Empty(t, b.Totals(reportTTL+1, "a").Work)
}

// A VM that is partitioned from an endpoint avoids it. The other VMs, which the endpoint serves
// well, must not avoid it until a second VM does.
func TestOneAvoidingVMIsIgnored(t *testing.T) {
	b := NewAggregator()
	b.RecordReport(0, "a", 1, 1, State{Avoided: []uint32{7}})
	require.Empty(t, b.Totals(0, "c").Avoided)
	b.RecordReport(0, "b", 1, 1, State{Avoided: []uint32{7, 8}})
	require.Equal(t, []uint32{7}, b.Totals(0, "c").Avoided)
	require.Empty(t, b.Totals(0, "b").Avoided, "its own report doesn't count")
}

// With 2,000 endpoints, the answer must fit one datagram and contain the endpoints with the most
// work.
func TestAnswerFitsADatagram(t *testing.T) {
	b := NewAggregator()
	for vm := range 20 {
		var s State
		for i := range 200 {
			s.Work = append(s.Work, Entry{Endpoint: EndpointHash(fmt.Sprint(vm, i)), Work: float32(i)})
			s.Avoided = append(s.Avoided, EndpointHash(fmt.Sprint(i)))
		}
		b.RecordReport(0, fmt.Sprint("vm", vm), 1, 1, s)
	}
	totals := b.Totals(0, "")
	require.Len(t, totals.Work, (maxStateBytes-maxAvoided*avoidedBytes)/entryBytes)
	require.Len(t, totals.Avoided, maxAvoided)
	for _, e := range totals.Work {
		require.Greater(t, e.Work, float32(190))
	}
	raw, err := cbor.Marshal(&message{Kind: 2, From: "front-a-long-data-centre-name-12", Incarnation: 1 << 63, Sequence: 1 << 40, RequestID: 1 << 40, State: totals})
	require.NoError(t, err)
	require.LessOrEqual(t, len(raw), datagram.MaxPacketSize)
	raw, err = cbor.Marshal(&message{Kind: kindSummary, From: "front-a-long-data-centre-name-12", Incarnation: 1 << 63, Sequence: 1 << 40, State: State{Work: b.LocalSums(0)}})
	require.NoError(t, err)
	require.LessOrEqual(t, len(raw), datagram.MaxPacketSize)
}

// vm is a VM's service over loopback, with the state that it reports and the last values that
// it applied.
type vm struct {
	*Service
	state, applied State
	outcomes       atomic.Pointer[[]Outcomes] // reported by this VM
	fleet          atomic.Pointer[[]Outcomes] // applied
	sums           atomic.Pointer[[]Sum]      // reported by this VM, on testTopic
	totals         atomic.Pointer[TopicSums]  // applied
}

const testTopic = 9

func (v *vm) ownSums() []TopicSums {
	if list := v.sums.Load(); list != nil {
		return []TopicSums{{Topic: testTopic, List: *list}}
	}
	return nil
}

func (v *vm) ownOutcomes() []Outcomes {
	if list := v.outcomes.Load(); list != nil {
		return *list
	}
	return nil
}

// open starts n VMs of one data centre; the first is its keeper.
func open(t *testing.T, n int) []*vm {
	began := time.Now()
	vms := make([]*vm, n)
	var keepers []Keeper
	for i := range vms {
		v := &vm{}
		s, err := Listen(Config{
			Self: fmt.Sprint("vm", i), Address: "127.0.0.1:0",
			Clock:   func() time.Duration { return time.Minute + time.Since(began) },
			Keepers: func() []Keeper { return keepers }, RemoteKeepers: func() []Keeper { return nil },
			State: func() State { return v.state }, Apply: func(s State) { v.applied = s },
			Outcomes: v.ownOutcomes, ApplyOutcomes: func(o []Outcomes) { v.fleet.Store(&o) },
			Sums: v.ownSums, ApplySums: func(s TopicSums) { v.totals.Store(&s) },
			Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(), Traffic: datagram.NewTraffic(prometheus.NewRegistry()),
		})
		require.NoError(t, err)
		v.Service, vms[i] = s, v
		keepers = append(keepers, Keeper{Name: fmt.Sprint("vm", i), Address: s.socket.Addr()})
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{}, n)
	for _, v := range vms {
		go func() { v.Run(ctx); done <- struct{}{} }()
	}
	t.Cleanup(func() {
		stop()
		for range vms {
			<-done
		}
	})
	return vms
}

// Refresh must give a VM the load that another VM reported, without its own, also if the VM is
// the keeper.
func TestRefreshReturnsLoadOfOthers(t *testing.T) {
	vms := open(t, 3)
	vms[1].state = State{Work: []Entry{{Endpoint: 7, Work: 2}}}
	vms[1].ReportChange()
	require.Eventually(t, func() bool {
		vms[2].Refresh(t.Context())
		return sumOf(vms[2].applied.Work)[7] == 2
	}, 10*time.Second, time.Millisecond)
	vms[0].Refresh(t.Context())
	require.Equal(t, map[uint32]float32{7: 2}, sumOf(vms[0].applied.Work))
	vms[1].Refresh(t.Context())
	require.Empty(t, vms[1].applied.Work, "its own work is left out")
}

// The keeper lost power and doesn't answer. Only the first query may wait for its timeout; the
// next one must go to another VM.
func TestSilentKeeperIsSkipped(t *testing.T) {
	silent, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	vms := open(t, 2)
	live := vms[0].cfg.Keepers()
	vms[1].cfg.Keepers = func() []Keeper {
		return append([]Keeper{{Name: "dead", Address: silent.LocalAddr().String()}}, live...)
	}
	require.Eventually(t, func() bool {
		vms[1].Refresh(t.Context())
		return testutil.ToFloat64(vms[1].asks.WithLabelValues("answered")) > 0
	}, 10*time.Second, time.Millisecond)
	require.Positive(t, testutil.ToFloat64(vms[1].asks.WithLabelValues("silent")))
}

// While a fleet starts, no keeper is known. A request must not wait then.
func TestNoKeeperKnown(t *testing.T) {
	vms := open(t, 1)
	vms[0].cfg.Keepers = func() []Keeper { return nil }
	vms[0].Refresh(t.Context())
	vms[0].ReportChange()
	require.Equal(t, 1.0, testutil.ToFloat64(vms[0].asks.WithLabelValues("nobody")))
}

// Any host can send to the port: whatever decodes must leave only valid entries in the sums.
func FuzzMessage(f *testing.F) {
	b, err := cbor.Marshal(&message{Kind: kindReport, From: "a", Incarnation: 1, Sequence: 1, State: State{Work: []Entry{{Endpoint: 1, Work: 1}}, Avoided: []uint32{2}}})
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var m message
		if cbor.Unmarshal(b, &m) == nil {
			aggregator := NewAggregator()
			aggregator.RecordReport(0, m.From, m.Incarnation, m.Sequence, m.State)
			aggregator.RecordOutcomes(0, m.From, m.Incarnation, m.Sequence, m.Outcomes, false)
			for _, o := range aggregator.OutcomeSums(0, true) {
				require.LessOrEqual(t, o.Failed, o.Runs)
			}
			aggregator.RecordReport(0, "own", 1, 1, State{Work: []Entry{{Endpoint: 1, Work: 1}}})
			totals := aggregator.Totals(0, "").Work
			require.LessOrEqual(t, len(totals), maxStateBytes/entryBytes)
			for _, e := range totals {
				require.Greater(t, e.Work, float32(0))
			}
		}
	})
}

// BenchmarkKeeper measures a query and its answer at the keeper of a data centre of 21 VMs, each
// with eight prompts under way, and 105 endpoints. It includes decoding and encoding, but not
// the network.
func BenchmarkKeeper(b *testing.B) {
	aggregator := NewAggregator()
	state := func(vm int) (s State) {
		for i := range 8 {
			s.Work = append(s.Work, Entry{Endpoint: EndpointHash(fmt.Sprint("endpoint", (vm*8+i)%105)), Work: float32(i) + 1})
		}
		return s
	}
	for vm := range 21 {
		aggregator.RecordReport(0, fmt.Sprint("vm", vm), 1, 1, state(vm))
	}
	ask, err := cbor.Marshal(&message{Kind: kindReport, From: "front-norte-a-12", Incarnation: 1 << 63, Sequence: 1 << 20, RequestID: 1 << 20, State: state(3)})
	require.NoError(b, err)
	var answer []byte
	b.ReportAllocs()
	for b.Loop() {
		var m message
		require.NoError(b, cbor.Unmarshal(ask, &m))
		aggregator.RecordReport(0, m.From, m.Incarnation, m.Sequence, m.State)
		answer, err = cbor.Marshal(&message{Kind: kindTotals, From: "front-norte-a-1", Incarnation: 1 << 63, RequestID: m.RequestID, State: aggregator.Totals(0, m.From)})
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(ask)), "ask-B")
	b.ReportMetric(float64(len(answer)), "answer-B")
}
