package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"goldcrestfork/durable"
	"goldcrestfork/standin/store"
)

var (
	refund     = ClaimKey{Account: "norte", IdempotencyKey: "refund-1"}
	refundBody = FingerprintOf([]byte("POST"), []byte("/refunds"), []byte("12.50"))
	booked     = Outcome{Known: true, Status: 201, Answer: []byte("booked")}
)

func testClaims(s durable.Store, vm string, isAlive IsAlive) *Claims {
	return NewClaims(New(s, nil, nil, Settings{VM: vm, Incarnation: 1}), isAlive)
}

func mustBegin(t *testing.T, c *Claims) *Ticket {
	t.Helper()
	start, err := c.Begin(t.Context(), refund, refundBody)
	require.NoError(t, err)
	require.NotNil(t, start.Ticket, "got the repeat %+v", start.Repeat)
	require.Nil(t, start.Repeat)
	return start.Ticket
}

func mustRepeat(t *testing.T, c *Claims, want State) *Claim {
	t.Helper()
	start, err := c.Begin(t.Context(), refund, refundBody)
	require.NoError(t, err)
	require.Nil(t, start.Ticket, "a repeat got a ticket")
	require.Equal(t, want, start.Repeat.State)
	return start.Repeat
}

func TestClaimLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		aAlive := true
		a := testClaims(s, "a", nil)
		b := testClaims(s, "b", func(vm string, incarnation uint64) bool {
			return aAlive && vm == "a" && incarnation == 1
		})
		ticket := mustBegin(t, a)
		mustRepeat(t, a, StateOpen)
		mustRepeat(t, b, StateOpen)
		aAlive = false
		mustRepeat(t, b, StateUnknown)
		_, err := b.Begin(t.Context(), refund, refundBody+1)
		require.ErrorIs(t, err, ErrOtherRequest)

		require.NoError(t, a.CloseNotRun(t.Context(), ticket))
		require.ErrorIs(t, a.Finish(t.Context(), ticket, booked), ErrClaimClosed)
		ticket = mustBegin(t, b)
		require.EqualValues(t, 2, ticket.Generation)
		require.NoError(t, b.Finish(t.Context(), ticket, Outcome{}))
		mustRepeat(t, a, StateUnknown)
		require.NoError(t, b.Finish(t.Context(), ticket, booked))
		require.NoError(t, b.Finish(t.Context(), ticket, booked))
		require.ErrorIs(t, b.CloseNotRun(t.Context(), ticket), ErrClaimClosed)
		repeat := mustRepeat(t, a, StateDone)
		require.Equal(t, "booked", string(repeat.Answer))
		require.Equal(t, 201, repeat.Status)
		_, err = a.Begin(t.Context(), refund, refundBody+1)
		require.ErrorIs(t, err, ErrOtherRequest)
	})
}

func TestLongAnswerIsNotKept(t *testing.T) {
	c := testClaims(store.New(), "a", nil)
	out := booked
	out.Answer = make([]byte, DefaultMaxValue+1)
	require.NoError(t, c.Finish(t.Context(), mustBegin(t, c), out))
	repeat := mustRepeat(t, c, StateDone)
	require.True(t, repeat.AnswerOmitted)
	require.Empty(t, repeat.Answer)
	_, _, err := c.ledger.Decide(t.Context(), Key{}, out.Answer, 1)
	require.ErrorIs(t, err, ErrTooLong)
}

// Guards against claims that no caller can use. A caller's timeout ends while the claim's write
// is delayed in the platform, which carries it out seconds later. The answer "not run" is true,
// but unless the write is excluded or the claim closed, every repeat gets "unknown" for a day.
// The table's functions set up the state of the key.
func TestAbandonedBeginIsClosed(t *testing.T) {
	for name, before := range map[string]func(*testing.T, *Claims){
		"new key":       func(*testing.T, *Claims) {},
		"closed before": func(t *testing.T, c *Claims) { _ = c.CloseNotRun(t.Context(), mustBegin(t, c)) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New()
				a := testClaims(s, "a", nil)
				before(t, a)
				s.SetFaults(store.Faults{Delay: time.Millisecond, HoldWrites: 1, HoldFor: 10 * time.Second})
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Millisecond)
				defer cancel()
				_, err := a.Begin(ctx, refund, refundBody)
				require.ErrorIs(t, err, ErrUnknown)
				require.Zero(t, a.Close(t.Context()))
				time.Sleep(time.Minute)
				mustBegin(t, testClaims(s, "b", nil))
			})
		})
	}
}

