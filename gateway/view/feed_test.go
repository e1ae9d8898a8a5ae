package view

import (
	"context"
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
)

func sinceStart() Clock {
	start := time.Now()
	return func() time.Duration { return time.Minute + time.Since(start) }
}

func raw(s string) []Entry { return []Entry{newEntry(s, []byte(s), false)} }

// Guards against a waiting reader that misses a change, or whose state ages although the feed
// had a later contact with the platform.
func TestFeedWakesWaitingReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := sinceStart()
		f := NewFeed(clock, 1500*time.Millisecond)
		f.apply(feedUpdate{all: true, revision: 10, confirmedAt: clock(), contactAt: clock()})
		go func() {
			time.Sleep(time.Second)
			f.apply(feedUpdate{revision: 11, confirmedAt: clock(), contactAt: clock()})
			time.Sleep(time.Second)
			f.apply(feedUpdate{revision: 12, confirmedAt: clock(), contactAt: clock(), entries: raw("x")})
		}()
		began := time.Now()
		s, err := f.Wait(t.Context(), 10, 0)
		require.NoError(t, err)
		require.Empty(t, s.Entries)
		require.Equal(t, time.Second, time.Since(began))
		s, err = f.Wait(t.Context(), s.Revision, s.SinceContact)
		require.NoError(t, err)
		require.Len(t, s.Entries, 1)
		require.Equal(t, 2*time.Second, time.Since(began))
		require.Zero(t, s.Age)
	})
}

// Guards against readers that stay with a feed whose VM lost the platform, by an error or by
// silence. The platform may still serve the readers and hold a revoked key.
func TestFeedEndsWithItsVMsPlatform(t *testing.T) {
	for name, c := range map[string]struct {
		lose   bool
		within time.Duration
	}{"error": {true, 200 * time.Millisecond}, "silence": {false, 1500 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := sinceStart()
				f := NewFeed(clock, 1500*time.Millisecond)
				f.apply(feedUpdate{all: true, revision: 10, confirmedAt: clock(), contactAt: clock()})
				if c.lose {
					go func() {
						time.Sleep(200 * time.Millisecond)
						f.expire()
					}()
				}
				began := time.Now()
				_, err := f.Wait(t.Context(), 10, 0)
				require.ErrorIs(t, err, ErrStale)
				require.Equal(t, c.within, time.Since(began))
			})
		})
	}
}

// Guards against gaps in what a reader gets. A reader that knows nothing, or is further behind
// than the log, gets the whole kind without deleted objects, since it deletes what is missing.
// A reader that is ahead of the feed waits.
func TestFeedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := sinceStart()
		f := NewFeed(clock, time.Hour)
		_, err := f.Wait(t.Context(), 1, 0)
		require.ErrorIs(t, err, ErrStale)
		f.apply(feedUpdate{all: true, revision: 10, contactAt: clock(), entries: append(raw("old"), raw("kept")...)})
		for _, after := range []int64{0, 9} {
			s, err := f.Wait(t.Context(), after, 0)
			require.NoError(t, err)
			require.True(t, s.All)
			require.Equal(t, int64(10), s.Revision)
			require.Len(t, s.Entries, 2)
		}
		f.apply(feedUpdate{revision: 11, contactAt: clock(), entries: []Entry{newEntry("old", nil, true)}})
		for i := range int64(maxLogEntries) {
			f.apply(feedUpdate{revision: 12 + i, contactAt: clock(), entries: raw("x")})
		}
		s, err := f.Wait(t.Context(), 10, 0)
		require.NoError(t, err)
		require.True(t, s.All)
		var names []string
		for _, e := range s.Entries {
			names = append(names, string(e.Raw))
		}
		require.ElementsMatch(t, []string{"kept", "x"}, names)
		s, err = f.Wait(t.Context(), 11, 0)
		require.NoError(t, err)
		require.False(t, s.All)
		require.Len(t, s.Entries, maxLogEntries)
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = f.Wait(ctx, 12+maxLogEntries, 0)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, time.Second, time.Since(began))
	})
}

