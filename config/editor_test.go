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

// lateStore reports the next writes as of unknown outcome and makes them later, like a write on
// a connection that the client has abandoned.
type lateStore struct {
	*store.Store
	mu     sync.Mutex
	delays []time.Duration
	wait   sync.WaitGroup
}

func (l *lateStore) Put(ctx context.Context, key durable.Key, value []byte, ifVersion int64) (durable.Object, error) {
	l.mu.Lock()
	var delay time.Duration
	if len(l.delays) > 0 {
		delay, l.delays = l.delays[0], l.delays[1:]
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

// The reply to a write is lost: the write took effect, did not, or takes effect during the
// read-back. In each case the change must be accepted exactly once, at one revision.
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
				s := &lateStore{Store: store.New(), delays: row.late}
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

// The reply is lost and the platform goes down, so the outcome can't be read back. The editor
// must return UnknownError and not ErrNotAccepted, since the platform holds the change. The
// same call after the outage must return the first result.
func TestRepeatSettlesUnknownOutcome(t *testing.T) {
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

// A repeat comes after the root has dropped the change's id. Applying the change again could
// undo later changes of others, so the editor must return UnknownError.
func TestEditorAnswersUnknownBeyondItsHistory(t *testing.T) {
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

// Changes that have no effect must return ErrNotAccepted or Problems, and the reason.
func TestEditorRefusals(t *testing.T) {
	withRoot := func(t *testing.T, value []byte) *store.Store {
		s := store.New()
		_, err := s.Put(t.Context(), RootKey, value, 0)
		require.NoError(t, err)
		return s
	}
	newer := root{Format: formatVersion + 1, Snapshot: &Snapshot{Revision: 3}}
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
		{"older backup restored", Editor{Store: store.New(), HighestRevision: func() int64 { return 9 }}, ErrReverted},
		{"minority", Editor{Store: store.New(), MayAccept: func(context.Context) error { return context.Canceled }}, context.Canceled},
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
	require.ErrorIs(t, err, durable.ErrNotFound, "part of the change was written")
}

// Two operators change the same object from the same revision, and a third changes another
// object. One of the two must succeed and the other must get the object as it is now; the third
// must succeed.
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

// racingStore lets another change be accepted after a read and before the caller gets its
// result.
type racingStore struct {
	*store.Store
	meanwhile func()
}

func (s *racingStore) Get(ctx context.Context, key durable.Key) (durable.Object, error) {
	o, err := s.Store.Get(ctx, key)
	if f := s.meanwhile; f != nil {
		s.meanwhile = nil
		f()
	}
	return o, err
}

func (s *racingStore) List(ctx context.Context, kind string) (durable.Listing, error) {
	l, err := s.Store.List(ctx, kind)
	if f := s.meanwhile; f != nil {
		s.meanwhile = nil
		f()
	}
	return l, err
}

// A change is accepted on this VM while its cache reads the root. The root that was read is
// older than the one in force, but must not be reported as a restored backup.
func TestCacheListRacingAChangeCountsNoReversion(t *testing.T) {
	s := &racingStore{Store: store.New()}
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

// This VM learns of another VM's change while its editor reads the root. The root that was read
// is older than the one in force, but no backup was restored: the operator's change must be
// retried and not refused.
func TestEditorRetriesWhenAChangeRacesItsRead(t *testing.T) {
	s := &racingStore{Store: store.New()}
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
