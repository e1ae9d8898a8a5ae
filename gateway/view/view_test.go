package view

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/durable"
	"goldcrestfork/gateway/catalog"
	"goldcrestfork/policy/placement"
)

// Guards against requests to a new version whose endpoints are known before its roll-out order.
// The version waits until roll-outs are known past the creation of its endpoints. Endpoints of
// a version in use get requests at once, and so does a version that is the only one left.
func TestVersionWaitsForItsOrder(t *testing.T) {
	d := newTestView()
	set := func(id, version string, created int64) {
		e := entry(id, created, false)
		e.Value.Version, e.Created = version, created
		d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{e}})
	}
	set("e1", "v1", 10)
	require.Empty(t, d.OnlyVersion("s"), "the roll-outs aren't known at all")
	d.ApplyRollOuts(Update[catalog.RollOut]{All: true, Revision: 20})
	require.Empty(t, d.OnlyVersion("s"))
	set("e2", "v2", 30)
	require.Equal(t, "v1", d.OnlyVersion("s"))
	set("e3", "v1", 31)
	require.Equal(t, "v1", d.OnlyVersion("s"), "v1 goes on, v2 waits")
	require.Empty(t, d.OnlyVersion("other"))

	order := Change[catalog.RollOut]{Item: Item[catalog.RollOut]{Name: "s", Revision: 29, Value: catalog.RollOut{Name: "s", Target: "v2"}}}
	d.ApplyRollOuts(Update[catalog.RollOut]{Revision: 31, Changes: []Change[catalog.RollOut]{order}})
	require.Empty(t, d.OnlyVersion("s"), "the order decides")

	for _, gone := range []string{"e1", "e3"} {
		d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{{Item: Item[catalog.Endpoint]{Name: gone}, Deleted: true}}})
	}
	set("e4", "v3", 40)
	require.Equal(t, "v2", d.OnlyVersion("s"))
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{{Item: Item[catalog.Endpoint]{Name: "e2"}, Deleted: true}}})
	require.Empty(t, d.OnlyVersion("s"), "nothing else is left")
}

// testView is a view with a clock that the test sets.
type testView struct {
	*View
	table *placement.Table
	now   time.Duration
	gone  []string
}

func newTestView() *testView {
	d := &testView{table: placement.New("a"), now: time.Minute}
	d.View = New(Settings{
		Table: d.table, Clock: func() time.Duration { return d.now }, Log: zerolog.Nop(), HoldTime: func() time.Duration { return 1700 * time.Millisecond },
		LapseTime: func() time.Duration { return 2400 * time.Millisecond },
		ColdShare: func(string, float64) float64 { return 1 }, OnRemove: func(a string) { d.gone = append(d.gone, a) },
	})
	return d
}

func entry(id string, revision int64, draining bool) Change[catalog.Endpoint] {
	e := catalog.Endpoint{ID: id, Service: "s", Address: id + ":1", DataCentre: "a", Version: "v1", Slots: 4, Draining: draining}
	return Change[catalog.Endpoint]{Item: Item[catalog.Endpoint]{Name: id, Revision: revision, Value: e}}
}

// served returns the endpoints that get requests.
func (d *testView) served() map[string]bool {
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

// Guards against refusing every request after an outage of the store in which the entries of
// running endpoints expired. Endpoints whose entries stay missing are removed within the drain
// bound.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	d := newTestView()
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

// Guards against requests to an endpoint whose entry was deleted without an outage.
func TestEntryTakenOut(t *testing.T) {
	d := newTestView()
	d.ApplyEndpoints(Update[catalog.Endpoint]{All: true, Changes: []Change[catalog.Endpoint]{entry("e1", 1, false)}})
	gone := entry("e1", 2, false)
	gone.Deleted = true
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{gone}})
	require.Empty(t, d.served())
}

// Guards against an old entry that arrives late, as from a list page read before a change, and
// makes a draining endpoint serve again.
func TestOldEntryChangesNothing(t *testing.T) {
	d := newTestView()
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{entry("e1", 5, true)}})
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{entry("e1", 4, false)}})
	require.Empty(t, d.served())
}

// Guards against failures of an endpoint's previous process that keep requests from it after a
// restart under the same id.
func TestEndpointStartsAgain(t *testing.T) {
	d := newTestView()
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{entry("e1", 1, false)}})
	c, _ := d.table.Pick(time.Now(), rand.New(rand.NewPCG(1, 1)), &placement.Request{Service: "s", Work: 1})
	d.table.Done(time.Now(), c, placement.Broken)
	require.Empty(t, d.served())
	again := entry("e1", 2, false)
	again.Value.StartedAt = 5
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{again}})
	require.Equal(t, map[string]bool{"e1": true}, d.served())
}