func TestEntryCompression(t *testing.T) {
	for _, s := range []string{"", "short", strings.Repeat("a long configuration ", 1000)} {
		e := newEntry("", []byte(s), true)
		got, err := e.decompress()
		require.NoError(t, err)
		require.Equal(t, s, string(got))
		require.True(t, e.Deleted)
	}
	require.Less(t, len(newEntry("", []byte(strings.Repeat("a", 10000)), false).Raw), 1000)
}

// fakeStore holds one configuration whose version is the length of its raw text.
type fakeStore struct {
	mu      sync.Mutex
	calls   int
	version int64
	wake    chan struct{}
}

func (n *fakeStore) List(context.Context) (Listing[*catalog.Config], error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	return Listing[*catalog.Config]{Revision: n.version, Items: []Item[*catalog.Config]{n.item()}}, nil
}

// Recent implements Source; it returns the current objects.
func (n *fakeStore) Recent(ctx context.Context) (Listing[*catalog.Config], error) { return n.List(ctx) }

func (n *fakeStore) item() Item[*catalog.Config] {
	it := n.Decode([]byte(strings.Repeat("i", int(n.version))))
	return it
}

func (n *fakeStore) Watch(ctx context.Context, after int64, wait time.Duration) (Changes[*catalog.Config], error) {
	n.mu.Lock()
	n.calls++
	wake := n.wake
	n.mu.Unlock()
	select {
	case <-wake:
	case <-time.After(wait):
	case <-ctx.Done():
		return Changes[*catalog.Config]{}, durable.ErrUnavailable
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	c := Changes[*catalog.Config]{Revision: n.version}
	if n.version > after {
		c.Changes = []Change[*catalog.Config]{{Item: n.item()}}
	}
	return c, nil
}

func (n *fakeStore) Decode(raw []byte) Item[*catalog.Config] {
	it := conf(int64(len(raw)), int64(len(raw))).Item
	it.Raw = raw
	return it
}

func (n *fakeStore) change() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.version++
	close(n.wake)
	n.wake = make(chan struct{})
}

// Guards against changes that don't pass along a chain of VMs, of which only the first calls
// the platform after its start, and against a state at the end that counts as newer than it is.
func TestFeedChain(t *testing.T) {
	platform := &fakeStore{version: 5, wake: make(chan struct{})}
	clock := sinceStart()
	var views []*View
	var peers []string
	var own []*fakeStore
	for i := range 3 {
		source := platform
		if i > 0 {
			source = &fakeStore{version: 5, wake: make(chan struct{})}
		}
		own = append(own, source)
		v := New(Settings{Clock: clock, Log: zerolog.Nop()})
		feed := NewFeed(clock, time.Minute)
		transport := NewFeedTransport(map[string]*Feed{"kind": feed}, prometheus.NewRegistry())
		server := httptest.NewServer(transport.Handler())
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		var parent []string
		if i > 0 {
			parent = peers[i-1:]
		}
		peers = append(peers, strings.TrimPrefix(server.URL, "http://"))
		f := &Follower[*catalog.Config]{
			Kind: "kind", Source: source, Wait: 20 * time.Millisecond, Clock: clock, Apply: v.ApplyConfig, Log: zerolog.Nop(),
			Feed: feed, Reader: transport, Policy: newFixed(clock, parent...), PeerListTimeout: time.Hour,
		}
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
		views = append(views, v)
		require.Eventually(t, func() bool { return v.Config() != nil }, 20*time.Second, time.Millisecond)
	}
	for range 3 {
		platform.change()
		for _, v := range views {
			require.Eventually(t, func() bool { return v.Config().Version == platform.at() }, 20*time.Second, time.Millisecond)
		}
	}
	for _, n := range own[1:] {
		n.mu.Lock()
		calls := n.calls
		n.mu.Unlock()
		require.Zero(t, calls, "no calls, not even a list at the start")
	}
}

