package config

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// editRoot makes n random changes on a root: it creates, replaces and deletes objects, and
// creates deleted ones again.
func editRoot(t *rapid.T, r *root, n int) {
	for range n {
		name := fmt.Sprintf("dc-%d", rapid.IntRange(0, 5).Draw(t, "name"))
		c := centre(name)
		if rapid.Bool().Draw(t, "delete") && r.Snapshot.DataCentres[name] != nil {
			c = Change{Op: OpDelete, Kind: KindDataCentre, Name: name}
		}
		require.NoError(t, applyAll(r.Snapshot, []Change{c}))
		r.accept(fmt.Sprint(r.Snapshot.Revision), deletedRefs([]Change{c}))
	}
}

// A VM at any earlier revision that applies a delta must have the sender's whole configuration,
// deletions included.
func TestDeltaLeadsToTheSendersConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &root{Format: formatVersion, Snapshot: &Snapshot{}}
		editRoot(t, r, rapid.IntRange(1, 8).Draw(t, "before"))
		encoded, err := r.encode()
		require.NoError(t, err)
		old, err := decodeRoot(encoded)
		require.NoError(t, err)
		editRoot(t, r, rapid.IntRange(1, 8).Draw(t, "after"))

		d, ok := r.encodeDelta(old.Snapshot.Revision)
		require.True(t, ok)
		next, err := old.applyDelta(d)
		require.NoError(t, err)
		require.Equal(t, r.Snapshot.fingerprint(), next.Snapshot.fingerprint())
		require.Equal(t, len(r.Snapshot.DataCentres), len(next.Snapshot.DataCentres))
		require.Equal(t, r.History, next.History)
	})
}

// A delta for another revision, a damaged one and one after which an object is missing must be
// refused. The VM then fetches the whole configuration, else it would serve one that was never
// accepted.
func TestDeltaThatDoesNotFitIsFollowedByTheWhole(t *testing.T) {
	sender := NewCache(Options{})
	r := &root{Format: formatVersion, Snapshot: &Snapshot{}}
	r.Snapshot.put(centre("norte-a").Object)
	r.accept("1", nil)
	old, err := r.encode()
	require.NoError(t, err)
	require.NoError(t, applyAll(r.Snapshot, []Change{centre("norte-b")}))
	r.accept("2", nil)
	current, err := r.encode()
	require.NoError(t, err)
	ok, err := sender.Offer(current)
	require.NoError(t, err)
	require.True(t, ok)

	receiver := NewCache(Options{Peers: peer{sender}})
	_, err = receiver.Offer(sender.Encoded(1))
	require.ErrorIs(t, err, errDeltaMismatch)
	_, err = receiver.Offer([]byte("gcd?"))
	require.ErrorIs(t, err, errDeltaMismatch)

	incomplete, err := decodeRoot(old)
	require.NoError(t, err)
	delete(incomplete.Snapshot.DataCentres, "norte-a")
	require.True(t, receiver.publish(publishedFromRoot(incomplete)))
	require.True(t, receiver.fetch(t.Context(), "sender", 1))
	require.Equal(t, sender.Snapshot(), receiver.Snapshot())

	// A delta from before the VM's revision would enter changes twice in its history, which
	// would then seem to reach back further than it does.
	fromOne, ok := r.encodeDelta(1)
	require.True(t, ok)
	require.NoError(t, applyAll(r.Snapshot, []Change{centre("norte-c")}))
	r.accept("3", nil)
	fromOneToThree, ok := r.encodeDelta(1)
	require.True(t, ok)
	atOne, err := decodeRoot(old)
	require.NoError(t, err)
	atTwo, err := atOne.applyDelta(fromOne)
	require.NoError(t, err)
	_, err = atTwo.applyDelta(fromOneToThree)
	require.ErrorIs(t, err, errDeltaMismatch)

	withoutHistory := *r
	withoutHistory.History = nil
	_, ok = withoutHistory.encodeDelta(1)
	require.False(t, ok, "a history that does not reach back lacks deletions")
}

// peer implements Peers with one other VM.
type peer struct{ cache *Cache }

func (g peer) Watcher() bool { return false }

func (g peer) Revisions() map[string]int64 { return map[string]int64{"sender": g.cache.Revision()} }

func (g peer) Fetch(_ context.Context, _ string, have int64) ([]byte, error) {
	return g.cache.Encoded(have), nil
}
