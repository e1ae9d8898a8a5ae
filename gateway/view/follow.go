package view

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"goldcrestfork/durable"
	"goldcrestfork/policy/watching"
)

// Follower keeps one kind up to date, from the platform or from another VM's feed.
type Follower[T any] struct {
	Kind   string
	Source Source[T]
	// Wait is how long one watch waits; each watch is one call to the platform. Wait bounds how
	// old the state gets and how long a silently broken connection stays unnoticed.
	Wait  time.Duration
	Clock Clock
	Apply func(Update[T])
	Log   zerolog.Logger
	// Feed passes on to other VMs what is learnt here.
	Feed *Feed
	// Reader reads other VMs' feeds. Policy selects these VMs and decides when the platform is
	// called.
	Reader Reader
	Policy SourcePolicy
	// PeersKnown is closed when the VM knows the other VMs that it may read from; nil for not
	// waiting.
	PeersKnown <-chan struct{}
	// PeerListTimeout is how long after that the follower tries to read the whole kind from
	// another VM before it calls the platform; 0 for calling the platform at once.
	PeerListTimeout time.Duration
	// StaleList lets the first list be some seconds old, so that it counts as unconfirmed. It
	// suits kinds of which a VM that has just started may learn the last changes a moment later.
	StaleList bool
	// PauseAfterList is the pause after the first list from the platform, in which the VM learns
	// of the other VMs that it will read from.
	PauseAfterList time.Duration

	outageSince time.Duration // 0 while there is no outage
	failures    int           // in a row
	listedOnce  bool          // the whole kind was read at least once
	fromPeer    bool          // the last answer came from another VM, or should have
	// peersFailed says that the platform is called because no other VM could provide the kind: a
	// failure then is not that of one connection only.
	peersFailed bool
}

const (
	// answerTimeout is what the platform may take beyond the wait of a watch. It answers in 4
	// ms, and up to 70 times as slowly under load.
	answerTimeout = time.Second
	// peerRetryPause is the pause between attempts to read other VMs while the platform may not
	// be called.
	peerRetryPause = 100 * time.Millisecond
	// turnPollInterval is how often a kind that waits for another kind's attempt checks for its
	// end.
	turnPollInterval = 100 * time.Millisecond
	// relistPause is the pause before a list when the history is missing repeatedly.
	relistPause = 500 * time.Millisecond
	// batchPause is the pause after changes, so that changes that come together cost one call:
	// dozens of endpoints register when a fleet starts. It is a twentieth of the shortest bound
	// on a change.
	batchPause = 100 * time.Millisecond
	// readerDropFailures is the number of consecutive failures, watching.RetryDelay apart, at
	// which a feed expires, so that its readers use another source, and the VM counts as having
	// lost the platform.
	readerDropFailures = 2
	// maxStalePeers is how many VMs with stale feeds a VM asks in one attempt: its parent and
	// the roots of its tree. New state at the roots thus reaches all VMs directly.
	maxStalePeers = 3
	// earlyTolerance is how much sooner than requested an empty answer may come and still count
	// as a completed wait.
	earlyTolerance = 100 * time.Millisecond
	// probeWait is the wait of the first watch after a failure, so that the return of the store
	// is noticed soon. It is also the wait of the first watch after reading a feed: the state of
	// a feed is older, and a VM that waited out a full watch gave its own readers no answer
	// within their limit, so that they called the platform as well, and then their readers.
	// After a list that may be old, the short watch confirms the state for the waiting readers.
	probeWait = 50 * time.Millisecond
)

// errNoSource is returned when no other VM can provide the kind and this VM may not call the
// platform now.
var errNoSource = errors.New("no other VM provides the kind, and the platform may not be called now")

// Run follows the kind until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	var revision int64
	gone := 0 // consecutive times that the history was missing
	f.awaitPeers(ctx)
	for ctx.Err() == nil {
		ask := f.waitTurn(ctx)
		var err error
		if revision == 0 {
			revision, err = f.fetchAll(ctx, ask)
		} else if revision, err = f.watch(ctx, revision, ask); err == nil {
			gone = 0
		}
		switch {
		case err == nil:
		case errors.Is(err, durable.ErrGone):
			f.Log.Info().Str("kind", f.Kind).Int64("revision", revision).Msg("history is gone, listing anew")
			revision = 0
			f.Policy.Regained() // the platform did answer
			// Without the pause a store that keeps no history at all would be called in a tight
			// loop.
			if gone++; gone > 1 {
				sleep(ctx, relistPause)
			}
		case errors.Is(err, errNoSource):
			f.notePeersStale()
			sleep(ctx, peerRetryPause)
		default:
			f.noteFailure(ctx, err)
			sleep(ctx, watching.RetryDelay)
		}
	}
}

