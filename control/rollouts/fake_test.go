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

// fakeStore holds the committed configuration with one roll-out.
type fakeStore struct {
	mu          sync.Mutex
	rollOut     config.RollOut
	changedAt   time.Time
	down        bool
	loseReplies int
	// history holds every committed state of the roll-out, times the time of each.
	history []config.RollOut
	times   []time.Time
}

// vmConfiguration implements control.Configuration for one VM.
type vmConfiguration struct {
	store *fakeStore
	// staleRollOut, if set, is the outdated roll-out in the VM's snapshot.
	staleRollOut *config.RollOut
	// beforeWrite is called before each write takes effect.
	beforeWrite func()
	writes      int
}

func newFakeStore(steps ...float64) *fakeStore {
	return &fakeStore{changedAt: time.Now(), rollOut: config.RollOut{
		Meta: config.Meta{Name: "r", Revision: 1}, Model: "m", From: "v1", To: "v2",
		Steps: steps, State: config.RollOutRunning,
	}}
}

func (f *fakeStore) current() config.RollOut {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rollOut
}

// change commits a change by an operator or a controller.
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
	f.rollOut, f.changedAt = next, time.Now()
	f.history, f.times = append(f.history, next), append(f.times, f.changedAt)
	if f.loseReplies > 0 {
		f.loseReplies--
		return 0, durable.ErrUnknown
	}
	return next.Revision, nil
}

func (v *vmConfiguration) Snapshot() *config.Snapshot {
	r := v.store.current()
	if v.staleRollOut != nil {
		r = *v.staleRollOut
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

func (v *vmConfiguration) Update(_ context.Context, _ config.Kind, _ string, mutate func(obj config.Object) error, ifRevision int64) (int64, error) {
	v.writes++
	if v.beforeWrite != nil {
		v.beforeWrite()
	}
	return v.store.change(mutate, ifRevision)
}

// trafficCounter implements CountsSource with the counts of 100 requests per second, split
// by the share in force.
type trafficCounter struct {
	store *fakeStore
	// badAfter is the time from the start of the epoch after which the new version fails
	// one request in four.
	badAfter time.Duration
	missing  bool
	// beforeCounts is called when the controller reads the counts, after it has read the
	// snapshot.
	beforeCounts func()
}

const neverBad = time.Duration(1<<63 - 1)

func (t *trafficCounter) Counts(context.Context) ([]rollout.Counts, bool) {
	if t.beforeCounts != nil {
		t.beforeCounts()
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	r := t.store.rollOut
	elapsed := time.Since(t.store.changedAt)
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

// alwaysHeld is a Holder that always reports the lease as held, as a holder that was
// paused or a broken lease may do.
type alwaysHeld struct{}

func (alwaysHeld) Held() (time.Time, bool) { return time.Now().Add(time.Hour), true }