// Guards against a claim that is opened again after its close. A shard's owner is suspended
// with a begin in its queue, the origin gives up and closes its claim, and the owner resumes.
func TestBeginAfterItsOwnClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		net := &network{peers: map[string]*Ledger{"b": testLedger(s, "b")}, owners: []string{"b"}}
		net.faults = []netFault{netLateRequest}
		a := NewClaims(New(s, link{net: net, self: "a"}, nil, Settings{VM: "a", Incarnation: 1}), nil)
		s.SetFaults(store.Faults{Down: true})
		_, err := a.Begin(t.Context(), refund, refundBody)
		require.ErrorIs(t, err, ErrUnknown, "the owner may still commit")
		s.SetFaults(store.Faults{})
		require.Zero(t, a.Close(t.Context()))
		time.Sleep(time.Minute)
		mustBegin(t, testClaims(s, "c", nil))
	})
}

// The store fails while a request runs. The request's caller gets the answer; a repeat on
// another VM gets "unknown", and the recorded answer once the store is back. A VM that stops
// during the outage reports how many outcomes it could not record.
func TestFinishInOutage(t *testing.T) {
	for _, stops := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := store.New()
			a, b := testClaims(s, "a", nil), testClaims(s, "b", nil)
			ticket := mustBegin(t, a)
			s.SetFaults(store.Faults{Down: true})
			require.Error(t, a.Finish(t.Context(), ticket, booked))
			if stops {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				require.Equal(t, 1, a.Close(ctx))
				require.EqualValues(t, 1, testutil.ToFloat64(a.ledger.metrics.settleLost))
			}
			time.Sleep(10*time.Minute + settleInterval/2) // between two attempts of a
			s.SetFaults(store.Faults{})
			want := StateUnknown
			mustRepeat(t, b, want)
			time.Sleep(time.Minute)
			if !stops {
				want = StateDone
			}
			mustRepeat(t, b, want)
		})
	}
}

// Guards against a refusal that takes effect later: the store and the shard's owner are both
// unreachable.
func TestRefusalIsWithoutEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		net := &network{peers: map[string]*Ledger{"b": testLedger(s, "b")}, owners: []string{"b"}}
		a := NewClaims(New(s, link{net: net, self: "a"}, nil, Settings{VM: "a", Incarnation: 1}), nil)
		s.SetFaults(store.Faults{Down: true})
		for range 3 {
			_, err := a.Begin(t.Context(), refund, refundBody)
			require.ErrorIs(t, err, ErrUnavailable)
		}
		require.Positive(t, a.ledger.Dump().RefusingFor)
		s.SetFaults(store.Faults{})
		time.Sleep(maxPause)
		require.EqualValues(t, 1, mustBegin(t, a).Generation)
		require.Zero(t, a.Close(t.Context()))
	})
}

func TestPeerCallsAreChecked(t *testing.T) {
	l := New(store.New(), nil, prometheus.NewRegistry(), Settings{VM: "a"})
	_, err := l.HandlePeer(t.Context(), []byte("nonsense"))
	require.Error(t, err)
	body, err := cbor.Marshal(peerRequest{Op: op{Kind: opDecide, Value: make([]byte, DefaultMaxValue+1)}, Budget: 1000})
	require.NoError(t, err)
	_, err = l.HandlePeer(t.Context(), body)
	require.Error(t, err)
}

// Guards against treating refusals over the platform's rate as an outage: callers wait and get
// their result, and other shards are not refused.
func TestOverRateIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		s.SetRateLimits(1, 0)
		a := testClaims(s, "a", nil)
		ticket := mustBegin(t, a)
		require.NoError(t, a.Finish(t.Context(), ticket, booked), "after a second's wait")
		require.Positive(t, s.Counts().OverRate)
		require.Zero(t, a.ledger.RetryAfter())
	})
}

// Guards against VMs that commit by themselves while the shard's owner is busy. Each VM would
// then add its writes to a shard that has too many; the origin must refuse instead.
func TestBusyOwnerIsNotOvertaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		owner := testLedger(s, "b")
		net := &network{peers: map[string]*Ledger{"b": owner}, owners: []string{"b"}}
		a := NewClaims(New(s, link{net: net, self: "a"}, nil, Settings{VM: "a", Incarnation: 1}), nil)
		s.SetRateLimits(0.01, 0)
		requireDecided(t, owner, keysOfShard(refund.digest().Shard(), 1), 24)
		_, err := a.Begin(t.Context(), refund, refundBody)
		require.ErrorIs(t, err, ErrUnavailable)
		require.Empty(t, a.ledger.Dump().Shards, "the origin committed by itself")
		owner.Wait()
	})
}
