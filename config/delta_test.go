package config

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// editRoot makes random changes on a root: new objects, changed ones, deletions, a
// name that is deleted and comes back.
func editRoot(t *rapid.T, r *root, n int) {
	for range n {
		name := fmt.Sprintf("dc-%d", rapid.IntRange(0, 5).Draw(t, "name"))
		c := centre(name)
		if rapid.Bool().Draw(t, "delete") && r.Snapshot.DataCentres[name] != nil {
			c = Change{Op: OpDelete, Kind: KindDataCentre, Name: name}
		}
		require.NoError(t, applyAll(r.Snapshot, []Change{c}))
		r.accept(fmt.Sprint(r.Snapshot.Revision), removed([]Change{c}))
	}
}

// A VM that was at any earlier revision takes the delta and has the sender's
// configuration, to the last deletion.
func TestDeltaLeadsToTheSendersConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &root{Format: format, Snapshot: &Snapshot{}}
		editRoot(t, r, rapid.IntRange(1, 8).Draw(t, "before"))
		encoded, err := r.encode()
		require.NoError(t, err)
		old, err := decodeRoot(encoded)
		require.NoError(t, err)
		editRoot(t, r, rapid.IntRange(1, 8).Draw(t, "after"))

		d, ok := r.delta(old.Snapshot.Revision)
		require.True(t, ok)
		next, err := old.apply(d)
		require.NoError(t, err)
		require.Equal(t, r.Snapshot.fingerprint(), next.Snapshot.fingerprint())
		require.Equal(t, len(r.Snapshot.DataCentres), len(next.Snapshot.DataCentres))
		require.Equal(t, r.History, next.History)
	})
}

// A delta for another revision, a damaged one and one that misses an object are
// refused; the VM takes the whole instead of serving a configuration that nobody accepted.
func TestDeltaThatDoesNotFitIsFollowedByTheWhole(t *testing.T) {
	sender := NewCache(Options{})
	r := &root{Format: format, Snapshot: &Snapshot{}}
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

	receiver := NewCache(Options{Peers: giver{sender}})
	_, err = receiver.Offer(sender.Encoded(1))
	require.ErrorIs(t, err, errNoDelta)
	_, err = receiver.Offer([]byte("gcd?"))
	require.ErrorIs(t, err, errNoDelta)

	lacking, err := decodeRoot(old)
	require.NoError(t, err)
	delete(lacking.Snapshot.DataCentres, "norte-a")
	require.True(t, receiver.publish(fromDelta(lacking)))
	require.True(t, receiver.fetch(t.Context(), "sender", 1))
	require.Equal(t, sender.Snapshot(), receiver.Snapshot())

	// A delta that starts before the VM's revision would give it a history with
	// changes twice, which then claims to reach back further than it does.
	fromOne, ok := r.delta(1)
	require.True(t, ok)
	require.NoError(t, applyAll(r.Snapshot, []Change{centre("norte-c")}))
	r.accept("3", nil)
	fromOneToThree, ok := r.delta(1)
	require.True(t, ok)
	atOne, err := decodeRoot(old)
	require.NoError(t, err)
	atTwo, err := atOne.apply(fromOne)
	require.NoError(t, err)
	_, err = atTwo.apply(fromOneToThree)
	require.ErrorIs(t, err, errNoDelta)

	forgetful := *r
	forgetful.History = nil
	_, ok = forgetful.delta(1)
	require.False(t, ok, "a history that does not reach back can't tell what was deleted")
}

// giver is a VM's peers: one that has a configuration.
type giver struct{ cache *Cache }

func (g giver) Watcher() bool { return false }

func (g giver) Revisions() map[string]int64 { return map[string]int64{"sender": g.cache.Revision()} }

func (g giver) Fetch(_ context.Context, _ string, have int64) ([]byte, error) {
	return g.cache.Encoded(have), nil
}
