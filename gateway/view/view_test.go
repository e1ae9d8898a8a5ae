package view

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/durable"
	"goldcrestfork/gateway/catalog"
	"goldcrestfork/policy/placement"
)

// A new version's endpoints are known before the order that brings them in. They get
// nothing until the VM has word of the roll-outs from after their creation; nor do those
// of a later version. Endpoints added to a version in use get their part at once, and
// where only the new version has endpoints it is used.
func TestVersionWaitsForItsOrder(t *testing.T) {
	d := newDesk()
	set := func(id, version string, created int64) {
		e := entry(id, created, false)
		e.Value.Version, e.Created = version, created
		d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{e}})
	}
	set("e1", "v1", 10)
	require.Empty(t, d.Settled("s"), "the roll-outs aren't known at all")
	d.ApplyRollOuts(Update[catalog.RollOut]{All: true, Revision: 20})
	require.Empty(t, d.Settled("s"))
	set("e2", "v2", 30)
	require.Equal(t, "v1", d.Settled("s"))
	set("e3", "v1", 31)
	require.Equal(t, "v1", d.Settled("s"), "v1 goes on, v2 waits")
	require.Empty(t, d.Settled("other"))

	order := Change[catalog.RollOut]{Item: Item[catalog.RollOut]{Name: "s", Revision: 29, Value: catalog.RollOut{Name: "s", Target: "v2"}}}
	d.ApplyRollOuts(Update[catalog.RollOut]{Revision: 31, Changes: []Change[catalog.RollOut]{order}})
	require.Empty(t, d.Settled("s"), "the order decides")

	for _, gone := range []string{"e1", "e3"} {
		d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{{Item: Item[catalog.Endpoint]{Name: gone}, Deleted: true}}})
	}
	set("e4", "v3", 40)
	require.Equal(t, "v2", d.Settled("s"))
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{{Item: Item[catalog.Endpoint]{Name: "e2"}, Deleted: true}}})
	require.Empty(t, d.Settled("s"), "nothing else is left")
}

// desk is a view with a clock that the test turns.
type desk struct {
	*View
	table *placement.Table
	now   time.Duration
	gone  []string
}

func newDesk() *desk {
	d := &desk{table: placement.New("a"), now: time.Minute}
	d.View = New(Settings{
		Table: d.table, Clock: func() time.Duration { return d.now }, Log: zerolog.Nop(), Hold: func() time.Duration { return 1700 * time.Millisecond },
		ColdShare: func(string, float64) float64 { return 1 }, Gone: func(a string) { d.gone = append(d.gone, a) },
	})
	return d
}

func entry(id string, revision int64, draining bool) Change[catalog.Endpoint] {
	e := catalog.Endpoint{ID: id, Service: "s", Address: id + ":1", DataCentre: "a", Version: "v1", Slots: 4, Draining: draining}
	return Change[catalog.Endpoint]{Item: Item[catalog.Endpoint]{Name: id, Revision: revision, Value: e}}
}

// served lists the endpoints that get work.
func (d *desk) served() map[string]bool {
	out := map[string]bool{}
	for range 50 {
		c, miss := d.table.Pick(time.Now(), rand.New(rand.NewPCG(rand.Uint64(), 1)), &placement.Request{Service: "s", Work: 1})
		if miss != placement.Picked {
			continue
		}
		out[c.ID] = true
	}
	return out
}

func conf(version, revision int64) Change[*catalog.Config] {
	c := catalog.NewConfig(version, revision, nil, nil, nil, false, catalog.Limits{})
	return Change[*catalog.Config]{Item: Item[*catalog.Config]{Name: "main", Revision: revision, Value: c}}
}

// The store is away and with it the endpoints' entries lapse, though all endpoints
// live. When it is back the entries are missing for a moment. Were they believed at
// once, every request of that moment would be refused. Those that don't come back are
// gone, within the drain bound.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	d := newDesk()
	d.ApplyEndpoints(Update[catalog.Endpoint]{All: true, Changes: []Change[catalog.Endpoint]{entry("e1", 1, false), entry("e2", 2, false), entry("e3", 3, true)}})
	require.Equal(t, map[string]bool{"e1": true, "e2": true}, d.served())

	d.ApplyEndpoints(Update[catalog.Endpoint]{All: true, Outage: 5 * time.Second})
	require.Equal(t, map[string]bool{"e1": true, "e2": true}, d.served())

	d.now += time.Second
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{entry("e1", 9, false)}})
	d.Tick()
	require.Equal(t, map[string]bool{"e1": true, "e2": true}, d.served())

	d.now += time.Second
	d.Tick()
	require.Equal(t, map[string]bool{"e1": true}, d.served())
	require.ElementsMatch(t, []string{"e2:1", "e3:1"}, d.gone)
}