// Guards against one unreadable entry that removes the other endpoints.
func TestUnreadableEntry(t *testing.T) {
	d := newTestView()
	bad := Change[catalog.Endpoint]{Item: Item[catalog.Endpoint]{Name: "e1", Revision: 7, Err: errors.New("bad")}}
	d.ApplyEndpoints(Update[catalog.Endpoint]{All: true, Changes: []Change[catalog.Endpoint]{entry("e1", 1, false), bad, entry("e2", 2, false)}})
	require.Equal(t, map[string]bool{"e2": true}, d.served())
}

// Guards against an older configuration that replaces a newer one, and against an earlier
// confirmation time that replaces a later one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	d := newTestView()
	require.Equal(t, neverConfirmed, d.ConfigAge())
	d.ApplyConfig(Update[*catalog.Config]{All: true, ConfirmedAt: d.now, Changes: []Change[*catalog.Config]{conf(5, 50)}})
	d.ApplyConfig(Update[*catalog.Config]{ConfirmedAt: d.now, Changes: []Change[*catalog.Config]{conf(4, 40)}})
	require.EqualValues(t, 5, d.Config().Version)
	d.now += 3 * time.Second
	require.Equal(t, 3*time.Second, d.ConfigAge())
	d.ApplyConfig(Update[*catalog.Config]{ConfirmedAt: d.now - 5*time.Second})
	require.Equal(t, 3*time.Second, d.ConfigAge())
}

// Guards against an age that stays low while the newest configuration can't be read: the VM
// keeps the previous one, which is no longer the newest.
func TestUnreadableConfigurationConfirmsNothing(t *testing.T) {
	d := newTestView()
	d.ApplyConfig(Update[*catalog.Config]{All: true, ConfirmedAt: d.now, Changes: []Change[*catalog.Config]{conf(5, 50)}})
	d.now += 2 * time.Second
	bad := Change[*catalog.Config]{Item: Item[*catalog.Config]{Name: "main", Revision: 60, Err: errors.New("bad")}}
	d.ApplyConfig(Update[*catalog.Config]{ConfirmedAt: d.now, Changes: []Change[*catalog.Config]{bad}})
	require.Equal(t, 2*time.Second, d.ConfigAge())
	require.EqualValues(t, 5, d.Config().Version)
}

func TestDataCentreOut(t *testing.T) {
	d := newTestView()
	d.ApplyEndpoints(Update[catalog.Endpoint]{All: true, Changes: []Change[catalog.Endpoint]{entry("e1", 1, false)}})
	out := Change[struct{}]{Item: Item[struct{}]{Name: "a"}}
	d.ApplyDataCentresOut(Update[struct{}]{Changes: []Change[struct{}]{out}})
	require.Empty(t, d.served())
	out.Deleted = true
	d.ApplyDataCentresOut(Update[struct{}]{Changes: []Change[struct{}]{out}})
	require.Equal(t, map[string]bool{"e1": true}, d.served())
}

// fakeSource is a platform with faults set by the test.
type fakeSource struct {
	mu       sync.Mutex
	revision int64
	err      error
	lists    int
	old      int // calls of Recent
	watches  int
	silent   bool
	changes  []Change[*catalog.Config]
}

func (s *fakeSource) List(context.Context) (Listing[*catalog.Config], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.err != nil {
		return Listing[*catalog.Config]{}, s.err
	}
	return Listing[*catalog.Config]{Revision: s.revision, Items: []Item[*catalog.Config]{conf(1, s.revision).Item}}, nil
}

func (s *fakeSource) Recent(ctx context.Context) (Listing[*catalog.Config], error) {
	l, err := s.List(ctx)
	s.set(func() { s.lists, s.old = s.lists-1, s.old+1 })
	return l, err
}

func (s *fakeSource) Watch(ctx context.Context, _ int64, wait time.Duration) (Changes[*catalog.Config], error) {
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

func (s *fakeSource) Decode([]byte) Item[*catalog.Config] { return Item[*catalog.Config]{} }

func (s *fakeSource) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// follow runs a follower in virtual time and returns the view that it updates.
func follow(t *testing.T, s *fakeSource) *View {
	start := time.Now()
	clock := func() time.Duration { return time.Minute + time.Since(start) }
	v := New(Settings{Table: placement.New("a"), Clock: clock, Log: zerolog.Nop()})
	f := Follower[*catalog.Config]{Kind: "configuration", Source: s, Wait: 2 * time.Second, Clock: clock, Apply: v.ApplyConfig, Log: zerolog.Nop(), Feed: NewFeed(clock, time.Hour), Policy: newFixed(clock)}
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

// Guards against a configuration whose age exceeds Wait while the platform answers, or that
// costs more than a watch each Wait.
func TestConfigAgeStaysLow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{revision: 10}
		v := follow(t, s)
		for range 100 {
			time.Sleep(700 * time.Millisecond)
			synctest.Wait()
			require.LessOrEqual(t, v.ConfigAge(), 2*time.Second+earlyTolerance)
		}
		s.set(func() {
			require.Equal(t, 1, s.lists)
			require.LessOrEqual(t, s.watches, 36)
		})
	})
}

