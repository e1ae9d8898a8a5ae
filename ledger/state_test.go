package ledger

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/durable"
	"goldcrestfork/standin/store"
)

// newSealingLedger returns a ledger that seals after every few entries.
func newSealingLedger(s durable.Store, vm string) *Ledger {
	l := New(s, nil, nil, Settings{VM: vm, WritesPerSecond: -1})
	l.sealAt = modelSealSize
	return l
}

func requireDecided(t *testing.T, l *Ledger, keys []Key, hours uint32) {
	t.Helper()
	for i, k := range keys {
		_, mine, err := l.Decide(t.Context(), k, fmt.Append(nil, i), hours)
		require.NoError(t, err)
		require.True(t, mine, "key %d", i)
	}
}

// Guards against entries that are lost or kept when hundreds of them move from the head to
// segments, which merge. Any VM must find all of them in a few objects, and after their
// retention they leave the store.
func TestSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		a := newSealingLedger(s, "a")
		const n = 600
		keys := keysOfShard(5, n+1)
		requireDecided(t, a, keys[:n], 24)
		a.Wait()
		b := newSealingLedger(s, "b")
		for i, k := range keys[:n] {
			v, mine, err := b.Decide(t.Context(), k, []byte("late"), 24)
			require.NoError(t, err)
			require.False(t, mine)
			require.Equal(t, fmt.Sprint(i), string(v))
		}
		b.Wait()
		info := b.Dump().Shards[0]
		require.Greater(t, info.Segments, 1)
		require.Less(t, info.Segments, 16)
		listing, err := s.List(t.Context(), objectKind)
		require.NoError(t, err)
		require.Len(t, listing.Objects, info.Segments+1, "merged segments were not deleted")

		time.Sleep(27 * time.Hour)
		requireDecided(t, a, keys[n:], 24)
		requireDecided(t, a, keysOfShard(5, 3*n)[2*n:], 24)
		a.Wait()
		require.Nil(t, readBack(t, s, keys[0]))
		sealed := a.Dump().Shards[0].Sealed
		require.Less(t, sealed, n+10, "expired entries stay in memory")
	})
}

// An entry that is used does not expire; one that is not used does, after one hour beyond its
// retention.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		used, unused := keysOfShard(9, 2)[0], keysOfShard(9, 2)[1]
		requireDecided(t, testLedger(s, "a"), []Key{used, unused}, 4)
		for range 5 {
			time.Sleep(3 * time.Hour)
			v, _, err := testLedger(s, "b").Decide(t.Context(), used, []byte("other"), 4)
			require.NoError(t, err)
			require.Equal(t, "0", string(v))
		}
		require.NotNil(t, readBack(t, s, used))
		require.Nil(t, readBack(t, s, unused))
	})
}

// Guards against a finished claim that becomes open again. The clocks of two VMs differ by an
// hour; an entry that expires before the older entry that it replaces would make that one
// visible again.
func TestExpiryNeverFalls(t *testing.T) {
	begin := op{Kind: opBegin, Nonce: 1, Hours: 24}
	open, _, _ := apply(nil, begin, 101)
	done, _, _ := apply(&open, op{Kind: opFinish, Nonce: 1, Hours: 24, State: StateDone}, 100)
	require.Equal(t, open.Expire, done.Expire)
	notRun, _, _ := apply(&open, op{Kind: opClose, Nonce: 1, Hours: 24}, 100)
	begin.Nonce = 2
	again, changed, _ := apply(&notRun, begin, 100)
	require.True(t, changed)
	require.Equal(t, open.Expire, again.Expire)
}

// Guards against lost entries and leftover segments. A VM crashes between writing a segment and
// the head, at each of its calls in turn: no acknowledged value is lost, and Sweep deletes what
// was left.
func TestDeathAtEachCall(t *testing.T) {
	for calls := 1; calls <= 40; calls++ {
		for _, effect := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				s := store.New()
				crashing := &vmStore{Store: s}
				a := newSealingLedger(crashing, "a")
				crashing.crashAfter(calls, effect)
				keys := keysOfShard(3, 30)
				var acknowledged []Key
				for _, k := range keys {
					if _, _, err := a.Decide(t.Context(), k, []byte("v"), 24); err == nil && crashing.alive() {
						acknowledged = append(acknowledged, k)
					}
				}
				a.Wait()
				b := newSealingLedger(s, "b")
				for _, k := range keys {
					_, _, err := b.Decide(t.Context(), k, []byte("w"), 24)
					require.NoError(t, err)
				}
				b.Wait()
				_, err := b.Sweep(t.Context())
				require.NoError(t, err)
				for _, k := range acknowledged {
					e := readBack(t, s, k)
					require.NotNil(t, e)
					require.Equal(t, "v", string(e.Value))
				}
				listing, err := s.List(t.Context(), objectKind)
				require.NoError(t, err)
				require.Len(t, listing.Objects, b.Dump().Shards[0].Segments+1, "Sweep left segments that no head refers to")
			})
		}
	}
}