// Without an outage an entry that is taken out means that its endpoint leaves: nothing
// goes there any more.
func TestEntryTakenOut(t *testing.T) {
	d := newDesk()
	d.ApplyEndpoints(Update[catalog.Endpoint]{All: true, Changes: []Change[catalog.Endpoint]{entry("e1", 1, false)}})
	gone := entry("e1", 2, false)
	gone.Deleted = true
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{gone}})
	require.Empty(t, d.served())
}

// The order of events: an old entry that comes late, as from a page of a list that was
// read before a change, must not make a draining endpoint serve again.
func TestOldEntryChangesNothing(t *testing.T) {
	d := newDesk()
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{entry("e1", 5, true)}})
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{entry("e1", 4, false)}})
	require.Empty(t, d.served())
}

// An endpoint that was down starts again under its id. The failures of its life before
// must not keep work from it.
func TestEndpointStartsAgain(t *testing.T) {
	d := newDesk()
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{entry("e1", 1, false)}})
	c, _ := d.table.Pick(time.Now(), rand.New(rand.NewPCG(1, 1)), &placement.Request{Service: "s", Work: 1})
	d.table.Done(time.Now(), c, placement.Broken)
	require.Empty(t, d.served())
	again := entry("e1", 2, false)
	again.Value.Born = 5
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{again}})
	require.Equal(t, map[string]bool{"e1": true}, d.served())
}

// An entry that can't be read names no endpoint; the others hold.
func TestUnreadableEntry(t *testing.T) {
	d := newDesk()
	bad := Change[catalog.Endpoint]{Item: Item[catalog.Endpoint]{Name: "e1", Revision: 7, Err: errors.New("bad")}}
	d.ApplyEndpoints(Update[catalog.Endpoint]{All: true, Changes: []Change[catalog.Endpoint]{entry("e1", 1, false), bad, entry("e2", 2, false)}})
	require.Equal(t, map[string]bool{"e2": true}, d.served())
}

// A configuration never goes back, whatever order they come in, and the proof of one
// isn't proof of an older.
func TestConfigurationNeverGoesBack(t *testing.T) {
	d := newDesk()
	require.Equal(t, never, d.ConfigAge())
	d.ApplyConfig(Update[*catalog.Config]{All: true, Proof: d.now, Changes: []Change[*catalog.Config]{conf(5, 50)}})
	d.ApplyConfig(Update[*catalog.Config]{Proof: d.now, Changes: []Change[*catalog.Config]{conf(4, 40)}})
	require.EqualValues(t, 5, d.Config().Version)
	d.now += 3 * time.Second
	require.Equal(t, 3*time.Second, d.ConfigAge())
	d.ApplyConfig(Update[*catalog.Config]{Proof: d.now - 5*time.Second})
	require.Equal(t, 3*time.Second, d.ConfigAge())
}

// The newest configuration can't be read: the VM goes on with the last, but its age
// must grow, since what is in force isn't the newest.
func TestUnreadableConfigurationProvesNothing(t *testing.T) {
	d := newDesk()
	d.ApplyConfig(Update[*catalog.Config]{All: true, Proof: d.now, Changes: []Change[*catalog.Config]{conf(5, 50)}})
	d.now += 2 * time.Second
	bad := Change[*catalog.Config]{Item: Item[*catalog.Config]{Name: "main", Revision: 60, Err: errors.New("bad")}}
	d.ApplyConfig(Update[*catalog.Config]{Proof: d.now, Changes: []Change[*catalog.Config]{bad}})
	require.Equal(t, 2*time.Second, d.ConfigAge())
	require.EqualValues(t, 5, d.Config().Version)
}

func TestDataCentreOut(t *testing.T) {
	d := newDesk()
	d.ApplyEndpoints(Update[catalog.Endpoint]{All: true, Changes: []Change[catalog.Endpoint]{entry("e1", 1, false)}})
	out := Change[struct{}]{Item: Item[struct{}]{Name: "a"}}
	d.ApplyOut(Update[struct{}]{Changes: []Change[struct{}]{out}})
	require.Empty(t, d.served())
	out.Deleted = true
	d.ApplyOut(Update[struct{}]{Changes: []Change[struct{}]{out}})
	require.Equal(t, map[string]bool{"e1": true}, d.served())
}

