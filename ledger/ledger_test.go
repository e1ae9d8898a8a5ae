package ledger

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/standin/store"
)

const pinHours = 24

func testLedger(s *store.Store, vm string) *Ledger {
	return New(s, nil, nil, Settings{VM: vm, Incarnation: 1})
}

func TestDecideFirstWriterWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		a, b := testLedger(s, "a"), testLedger(s, "b")
		key := MakeKey(SpacePin, "acct", "s1")
		v, mine, err := a.Decide(t.Context(), key, []byte("v1"), pinHours)
		require.NoError(t, err)
		require.True(t, mine)
		require.Equal(t, "v1", string(v))
		v, mine, err = b.Decide(t.Context(), key, []byte("v2"), pinHours)
		require.NoError(t, err)
		require.False(t, mine)
		require.Equal(t, "v1", string(v))
	})
}

// Guards against a writer that misjudges whether the winning value is its own. The reply to its
// write is lost, and the write took effect, never does, or does so only after the writer has
// written again.
func TestLostReplies(t *testing.T) {
	for name, fault := range map[string]store.Faults{
		"after the effect":            {LoseReplies: 1},
		"without effect":              {RefuseWrites: 1},
		"effect comes late":           {HoldWrites: 1, HoldFor: 20 * time.Millisecond},
		"effect comes later still":    {HoldWrites: 1, HoldFor: 10 * time.Second},
		"several in a row":            {LoseReplies: 3},
		"several late ones in a row":  {HoldWrites: 3, HoldFor: 7 * time.Millisecond},
		"refused, then late":          {RefuseWrites: 1, HoldWrites: 1, HoldFor: time.Second},
		"slow, reply lost afterwards": {Delay: time.Second, LoseReplies: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New()
				s.SetFaults(fault)
				a, b := testLedger(s, "a"), testLedger(s, "b")
				key := MakeKey(SpacePin, "acct", "s1")
				_, mine, err := a.Decide(t.Context(), key, []byte("v1"), pinHours)
				require.NoError(t, err)
				require.True(t, mine)
				time.Sleep(time.Minute)
				v, _, err := b.Decide(t.Context(), key, []byte("v2"), pinHours)
				require.NoError(t, err)
				require.Equal(t, "v1", string(v))
			})
		})
	}
}

// In an outage operations are refused at once and without effect, until the store returns.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		a := testLedger(s, "a")
		key := MakeKey(SpacePin, "acct", "s1")
		s.SetFaults(store.Faults{Down: true})
		_, _, err := a.Decide(t.Context(), key, []byte("v1"), pinHours)
		require.ErrorIs(t, err, ErrUnavailable)
		before := s.Counts()
		_, _, err = a.Decide(t.Context(), key, []byte("v1"), pinHours)
		require.ErrorIs(t, err, ErrUnavailable)
		require.Equal(t, before, s.Counts(), "the breaker let calls through")
		require.Positive(t, a.RetryAfter())
		s.SetFaults(store.Faults{})
		time.Sleep(maxPause)
		_, mine, err := a.Decide(t.Context(), key, []byte("v2"), pinHours)
		require.NoError(t, err)
		require.True(t, mine)
		require.Zero(t, a.RetryAfter())
	})
}

// Many callers of one shard share writes, and the shard's number of writes stays within its
// limit.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		s.SetFaults(store.Faults{Delay: 3 * time.Millisecond})
		a := testLedger(s, "a")
		const callers = 500
		keys := keysOfShard(7, callers)
		var wg sync.WaitGroup
		for _, k := range keys {
			wg.Go(func() {
				_, mine, err := a.Decide(context.Background(), k, []byte("v"), pinHours)
				require.NoError(t, err)
				require.True(t, mine)
			})
		}
		wg.Wait()
		a.Wait()
		require.LessOrEqual(t, s.Counts().Puts, 4)
		for _, k := range keys {
			require.NotNil(t, readBack(t, s, k))
		}
	})
}

// keysOfShard returns n keys of one shard.
func keysOfShard(shard, n int) []Key {
	var out []Key
	for i := uint64(0); len(out) < n; i++ {
		k := MakeKey(SpacePin, "acct", strconv.FormatUint(i, 10))
		if k.Shard() == shard {
			out = append(out, k)
		}
	}
	return out
}

// readBack returns a key's live entry as a newly started VM reads it.
func readBack(t require.TestingT, s *store.Store, k Key) *Entry {
	l := testLedger(s, "reader")
	sh := l.shard(k.Shard())
	require.NoError(t, sh.loadHead())
	return sh.state.lookup(k, hourOf(time.Now()))
}

// A shard under steady load stays within its part of the write rate, and each caller gets its
// decision within the time that this rate allows.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		a := testLedger(s, "a")
		const seconds, perSecond = 20, 50
		var wg sync.WaitGroup
		for _, k := range keysOfShard(7, seconds*perSecond) {
			time.Sleep(time.Second / perSecond)
			wg.Go(func() {
				begun := time.Now()
				_, _, err := a.Decide(context.Background(), k, nil, pinHours)
				require.NoError(t, err)
				require.LessOrEqual(t, time.Since(begun), 2*time.Second*ShardCount/DefaultWritesPerSecond)
			})
		}
		wg.Wait()
		a.Wait()
		heads := float64(seconds*DefaultWritesPerSecond) / ShardCount
		require.LessOrEqual(t, float64(a.Dump().Shards[0].Writes), heads+paceBurst+1)
	})
}

// BenchmarkDecide measures one decision of a new key, with its head's write into the in-memory
// stand-in. It is an upper bound of the processor time, because no operations share a write.
func BenchmarkDecide(b *testing.B) {
	l := New(store.New(), nil, nil, Settings{VM: "a", WritesPerSecond: -1})
	n := 0
	for b.Loop() {
		n++
		if _, _, err := l.Decide(b.Context(), MakeKey(SpacePin, strconv.Itoa(n)), []byte("v1"), pinHours); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRepeat measures a decision that is in this VM's cache.
func BenchmarkRepeat(b *testing.B) {
	l := New(store.New(), nil, nil, Settings{VM: "a", WritesPerSecond: -1})
	key := MakeKey(SpacePin, "session")
	for b.Loop() {
		if _, _, err := l.Decide(b.Context(), key, []byte("v1"), pinHours); err != nil {
			b.Fatal(err)
		}
	}
}
