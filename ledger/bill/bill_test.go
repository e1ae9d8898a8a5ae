package bill

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"goldcrestfork/durable"
	"goldcrestfork/standin/store"
)

func testBill(request int, accepted time.Time) Bill {
	return Bill{
		Account: "norte", Request: fmt.Sprint(request), Accepted: accepted,
		Version: "v1", InputTokens: 10, OutputTokens: 5, Micros: 100,
	}
}

func testSpool(s durable.Store, vm string) *Spool {
	return NewSpool(s, nil, Settings{VM: vm, Incarnation: 1})
}

// requireRequests sums up the day and checks the number of requests that were billed.
func requireRequests(t *testing.T, s durable.Store, at time.Time, want int64) Sums {
	t.Helper()
	sums, err := NewReader(s).Day(t.Context(), at)
	require.NoError(t, err)
	require.Len(t, sums.Rows, 1)
	require.Equal(t, want, sums.Rows[0].Requests)
	require.Equal(t, 10*want, sums.Rows[0].InputTokens)
	return sums
}

// Guards against requests that are billed twice or not at all because a batch's write was
// refused, its reply was lost before or after the effect, or it took effect only after the
// retry.
func TestBilledOnceThroughFaults(t *testing.T) {
	for name, fault := range map[string]store.Faults{
		"none":                    {},
		"outage":                  {Down: true},
		"reply lost after effect": {LoseReplies: 1},
		"reply lost, no effect":   {RefuseWrites: 1},
		"effect comes late":       {HoldWrites: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New()
				spool := testSpool(s, "a")
				now := time.Now()
				for i := range 3 {
					require.True(t, spool.Add(testBill(i, now)))
				}
				s.SetFaults(fault)
				_ = spool.Flush(t.Context())
				s.SetFaults(store.Faults{})
				require.NoError(t, spool.Flush(t.Context()))
				s.Release()
				require.Zero(t, spool.Held())
				requireRequests(t, s, now, 3)
			})
		})
	}
}

// A stream is resumed on another VM and both VMs bill its request: only one bill counts.
func TestTwoVMsBillOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		now := time.Now()
		for _, vm := range []string{"a", "b"} {
			spool := testSpool(s, vm)
			spool.Add(testBill(1, now))
			require.NoError(t, spool.Flush(t.Context()))
		}
		require.EqualValues(t, 1, requireRequests(t, s, now, 1).Duplicates)
		time.Sleep(time.Hour)
		requireRequests(t, s, now, 1)
		requireRequests(t, s, now, 1) // from the stored sums
	})
}

// A VM stops while its write of a batch is delayed. The peer that takes over the spool writes
// the same batches, and the late write changes nothing.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		a, b := testSpool(s, "a"), testSpool(s, "b")
		now := time.Now()
		a.Add(testBill(1, now))
		s.SetFaults(store.Faults{HoldWrites: 1})
		require.Error(t, a.Flush(t.Context()))
		a.Add(testBill(2, now))
		body, err := a.Handover()
		require.NoError(t, err)
		require.Zero(t, a.Held())
		require.NoError(t, b.Accept(body))
		require.NoError(t, b.Accept(body), "the hand-over's reply was lost")
		require.NoError(t, b.Flush(t.Context()))
		s.Release()
		require.Zero(t, requireRequests(t, s, now, 2).Duplicates)
		require.Error(t, b.Accept([]byte("x")))
	})
}

// A full spool reports that a bill is lost and counts the loss.
func TestSpoolIsBounded(t *testing.T) {
	spool := NewSpool(store.New(), nil, Settings{MaxBills: 2})
	require.True(t, spool.Add(testBill(1, time.Now())))
	require.True(t, spool.Add(testBill(2, time.Now())))
	require.False(t, spool.Add(testBill(3, time.Now())))
	require.EqualValues(t, 1, testutil.ToFloat64(spool.metrics.lost))
	require.Equal(t, 2, spool.Held())
}

