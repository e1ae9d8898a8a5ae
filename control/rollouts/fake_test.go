package rollouts

import (
	"context"
	"sync"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/control"
	"goldcrestfork/durable"
	"goldcrestfork/policy/rollout"
)

// fakeStore is the committed configuration, with one roll-out.
type fakeStore struct {
	mu      sync.Mutex
	rollOut config.RollOut
	since   time.Time
	down    bool
	lose    int
	// history holds every committed change of the roll-out, times when it was made.
	history []config.RollOut
	times   []time.Time
}

// view is one VM's configuration.
type view struct {
	store *fakeStore
	// stale, when set, is what the VM still believes.
	stale *config.RollOut
	// before is called when a write is on its way.
	before func()
	writes int
}

func newFakeStore(steps ...float64) *fakeStore {
	return &fakeStore{since: time.Now(), rollOut: config.RollOut{
		Meta: config.Meta{Name: "r", Revision: 1}, Model: "m", From: "v1", To: "v2",
		Steps: steps, State: config.RollOutRunning,
	}}
}

func (f *fakeStore) current() config.RollOut {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rollOut
}

// change commits what an operator or a controller wants.
func (f *fakeStore) change(mutate func(obj config.Object) error, ifRevision int64) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, durable.ErrUnavailable
	}
	if ifRevision != f.rollOut.Revision {
		return 0, control.ErrConflict
	}
	next := f.rollOut
	if err := mutate(&next); err != nil {
		return 0, err
	}
	next.Revision++
	f.rollOut, f.since = next, time.Now()
	f.history, f.times = append(f.history, next), append(f.times, f.since)
	if f.lose > 0 {
		f.lose--
		return 0, durable.ErrUnknown
	}
	return next.Revision, nil
}

func (v *view) Snapshot() *config.Snapshot {
	r := v.store.current()
	if v.stale != nil {
		r = *v.stale
	}
	version := func(name string) *config.ModelVersion {
		return &config.ModelVersion{Meta: config.Meta{Name: name}, Model: "m", State: config.VersionServing}
	}
	return &config.Snapshot{
		Revision: r.Revision,
		RollOuts: map[string]*config.RollOut{"r": &r},
		Versions: map[string]*config.ModelVersion{"v1": version("v1"), "v2": version("v2")},
	}
}

func (v *view) Update(_ context.Context, _ config.Kind, _ string, mutate func(obj config.Object) error, ifRevision int64) (int64, error) {
	v.writes++
	if v.before != nil {
		v.before()
	}
	return v.store.change(mutate, ifRevision)
}

// traffic counts what 100 requests a second come to, by the share in force.
type traffic struct {
	store *fakeStore
	// badAfter is when, from the epoch's start, the new version fails one request in four.
	badAfter time.Duration
	missing  bool
	// before is called when the counts are gathered, after the snapshot was read.
	before func()
}

const neverBad = time.Duration(1<<63 - 1)

func (t *traffic) Counts(context.Context) ([]rollout.Counts, bool) {
	if t.before != nil {
		t.before()
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	r := t.store.rollOut
	elapsed := time.Since(t.store.since)
	requests := 100 * elapsed.Seconds()
	bad := max(0, 100*(elapsed-t.badAfter).Seconds())
	if t.badAfter == neverBad {
		bad = 0
	}
	tally := func(share, bad float64) rollout.Tally {
		n := share * requests
		return rollout.Tally{Requests: uint64(n), Errors: uint64(n/100 + share*bad/4), Rated: uint64(n)}
	}
	return []rollout.Counts{{
		Source: "all", RollOut: r.Name, Epoch: r.Revision,
		From: tally(1-rollout.Share(&r), 0), To: tally(rollout.Share(&r), bad),
	}}, !t.missing
}

// always holds the lease, as a paused holder believes and a broken lease allows.
type always struct{}

func (always) Held() (time.Time, bool) { return time.Now().Add(time.Hour), true }