// racingStore calls beforeHeadWrite between a VM's write of a segment and its write of the
// head.
type racingStore struct {
	durable.Store
	sealed          bool
	beforeHeadWrite func()
}

func (r *racingStore) Put(ctx context.Context, k durable.Key, value []byte, at int64) (durable.Object, error) {
	head := k.Name == headName(3)
	if head && r.sealed && r.beforeHeadWrite != nil {
		before := r.beforeHeadWrite
		r.beforeHeadWrite = nil
		before()
	}
	r.sealed = !head
	return r.Store.Put(ctx, k, value, at)
}

// Guards against the deletion of segments in use. A VM has written a merged segment and loses
// the race for the head; the segments that the winner's head refers to must still exist.
func TestLostRaceAfterSeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		r := &racingStore{Store: s}
		a := newSealingLedger(r, "a")
		keys := keysOfShard(3, 200)
		other := keysOfShard(3, 400)[200:]
		var won []Key
		for i, k := range keys {
			r.beforeHeadWrite = func() {
				synctest.Wait() // wait for the background work of a
				requireDecided(t, testLedger(s, "b"), other[i:i+1], 24)
				won = append(won, other[i])
			}
			requireDecided(t, a, []Key{k}, 24)
		}
		a.Wait()
		require.NotEmpty(t, won)
		for _, k := range append(keys, won...) {
			require.NotNil(t, readBack(t, s, k))
		}
	})
}

// Guards against two VMs that overwrite each other's segments. Their clocks differ, so that for
// one head version they omit different expired entries or merge different segments; the names
// must then differ too.
func TestSealsOfOneVersionDiffer(t *testing.T) {
	s := newState()
	s.version, s.headSize = 7, 100
	s.head[Key{1}] = Entry{Key: Key{1}, Expire: 10}
	early, err := s.planSeal(0, 10)
	require.NoError(t, err)
	late, err := s.planSeal(0, 12)
	require.NoError(t, err)
	require.NotEqual(t, early.value, late.value)
	require.NotEqual(t, early.name, late.name)
	for range mergeFactor {
		s.segments = append(s.segments, segmentRef{Size: 100, Expire: 20})
	}
	merged, err := s.planSeal(0, 10)
	require.NoError(t, err)
	require.Zero(t, merged.from)
	s.segments = s.segments[:mergeFactor-2]
	unmerged, err := s.planSeal(0, 10)
	require.NoError(t, err)
	require.NotEqual(t, merged.name, unmerged.name)
}

// The platform loses a head. The shard's keys can't be known any more, so it refuses operations
// instead of deciding them again.
func TestLostHeadRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		a := testLedger(s, "a")
		keys := keysOfShard(3, 2)
		requireDecided(t, a, keys[:1], 24)
		o, err := s.Get(t.Context(), durable.Key{Kind: objectKind, Name: headName(3)})
		require.NoError(t, err)
		require.NoError(t, s.Delete(t.Context(), o.Key, o.Version))
		_, _, err = a.Decide(t.Context(), keys[1], []byte("v"), 24)
		require.ErrorIs(t, err, ErrUnavailable)
		require.Zero(t, a.RetryAfter(), "other shards are refused too")
		a.Wait()
	})
}

// Trim frees idle shards, except one whose last write is unsettled.
func TestTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		a := testLedger(s, "a")
		requireDecided(t, a, keysOfShard(3, 1), 24)
		s.SetFaults(store.Faults{Delay: time.Millisecond, RefuseWrites: 100})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Millisecond)
		defer cancel()
		_, _, err := a.Decide(ctx, keysOfShard(4, 1)[0], []byte("v"), 24)
		require.ErrorIs(t, err, ErrUnknown)
		a.Wait()
		time.Sleep(time.Minute)
		a.Trim(time.Now())
		require.Len(t, a.Dump().Shards, 1)
		require.Equal(t, 4, a.Dump().Shards[0].Shard)
	})
}

// Guards against a Sweep that deletes a segment in use. Another VM sweeps between the writes of
// a segment and of the head that refers to it.
func TestSweepDuringSeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		r := &racingStore{Store: s}
		a := newSealingLedger(r, "a")
		keys := keysOfShard(3, 30)
		for _, k := range keys {
			r.beforeHeadWrite = func() {
				_, err := testLedger(s, "b").Sweep(t.Context())
				require.NoError(t, err)
			}
			requireDecided(t, a, []Key{k}, 24)
		}
		a.Wait()
		for _, k := range keys {
			require.NotNil(t, readBack(t, s, k))
		}
	})
}
