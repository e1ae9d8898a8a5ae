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

func raw(s string) []Entry { return []Entry{pack(s, []byte(s), false)} }

// A reader that waits is told of a change at once, and of later word of the platform
// without one, so that its own proof stays as fresh as the feed's.
func TestFeedTellsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := sinceStart()
		f := NewFeed(clock, 1500*time.Millisecond)
		f.take(news{all: true, revision: 10, proof: clock(), heard: clock()})
		go func() {
			time.Sleep(time.Second)
			f.take(news{revision: 11, proof: clock(), heard: clock()})
			time.Sleep(time.Second)
			f.take(news{revision: 12, proof: clock(), heard: clock(), entries: raw("x")})
		}()
		began := time.Now()
		s, err := f.Wait(t.Context(), 10, 0)
		require.NoError(t, err)
		require.Empty(t, s.Entries)
		require.Equal(t, time.Second, time.Since(began))
		s, err = f.Wait(t.Context(), s.Revision, s.Silence)
		require.NoError(t, err)
		require.Len(t, s.Entries, 1)
		require.Equal(t, 2*time.Second, time.Since(began))
		require.Zero(t, s.Age)
	})
}

// The feed's VM loses the platform, by an error or in silence. Its readers are sent away
// at once or at the limit: the platform may serve them, and tell of a key taken away.
func TestFeedEndsWithItsVMsPlatform(t *testing.T) {
	for name, c := range map[string]struct {
		lose   bool
		within time.Duration
	}{"error": {true, 200 * time.Millisecond}, "silence": {false, 1500 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := sinceStart()
				f := NewFeed(clock, 1500*time.Millisecond)
				f.take(news{all: true, revision: 10, proof: clock(), heard: clock()})
				if c.lose {
					go func() {
						time.Sleep(200 * time.Millisecond)
						f.lost()
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

// A reader that knows nothing, or is further behind than the log reaches, gets the whole
// kind as it is now: what was deleted meanwhile must not be in it, since the reader takes
// out what it isn't told of. One that is ahead of the feed waits.
func TestFeedsLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := sinceStart()
		f := NewFeed(clock, time.Hour)
		_, err := f.Wait(t.Context(), 1, 0)
		require.ErrorIs(t, err, ErrStale)
		f.take(news{all: true, revision: 10, heard: clock(), entries: append(raw("old"), raw("kept")...)})
		for _, after := range []int64{0, 9} {
			s, err := f.Wait(t.Context(), after, 0)
			require.NoError(t, err)
			require.True(t, s.All)
			require.Equal(t, int64(10), s.Revision)
			require.Len(t, s.Entries, 2)
		}
		f.take(news{revision: 11, heard: clock(), entries: []Entry{pack("old", nil, true)}})
		for i := range int64(mostLogged) {
			f.take(news{revision: 12 + i, heard: clock(), entries: raw("x")})
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
		require.Len(t, s.Entries, mostLogged)
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = f.Wait(ctx, 12+mostLogged, 0)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, time.Second, time.Since(began))
	})
}

func TestPack(t *testing.T) {
	for _, s := range []string{"", "short", strings.Repeat("a long configuration ", 1000)} {
		e := pack("", []byte(s), true)
		got, err := e.unpack()
		require.NoError(t, err)
		require.Equal(t, s, string(got))
		require.True(t, e.Deleted)
	}
	require.Less(t, len(pack("", []byte(strings.Repeat("a", 10000)), false).Raw), 1000)
}

// numbers is a platform whose objects decode to their raw text.
type numbers struct {
	mu      sync.Mutex
	calls   int
	version int64
	wake    chan struct{}
}

func (n *numbers) List(context.Context) (Listing[*catalog.Config], error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	return Listing[*catalog.Config]{Revision: n.version, Items: []Item[*catalog.Config]{n.item()}}, nil
}

// Recent implements Source; nothing here is old.
func (n *numbers) Recent(ctx context.Context) (Listing[*catalog.Config], error) { return n.List(ctx) }

func (n *numbers) item() Item[*catalog.Config] {
	it := n.Decode([]byte(strings.Repeat("i", int(n.version))))
	return it
}

func (n *numbers) Watch(ctx context.Context, after int64, wait time.Duration) (Changes[*catalog.Config], error) {
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

func (n *numbers) Decode(raw []byte) Item[*catalog.Config] {
	it := conf(int64(len(raw)), int64(len(raw))).Item
	it.Raw = raw
	return it
}

func (n *numbers) change() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.version++
	close(n.wake)
	n.wake = make(chan struct{})
}

// One VM watches the platform, one reads from it, a third from the second. A change is
// in force on all, only the first calls the platform after its start, and the third's
// proof is no older than the way it came.
func TestReadersOfReaders(t *testing.T) {
	platform := &numbers{version: 5, wake: make(chan struct{})}
	clock := sinceStart()
	var views []*View
	var peers []string
	var own []*numbers
	for i := range 3 {
		source := platform
		if i > 0 {
			source = &numbers{version: 5, wake: make(chan struct{})}
		}
		own = append(own, source)
		v := New(Settings{Clock: clock, Log: zerolog.Nop()})
		feed := NewFeed(clock, time.Minute)
		relays := NewRelays(map[string]*Feed{"kind": feed}, prometheus.NewRegistry())
		server := httptest.NewServer(relays.Handler())
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
			Feed: feed, Reader: relays, Guide: newGuide(clock, parent...), Patience: time.Hour,
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
		require.Zero(t, calls, "not even for the start's listing")
	}
}

// What another VM says was proved three seconds before it said so. The reader's proof
// must be that old, and older by the answer's way: it must not count as new.
func TestProofFromAnotherVMIsAsOldAsItSays(t *testing.T) {
	clock := sinceStart()
	feed := NewFeed(clock, time.Minute)
	feed.take(news{all: true, revision: 5, proof: clock() - 3*time.Second, heard: clock()})
	server := httptest.NewServer(NewRelays(map[string]*Feed{"kind": feed}, prometheus.NewRegistry()).Handler())
	defer server.Close()
	v := New(Settings{Clock: clock, Log: zerolog.Nop()})
	v.ApplyConfig(Update[*catalog.Config]{All: true, Proof: clock() - time.Hour, Changes: []Change[*catalog.Config]{conf(5, 5)}})
	f := &Follower[*catalog.Config]{
		Kind: "kind", Source: &numbers{}, Clock: clock, Apply: v.ApplyConfig, Log: zerolog.Nop(),
		Feed: NewFeed(clock, time.Minute), Reader: NewRelays(nil, prometheus.NewRegistry()), Guide: newGuide(clock),
	}
	_, err := f.relay(t.Context(), strings.TrimPrefix(server.URL, "http://"), 5)
	require.NoError(t, err)
	require.GreaterOrEqual(t, v.ConfigAge(), 3*time.Second)
	require.Less(t, v.ConfigAge(), time.Minute)
}

// The platform cuts one watch that waits. Readers of the feed must stay, or dozens of VMs
// ask the platform at once for nothing; at a second failure in a row it may be this VM
// that is turned away, and they must go. An answer between the two starts the count anew.
func TestOneCutWatchKeepsReaders(t *testing.T) {
	clock := sinceStart()
	f := &Follower[*catalog.Config]{Kind: "kind", Clock: clock, Log: zerolog.Nop(), Feed: NewFeed(clock, time.Minute), Guide: newGuide(clock)}
	heard := func() { f.Feed.take(news{all: true, revision: 5, proof: clock(), heard: clock()}) }
	heard()
	for range 2 {
		f.lost(t.Context(), durable.ErrUnavailable)
		_, err := f.Feed.step(5)
		require.NoError(t, err)
		f.regained()
	}
	f.lost(t.Context(), durable.ErrUnavailable)
	f.lost(t.Context(), durable.ErrUnavailable)
	_, err := f.Feed.step(5)
	require.ErrorIs(t, err, ErrStale)
}

// A VM that read from another becomes a watcher itself. Its word is as old as the feed's
// last, and its readers wait for a later one: the first call must not wait out a watch.
func TestFirstCallAfterAFeedIsShort(t *testing.T) {
	clock := sinceStart()
	feed := NewFeed(clock, time.Minute)
	feed.take(news{all: true, revision: 5, proof: clock(), heard: clock(), entries: raw("iiiii")})
	server := httptest.NewServer(NewRelays(map[string]*Feed{"kind": feed}, prometheus.NewRegistry()).Handler())
	defer server.Close()
	v := New(Settings{Clock: clock, Log: zerolog.Nop()})
	guide := newGuide(clock, strings.TrimPrefix(server.URL, "http://"))
	source := &numbers{version: 5, wake: make(chan struct{})}
	f := &Follower[*catalog.Config]{
		Kind: "kind", Source: source, Wait: time.Hour, Clock: clock, Apply: v.ApplyConfig, Log: zerolog.Nop(),
		Feed: NewFeed(clock, time.Minute), Reader: NewRelays(nil, prometheus.NewRegistry()), Guide: guide, Patience: time.Hour,
	}
	revision, err := f.whole(t.Context(), true)
	require.NoError(t, err)
	require.Equal(t, int64(5), revision)
	require.NotNil(t, v.Config(), "the whole kind came from the other VM")
	feed.take(news{revision: 6, proof: clock(), heard: clock(), entries: raw("iiiiii")})
	_, err = f.watch(t.Context(), revision, true)
	require.NoError(t, err)
	guide.sources = nil
	began := clock()
	_, err = f.watch(t.Context(), 6, true)
	require.NoError(t, err)
	require.Less(t, clock()-began, 30*time.Minute, "an empty answer came without the wait of an hour")
	require.Equal(t, 1, source.calls)
}

func (n *numbers) at() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version
}