// aggregationRace runs functions before and after the first listing of a minute's batches, to
// write a late batch between a reader's steps.
type aggregationRace struct {
	*store.Store
	beforeList func()
	afterList  func()
}

func (f *aggregationRace) List(ctx context.Context, kind string) (durable.Listing, error) {
	before, after := f.beforeList, f.afterList
	if kind != minuteKind(time.Now()) && len(kind) == len(minuteKind(time.Now())) {
		f.beforeList, f.afterList = nil, nil
		if before != nil {
			before()
		}
	}
	l, err := f.Store.List(ctx, kind)
	if f.afterList == nil && f.beforeList == nil && after != nil {
		after()
	}
	return l, err
}

// Guards against a late batch that is not counted. An outage delayed the batch for an hour, and
// its minute is summed up while the batch is written. The next reader must count it, whichever
// comes first.
func TestLateBatchDuringAggregation(t *testing.T) {
	for _, moment := range []string{"before the aggregation", "before the list", "after the list", "after the aggregation"} {
		t.Run(moment, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New()
				early, late := testSpool(s, "a"), testSpool(s, "b")
				accepted := time.Now()
				early.Add(testBill(1, accepted))
				require.NoError(t, early.Flush(t.Context()))
				late.Add(testBill(2, accepted))
				time.Sleep(time.Hour)
				arrive := func() { require.NoError(t, late.Flush(t.Context())) }
				race := &aggregationRace{Store: s}
				switch moment {
				case "before the aggregation":
					arrive()
				case "before the list":
					race.beforeList = arrive
				case "after the list":
					race.afterList = arrive
				}
				_, err := NewReader(race).Day(t.Context(), accepted)
				require.NoError(t, err)
				if moment == "after the aggregation" {
					arrive()
				}
				requireRequests(t, s, accepted, 2)
			})
		})
	}
}

// Guards against sums that shrink after a purge. Sums remain when their batches are purged; a
// batch that arrives after the purge is dropped, because it would delete sums that can't be
// computed again.
func TestPurge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		spool, late := testSpool(s, "a"), testSpool(s, "b")
		accepted := time.Now()
		spool.Add(testBill(1, accepted))
		late.Add(testBill(2, accepted))
		require.NoError(t, spool.Flush(t.Context()))
		time.Sleep(time.Hour)
		requireRequests(t, s, accepted, 1)
		require.ErrorIs(t, NewReader(s).Purge(t.Context(), accepted), ErrDayIncomplete)
		time.Sleep(96 * time.Hour)
		require.NoError(t, NewReader(s).Purge(t.Context(), accepted))
		require.NoError(t, late.Flush(t.Context()))
		require.EqualValues(t, 1, testutil.ToFloat64(late.metrics.lost))
		requireRequests(t, s, accepted, 1)
		left, err := s.List(t.Context(), minuteKind(accepted))
		require.NoError(t, err)
		require.Empty(t, left.Objects)
	})
}

func TestFlushInterval(t *testing.T) {
	require.Equal(t, 5*time.Second, FlushInterval(7))
	require.Equal(t, 16*time.Second, FlushInterval(400))
}

// BenchmarkBill measures the way of one bill from Add to the store and into a minute's sums.
func BenchmarkBill(b *testing.B) {
	const bills = 450 // the bills of one flush at 30 bills/s and an interval of 15 s
	now := time.Now().Truncate(time.Minute)
	var bytes int64
	for b.Loop() {
		s := store.New()
		spool := testSpool(s, "vm-0123456789ab")
		for i := range bills {
			bill := testBill(i, now)
			bill.Request = fmt.Sprintf("01938a1e-0000-7000-8000-%012d", i)
			spool.Add(bill)
		}
		if err := spool.Flush(b.Context()); err != nil {
			b.Fatal(err)
		}
		bytes = s.Counts().PutBytes
		if _, err := NewReader(s).sumBatches(b.Context(), now); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes)/bills, "bytes/bill")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*bills), "ns/bill")
}