// waitTurn waits while another kind of this VM tries to reach a source, and reports whether the
// platform may be called. Meanwhile the feed is stale, since a VM without a source has nothing
// to pass on.
func (f *Follower[T]) waitTurn(ctx context.Context) bool {
	for {
		wait, ask := f.Policy.Turn()
		if wait == 0 || ctx.Err() != nil {
			return ask
		}
		if f.outageSince == 0 {
			f.Feed.expire()
			f.beginOutage(errNoSource)
		}
		sleep(ctx, min(wait, turnPollInterval))
	}
}

// awaitPeers waits until the VM knows the other VMs.
func (f *Follower[T]) awaitPeers(ctx context.Context) {
	if f.PeersKnown == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.PeersKnown:
	}
}

// fetchAll reads the whole kind, from another VM if there is one to read from, else from the
// platform. At the start it tries other VMs for PeerListTimeout; it tries them only once if the
// history is missing, the platform failed or ask is false.
func (f *Follower[T]) fetchAll(ctx context.Context, ask bool) (int64, error) {
	until := f.Clock() + f.PeerListTimeout
	f.PeerListTimeout = 0
	for try := f.listedOnce || f.failures > 0 || !ask; try || f.Clock() < until; try = false {
		sources := f.Policy.Sources()
		if len(sources) == 0 {
			break
		}
		revision, err := f.readFeed(ctx, sources[0], 0)
		if err == nil {
			f.Policy.Read(sources[0])
			f.listedOnce = true
			return revision, nil
		}
		f.Policy.Failed(sources[0], err)
		if f.Clock() < until {
			sleep(ctx, peerRetryPause)
		}
	}
	if !ask {
		return 0, errNoSource
	}
	revision, err := f.list(ctx)
	if err == nil && !f.listedOnce {
		f.listedOnce = true
		sleep(ctx, f.PauseAfterList)
	}
	return revision, err
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// noteFailure records a failed call. The feed expires only at the second failure in a row: the
// platform breaks off single watches at times, and when readers left the feed at the first
// failure, 91 VMs called the platform at once. The limit of the feed still holds, so that no
// state gets older because of this.
func (f *Follower[T]) noteFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failures++; f.failures == readerDropFailures {
		f.Feed.expire()
	}
	if f.failures >= readerDropFailures || f.peersFailed {
		f.Policy.Lost()
	}
	f.beginOutage(err)
}

// notePeersStale records that no other VM could provide the kind. It is an outage once this
// VM's own state is too old as well.
func (f *Follower[T]) notePeersStale() {
	if f.Feed.remaining() < 0 {
		f.beginOutage(errNoSource)
	}
}

func (f *Follower[T]) beginOutage(err error) {
	if f.outageSince != 0 {
		return
	}
	f.outageSince = f.Clock()
	e := f.Log.Warn().Str("kind", f.Kind).Err(err)
	if f.listedOnce {
		e = e.Dur("word_holds_ms", f.Feed.remaining())
	}
	e.Msg("platform lost")
}

// endOutage ends an outage, if there is one, and returns how long it lasted; 0 for none.
func (f *Follower[T]) endOutage() time.Duration {
	f.failures = 0
	f.Policy.Regained()
	if f.outageSince == 0 {
		return 0
	}
	out := max(f.Clock()-f.outageSince, 1)
	f.outageSince = 0
	f.Log.Info().Str("kind", f.Kind).Dur("outage_ms", out).Msg("platform regained")
	return out
}

func (f *Follower[T]) list(ctx context.Context) (int64, error) {
	began := f.Clock()
	cctx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	read, confirmedAt := f.Source.List, began
	if f.StaleList && !f.listedOnce {
		read, confirmedAt = f.Source.Recent, 0
	}
	l, err := read(cctx)
	if err != nil {
		return 0, err
	}
	u := Update[T]{All: true, Revision: l.Revision, ConfirmedAt: confirmedAt, Outage: f.endOutage()}
	for _, it := range l.Items {
		u.Changes = append(u.Changes, Change[T]{Item: it})
	}
	f.Apply(u)
	f.publish(true, l.Revision, u)
	return l.Revision, nil
}

