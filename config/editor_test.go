package config

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"goldcrestfork/durable"
	"goldcrestfork/standin/store"
)

func centre(name string) Change {
	return Change{Object: &DataCentre{Meta: Meta{Name: name}, Region: "norte", State: DataCentreIn}}
}

// lateStore is a store whose next writes seem lost and land a little later, as
// a write stuck in a connection that was given up does.
type lateStore struct {
	*store.Store
	mu   sync.Mutex
	late []time.Duration
	wait sync.WaitGroup
}

func (l *lateStore) Put(ctx context.Context, key durable.Key, value []byte, ifVersion int64) (durable.Object, error) {
	l.mu.Lock()
	var delay time.Duration
	if len(l.late) > 0 {
		delay, l.late = l.late[0], l.late[1:]
	}
	l.mu.Unlock()
	if delay == 0 {
		return l.Store.Put(ctx, key, value, ifVersion)
	}
	l.wait.Go(func() {
		time.Sleep(delay)
		_, _ = l.Store.Put(context.WithoutCancel(ctx), key, value, ifVersion)
	})
	return durable.Object{}, durable.ErrUnknown
}

// The reply to a change is lost. The operator must learn the change's true fate:
// the effect took place, didn't, or takes place while the editor looks. In each
// case the change is accepted once, at one revision.
func TestEditorSettlesLostReplies(t *testing.T) {
	rows := []struct {
		name   string
		faults store.Faults
		late   []time.Duration
	}{
		{"effect without reply", store.Faults{LoseReplies: 1}, nil},
		{"no effect, no reply", store.Faults{RefuseWrites: 1}, nil},
		{"three replies lost", store.Faults{RefuseWrites: 2, LoseReplies: 1}, nil},
		{"lands before the read-back", store.Faults{Delay: 5 * time.Millisecond}, []time.Duration{time.Millisecond}},
		{"lands between read-back and repeat", store.Faults{Delay: 5 * time.Millisecond}, []time.Duration{22 * time.Millisecond}},
		{"lands after the repeat", store.Faults{}, []time.Duration{time.Second, 2 * time.Second}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &lateStore{Store: store.New(), late: row.late}
				s.SetFaults(row.faults)
				e := Editor{Store: s}
				revision, snapshot, err := e.Apply(t.Context(), []Change{centre("norte-a")})
				require.NoError(t, err)
				s.wait.Wait()
				require.EqualValues(t, 1, revision)
				require.Contains(t, snapshot.DataCentres, "norte-a")
				o, err := s.Get(t.Context(), RootKey)
				require.NoError(t, err)
				back, err := Decode(o.Value)
				require.NoError(t, err)
				require.EqualValues(t, 1, back.Revision, "the change was accepted twice")
			})
		})
	}
}

// The reply is lost and then the platform goes down, so the fate can't be read
// back. The answer must be "unknown", never "not accepted": the change is in the
// platform. The same call again, after the outage, returns the first result.
func TestEditorSaysUnknownAndRepeatSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		s.SetFaults(store.Faults{LoseReplies: 1, Delay: 10 * time.Millisecond})
		time.AfterFunc(15*time.Millisecond, func() { s.SetFaults(store.Faults{LoseReplies: 1, Down: true}) })
		e := Editor{Store: s}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, _, err := e.ApplyOnce(ctx, "change-1", 0, []Change{centre("norte-a")})
		var unknown *UnknownError
		require.ErrorAs(t, err, &unknown)
		require.NotErrorIs(t, err, ErrNotAccepted)

		s.SetFaults(store.Faults{})
		other := Editor{Store: s}
		_, _, err = other.Apply(t.Context(), []Change{centre("norte-b")})
		require.NoError(t, err)
		revision, snapshot, err := other.ApplyOnce(t.Context(), unknown.ID, unknown.Since, []Change{centre("norte-a")})
		require.NoError(t, err)
		require.EqualValues(t, 1, revision)
		require.EqualValues(t, 2, snapshot.Revision)
	})
}

// A repeat comes after the root has forgotten the id. Making the change again
// could undo what others did since, so the answer is "unknown".
func TestEditorRefusesToGuessBeyondItsHistory(t *testing.T) {
	e := Editor{Store: store.New()}
	for i := range historyLength + 1 {
		_, _, err := e.ApplyOnce(t.Context(), fmt.Sprint(i), -1, []Change{centre("norte-a")})
		require.NoError(t, err)
	}
	_, _, err := e.ApplyOnce(t.Context(), "0", 0, []Change{centre("norte-a")})
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
	revision, _, err := e.ApplyOnce(t.Context(), "1", 1, []Change{centre("norte-a")})
	require.NoError(t, err)
	require.EqualValues(t, 2, revision)
}