// Guards against state from another VM that counts as new: its age there, three seconds, and
// the time of the answer must be added.
func TestPeerConfirmationKeepsItsAge(t *testing.T) {
	clock := sinceStart()
	feed := NewFeed(clock, time.Minute)
	feed.apply(feedUpdate{all: true, revision: 5, confirmedAt: clock() - 3*time.Second, contactAt: clock()})
	server := httptest.NewServer(NewFeedTransport(map[string]*Feed{"kind": feed}, prometheus.NewRegistry()).Handler())
	defer server.Close()
	v := New(Settings{Clock: clock, Log: zerolog.Nop()})
	v.ApplyConfig(Update[*catalog.Config]{All: true, ConfirmedAt: clock() - time.Hour, Changes: []Change[*catalog.Config]{conf(5, 5)}})
	f := &Follower[*catalog.Config]{
		Kind: "kind", Source: &fakeStore{}, Clock: clock, Apply: v.ApplyConfig, Log: zerolog.Nop(),
		Feed: NewFeed(clock, time.Minute), Reader: NewFeedTransport(nil, prometheus.NewRegistry()), Policy: newFixed(clock),
	}
	_, err := f.readFeed(t.Context(), strings.TrimPrefix(server.URL, "http://"), 5)
	require.NoError(t, err)
	require.GreaterOrEqual(t, v.ConfigAge(), 3*time.Second)
	require.Less(t, v.ConfigAge(), time.Minute)
}

// Guards against dozens of VMs that call the platform at once because one watch was broken off.
// At a second failure in a row the platform may refuse this VM, and its readers must leave. A
// success in between resets the count.
func TestOneCutWatchKeepsReaders(t *testing.T) {
	clock := sinceStart()
	f := &Follower[*catalog.Config]{Kind: "kind", Clock: clock, Log: zerolog.Nop(), Feed: NewFeed(clock, time.Minute), Policy: newFixed(clock)}
	contact := func() { f.Feed.apply(feedUpdate{all: true, revision: 5, confirmedAt: clock(), contactAt: clock()}) }
	contact()
	for range 2 {
		f.noteFailure(t.Context(), durable.ErrUnavailable)
		_, err := f.Feed.step(5)
		require.NoError(t, err)
		f.endOutage()
	}
	f.noteFailure(t.Context(), durable.ErrUnavailable)
	f.noteFailure(t.Context(), durable.ErrUnavailable)
	_, err := f.Feed.step(5)
	require.ErrorIs(t, err, ErrStale)
}

// Guards against a first watch that waits its full time after a VM stops reading a feed: its
// state is as old as the feed's, and its own readers wait for a newer one.
func TestFirstCallAfterAFeedIsShort(t *testing.T) {
	clock := sinceStart()
	feed := NewFeed(clock, time.Minute)
	feed.apply(feedUpdate{all: true, revision: 5, confirmedAt: clock(), contactAt: clock(), entries: raw("iiiii")})
	server := httptest.NewServer(NewFeedTransport(map[string]*Feed{"kind": feed}, prometheus.NewRegistry()).Handler())
	defer server.Close()
	v := New(Settings{Clock: clock, Log: zerolog.Nop()})
	policy := newFixed(clock, strings.TrimPrefix(server.URL, "http://"))
	source := &fakeStore{version: 5, wake: make(chan struct{})}
	f := &Follower[*catalog.Config]{
		Kind: "kind", Source: source, Wait: time.Hour, Clock: clock, Apply: v.ApplyConfig, Log: zerolog.Nop(),
		Feed: NewFeed(clock, time.Minute), Reader: NewFeedTransport(nil, prometheus.NewRegistry()), Policy: policy, PeerListTimeout: time.Hour,
	}
	revision, err := f.fetchAll(t.Context(), true)
	require.NoError(t, err)
	require.Equal(t, int64(5), revision)
	require.NotNil(t, v.Config(), "the whole kind came from the other VM")
	feed.apply(feedUpdate{revision: 6, confirmedAt: clock(), contactAt: clock(), entries: raw("iiiiii")})
	_, err = f.watch(t.Context(), revision, true)
	require.NoError(t, err)
	policy.sources = nil
	began := clock()
	_, err = f.watch(t.Context(), 6, true)
	require.NoError(t, err)
	require.Less(t, clock()-began, 30*time.Minute, "an empty answer came without the wait of an hour")
	require.Equal(t, 1, source.calls)
}

func (n *fakeStore) at() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version
}