// publish passes what was learnt from the platform to the feed.
func (f *Follower[T]) publish(all bool, revision int64, u Update[T]) {
	n := feedUpdate{all: all, unconfirmed: u.ConfirmedAt == 0, revision: revision, confirmedAt: u.ConfirmedAt, contactAt: f.Clock()}
	for _, c := range u.Changes {
		n.entries = append(n.entries, newEntry(c.Name, c.Raw, c.Deleted))
	}
	f.Feed.apply(n)
}

// readFeed reads another VM's feed instead of calling the platform.
func (f *Follower[T]) readFeed(ctx context.Context, peer string, revision int64) (int64, error) {
	began, silence := f.Clock(), f.Feed.SinceContact()
	least := minReadTimeout
	if revision == 0 {
		least = minFullReadTimeout
	}
	cctx, cancel := context.WithTimeout(ctx, max(f.Feed.remaining(), least))
	defer cancel()
	s, err := f.Reader.Read(cctx, peer, f.Kind, revision, silence)
	if err != nil {
		return revision, err
	}
	// Ages count from the start of the request, since the answer may have been in transit for
	// long.
	u := Update[T]{All: s.All, Revision: s.Revision, ConfirmedAt: began - s.Age}
	for i, e := range s.Entries {
		raw, err := e.decompress()
		if err != nil {
			return revision, err
		}
		item := f.Source.Decode(raw)
		s.Entries[i].name = item.Name
		u.Changes = append(u.Changes, Change[T]{Item: item, Deleted: e.Deleted})
	}
	u.Outage, u.PlatformAnswered = f.endOutage(), s.Steady >= silence
	f.Apply(u)
	n := feedUpdate{all: s.All, revision: s.Revision, confirmedAt: u.ConfirmedAt, contactAt: began - s.SinceContact, entries: s.Entries}
	if s.Steady > 0 {
		n.steadySince = began - s.Steady
	}
	f.Feed.apply(n)
	return max(s.Revision, revision), nil
}

// readPeers reads the kind's changes from other VMs, in the order of the policy. Once the state
// of this VM is too old, it stops at the first VM that doesn't answer, since each unreachable
// VM costs a timeout, and after maxStalePeers stale feeds. The result tried reports whether
// there was a VM to read from.
func (f *Follower[T]) readPeers(ctx context.Context, revision int64) (next int64, tried bool, err error) {
	stale := 0
	for _, peer := range f.Policy.Sources() {
		old := f.Feed.remaining() <= 0 && f.Policy.MayAsk(f.Feed.remaining())
		if tried && old && (!errors.Is(err, ErrStale) || stale >= maxStalePeers) {
			break
		}
		tried = true
		if next, err = f.readFeed(ctx, peer, revision); err == nil {
			f.Policy.Read(peer)
			return next, true, nil
		}
		if errors.Is(err, ErrStale) {
			stale++
		}
		f.Policy.Failed(peer, err)
	}
	return revision, tried, errNoSource
}

// watch waits for changes at another VM. It calls the platform if there is no VM to read from,
// or if none can provide the kind and both ask and the policy allow the call.
func (f *Follower[T]) watch(ctx context.Context, revision int64, ask bool) (int64, error) {
	wait := f.Wait
	next, tried, err := f.readPeers(ctx, revision)
	if err == nil {
		f.fromPeer = true
		return next, nil
	}
	f.fromPeer = f.fromPeer || tried
	if !ask || f.fromPeer && !f.Policy.MayAsk(f.Feed.remaining()) {
		return revision, errNoSource
	}
	if f.outageSince != 0 || f.fromPeer || f.Feed.isUnconfirmed() {
		wait = probeWait
	}
	if f.fromPeer && !f.Policy.Claim() {
		return revision, errNoSource
	}
	f.fromPeer, f.peersFailed = false, f.fromPeer
	c, confirmedAt, err := f.watchPlatform(ctx, revision, wait)
	if err != nil {
		return revision, err
	}
	u := Update[T]{Changes: c.Changes, Revision: c.Revision, ConfirmedAt: confirmedAt, Outage: f.endOutage()}
	f.Apply(u)
	f.publish(false, c.Revision, u)
	if len(c.Changes) > 0 {
		sleep(ctx, batchPause)
	}
	return max(c.Revision, revision), nil
}