// Changes that have no effect say so, and the operator can trust it.
func TestEditorRefusals(t *testing.T) {
	withRoot := func(t *testing.T, value []byte) *store.Store {
		s := store.New()
		_, err := s.Put(t.Context(), RootKey, value, 0)
		require.NoError(t, err)
		return s
	}
	newer := root{Format: format + 1, Snapshot: &Snapshot{Revision: 3}}
	newerBytes, err := newer.encode()
	require.NoError(t, err)
	down := store.New()
	down.SetFaults(store.Faults{Down: true})
	rows := []struct {
		name   string
		editor Editor
		want   error
	}{
		{"platform down", Editor{Store: down}, durable.ErrUnavailable},
		{"root of a newer release", Editor{Store: withRoot(t, newerBytes)}, ErrNewer},
		{"foreign bytes in the root", Editor{Store: withRoot(t, []byte("x"))}, ErrFormat},
		{"older backup restored", Editor{Store: store.New(), Floor: func() int64 { return 9 }}, ErrReverted},
		{"minority", Editor{Store: store.New(), Gate: func(context.Context) error { return context.Canceled }}, context.Canceled},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, _, err := row.editor.Apply(t.Context(), []Change{centre("norte-a")})
			require.ErrorIs(t, err, ErrNotAccepted)
			require.ErrorIs(t, err, row.want)
		})
	}
	e := Editor{Store: store.New()}
	_, _, err = e.Apply(t.Context(), []Change{centre("norte-a"), centre("Norte")})
	require.IsType(t, Problems{}, err)
	_, err = e.Store.Get(t.Context(), RootKey)
	require.ErrorIs(t, err, durable.ErrNotFound, "half a change was written")
}

// Two operators change the same object from the same state, and a third changes
// another one meanwhile. One of the two wins; the loser gets the object as it
// stands. The third is not disturbed.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		e := Editor{Store: s}
		first, _, err := e.Apply(t.Context(), []Change{centre("norte-a"), centre("norte-b")})
		require.NoError(t, err)
		s.SetFaults(store.Faults{Delay: 5 * time.Millisecond})
		var wg sync.WaitGroup
		errs := make([]error, 3)
		for i, c := range []Change{centre("norte-a"), centre("norte-a"), {Op: OpLabel, Kind: KindDataCentre, Name: "norte-b", Labels: map[string]string{"k": "v"}}} {
			c.IfRevision = first
			wg.Go(func() { _, _, errs[i] = e.Apply(t.Context(), []Change{c}) })
		}
		wg.Wait()
		require.NoError(t, errs[2])
		loser := errs[0]
		if loser == nil {
			loser = errs[1]
		} else {
			require.NoError(t, errs[1])
		}
		var conflict *ConflictError
		require.ErrorAs(t, loser, &conflict)
		require.Greater(t, MetaOf(conflict.Current).Revision, first)
	})
}

// slowStore lets another change be accepted between its answer and the editor's reading of it.
type slowStore struct {
	*store.Store
	meanwhile func()
}

func (s *slowStore) Get(ctx context.Context, key durable.Key) (durable.Object, error) {
	o, err := s.Store.Get(ctx, key)
	if f := s.meanwhile; f != nil {
		s.meanwhile = nil
		f()
	}
	return o, err
}

func (s *slowStore) List(ctx context.Context, kind string) (durable.Listing, error) {
	l, err := s.Store.List(ctx, kind)
	if f := s.meanwhile; f != nil {
		s.meanwhile = nil
		f()
	}
	return l, err
}

// While a cache reads the root, a change is accepted on this VM. The root it read
// is older than what is in force, but nobody may be called out for a restored backup.
func TestRacingChangeIsNoAlarm(t *testing.T) {
	s := &slowStore{Store: store.New()}
	cache := NewCache(Options{Store: s})
	s.meanwhile = func() {
		_, _, err := NewEditor(s.Store, cache).Apply(t.Context(), []Change{centre("norte-b")})
		require.NoError(t, err)
	}
	_, err := cache.list(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 1, cache.Revision())
	require.Zero(t, testutil.ToFloat64(cache.opts.Metrics.Reverted))
}

// While an editor reads the root, this VM learns of a change that another VM made.
// The root it read is older than what the VM has, but nothing was restored: the
// operator's change must be tried again, not refused.
func TestRacingChangeIsNoRestoredBackup(t *testing.T) {
	s := &slowStore{Store: store.New()}
	cache := NewCache(Options{Store: s})
	s.meanwhile = func() {
		other := NewEditor(s.Store, cache)
		_, _, err := other.Apply(t.Context(), []Change{centre("norte-b")})
		require.NoError(t, err)
	}
	revision, _, err := NewEditor(s, cache).Apply(t.Context(), []Change{centre("norte-a")})
	require.NoError(t, err)
	require.EqualValues(t, 2, revision)
}