// Guards against an age that doesn't grow while the platform fails by errors or silence, since
// keys would be accepted for too long. The age must drop soon after the platform's return, and
// the calls must be spaced in the outage.
func TestOutageAges(t *testing.T) {
	for name, breakIt := range map[string]func(*fakeSource){
		"errors": func(s *fakeSource) { s.err = durable.ErrUnavailable },
		"silent": func(s *fakeSource) { s.silent = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeSource{revision: 10}
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

// Guards against missed changes when the platform drops its history, and against calls without
// a pause while it keeps none.
func TestHistoryGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{revision: 10}
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

// Guards against a share of a cold endpoint's rate from the time at which the VM knew fewer others.
func TestColdShareFollowsFleet(t *testing.T) {
	d := newTestView()
	share := 10.0
	d.s.ColdShare = func(string, float64) float64 { return share }
	c := catalog.NewConfig(1, 1, nil, []*catalog.Service{{Name: "s", ColdRate: 10}}, nil, false, catalog.Limits{})
	d.ApplyConfig(Update[*catalog.Config]{Changes: []Change[*catalog.Config]{{Item: Item[*catalog.Config]{Name: "main", Revision: 1, Value: c}}}})
	d.ApplyEndpoints(Update[catalog.Endpoint]{Changes: []Change[catalog.Endpoint]{entry("a", 2, false)}})
	require.NotEmpty(t, d.served())
	share = 0 // other VMs were heard, and six of them rank before this one
	d.table.MarkCold(time.Now(), "a", time.Hour)
	require.Empty(t, d.served())
}

// Guards against requests to an endpoint that left while a VM had no word for a moment, later than the drain bound after the last proof that it was there.
func TestEndpointThatLeavesInAShortLossOfWordIsLeft(t *testing.T) {
	d := newTestView()
	d.ApplyEndpoints(Update[catalog.Endpoint]{All: true, ConfirmedAt: d.now, Changes: []Change[catalog.Endpoint]{entry("e1", 1, false), entry("e2", 2, false)}})
	d.now += 1600 * time.Millisecond
	gone := entry("e1", 3, false)
	gone.Deleted = true
	d.ApplyEndpoints(Update[catalog.Endpoint]{ConfirmedAt: d.now, Outage: 100 * time.Millisecond, Changes: []Change[catalog.Endpoint]{gone}})
	d.now += 400 * time.Millisecond
	d.Tick()
	require.Equal(t, map[string]bool{"e2": true}, d.served(), "2 s after the last proof, the drain bound")
}

// Guards against requests to an endpoint that left while this VM alone had lost the platform, later than the drain bound.
func TestEndpointThatLeavesWhileOthersHaveThePlatformIsLeft(t *testing.T) {
	for _, gap := range []time.Duration{0, 4 * time.Second} { // in the other VM's contact with the platform
		d := newTestView()
		clock := func() time.Duration { return d.now }
		feed := NewFeed(clock, 1500*time.Millisecond)
		server := httptest.NewServer(NewFeedTransport(map[string]*Feed{"kind": feed}, prometheus.NewRegistry()).Handler())
		f := &Follower[catalog.Endpoint]{
			Kind: "kind", Source: entrySource{}, Clock: clock, Apply: d.ApplyEndpoints, Log: zerolog.Nop(),
			Feed: NewFeed(clock, 1500*time.Millisecond), Reader: NewFeedTransport(nil, prometheus.NewRegistry()), Policy: newFixed(clock),
		}
		read := func(after int64) {
			_, err := f.readFeed(t.Context(), strings.TrimPrefix(server.URL, "http://"), after)
			require.NoError(t, err)
		}
		feed.apply(feedUpdate{all: true, revision: 2, confirmedAt: d.now, contactAt: d.now, entries: []Entry{newEntry("e1", []byte("e1"), false), newEntry("e2", []byte("e2"), false)}})
		read(0)
		f.beginOutage(errNoSource)
		if gap > 0 {
			d.now += gap
		}
		for range 4 {
			d.now += time.Second
			feed.apply(feedUpdate{revision: 2, confirmedAt: d.now, contactAt: d.now})
		}
		feed.apply(feedUpdate{revision: 3, confirmedAt: d.now, contactAt: d.now, entries: []Entry{newEntry("e1", []byte("e1"), true)}})
		read(2)
		require.Equal(t, map[string]bool{"e1": gap > 0, "e2": true}, map[string]bool{"e1": d.served()["e1"], "e2": d.served()["e2"]}, gap)
		server.Close()
	}
}

// entrySource decodes the name of an endpoint.
type entrySource struct{ Source[catalog.Endpoint] }

func (entrySource) Decode(raw []byte) Item[catalog.Endpoint] {
	return entry(string(raw), 2, false).Item
}