// source is a platform that the test breaks.
type source struct {
	mu       sync.Mutex
	revision int64
	err      error
	lists    int
	old      int // lists that may be old
	watches  int
	silent   bool
	changes  []Change[*catalog.Config]
}

func (s *source) List(context.Context) (Listing[*catalog.Config], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.err != nil {
		return Listing[*catalog.Config]{}, s.err
	}
	return Listing[*catalog.Config]{Revision: s.revision, Items: []Item[*catalog.Config]{conf(1, s.revision).Item}}, nil
}

func (s *source) Recent(ctx context.Context) (Listing[*catalog.Config], error) {
	l, err := s.List(ctx)
	s.set(func() { s.lists, s.old = s.lists-1, s.old+1 })
	return l, err
}

func (s *source) Watch(ctx context.Context, _ int64, wait time.Duration) (Changes[*catalog.Config], error) {
	s.mu.Lock()
	s.watches++
	err, silent, changes, revision := s.err, s.silent, s.changes, s.revision
	s.changes = nil
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return Changes[*catalog.Config]{}, durable.ErrUnavailable
	}
	if err != nil {
		return Changes[*catalog.Config]{}, err
	}
	if len(changes) == 0 {
		time.Sleep(wait)
	}
	return Changes[*catalog.Config]{Changes: changes, Revision: revision}, nil
}

func (s *source) Decode([]byte) Item[*catalog.Config] { return Item[*catalog.Config]{} }

func (s *source) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// follow runs a follower in virtual time and returns the view that it feeds.
func follow(t *testing.T, s *source) *View {
	start := time.Now()
	clock := func() time.Duration { return time.Minute + time.Since(start) }
	v := New(Settings{Table: placement.New("a"), Clock: clock, Log: zerolog.Nop()})
	f := Follower[*catalog.Config]{Kind: "configuration", Source: s, Wait: 2 * time.Second, Clock: clock, Apply: v.ApplyConfig, Log: zerolog.Nop(), Feed: NewFeed(clock, time.Hour), Guide: newGuide(clock)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return v
}

// In calm a watch a Wait proves the configuration, and its age stays near Wait.
func TestProofStaysFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{revision: 10}
		v := follow(t, s)
		for range 100 {
			time.Sleep(700 * time.Millisecond)
			synctest.Wait()
			require.LessOrEqual(t, v.ConfigAge(), 2*time.Second+early)
		}
		s.set(func() {
			require.Equal(t, 1, s.lists)
			require.LessOrEqual(t, s.watches, 36)
		})
	})
}

// The platform goes away, by errors or by a connection that goes silent. The proof must
// age from then on, so that keys are no longer honoured in time, and be fresh again soon
// after the platform is back, without a call more often than each lastPause.
func TestOutageAges(t *testing.T) {
	for name, breakIt := range map[string]func(*source){
		"errors": func(s *source) { s.err = durable.ErrUnavailable },
		"silent": func(s *source) { s.silent = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &source{revision: 10}
				v := follow(t, s)
				time.Sleep(10 * time.Second)
				s.set(func() { breakIt(s); s.watches = 0 })
				time.Sleep(10 * time.Second)
				synctest.Wait()
				require.Greater(t, v.ConfigAge(), 7*time.Second)
				s.set(func() {
					require.LessOrEqual(t, s.watches, 24)
					s.err, s.silent = nil, false
				})
				time.Sleep(2 * time.Second)
				synctest.Wait()
				require.Less(t, v.ConfigAge(), 2*time.Second)
			})
		})
	}
}

// The platform forgets its history: the kind is listed anew, and nothing is missed.
// While it keeps none at all it isn't asked without a pause.
func TestHistoryGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{revision: 10}
		v := follow(t, s)
		time.Sleep(3 * time.Second)
		s.set(func() { s.err, s.revision, s.lists, s.watches = durable.ErrGone, 20, 0, 0 })
		time.Sleep(3 * time.Second)
		s.set(func() {
			require.LessOrEqual(t, s.lists+s.watches, 10)
			s.err = nil
		})
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.EqualValues(t, 20, v.Config().Revision)
	})
}
