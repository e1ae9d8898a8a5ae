package view

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"goldcrestfork/durable"
	"goldcrestfork/policy/watching"
)

// Follower keeps up with one kind.
type Follower[T any] struct {
	Kind   string
	Source Source[T]
	// Wait is how long one watch waits. It bounds the age of the proof and how long a
	// connection that went silent goes unnoticed; each is a call.
	Wait  time.Duration
	Clock Clock
	Apply func(Update[T])
	Log   zerolog.Logger
	// Feed passes on what is learnt here.
	Feed *Feed
	// Reader reads other VMs' feeds, and Guide says which, and when the platform is asked.
	Reader Reader
	Guide  Guide
	// Met is closed when the VM has met the others that it may read from; nil for none.
	Met <-chan struct{}
	// Patience is how long after that it tries to read the whole kind from another VM
	// before it asks the platform; 0 for asking the platform at once.
	Patience time.Duration
	// Recent lets the first listing be some seconds old, which proves nothing: for kinds of
	// which a VM that has just started may know the last changes a moment later.
	Recent bool
	// Settle is the pause after the first listing by the platform, in which the VM meets
	// the others that it will read from.
	Settle time.Duration

	lostAt   time.Duration // 0 while in touch
	failures int           // in a row
	knew     bool          // the whole kind was known once
	readPeer bool          // the last word came from another VM, or should have
	// othersToo says that the platform was asked after no other VM had word: a failure
	// then is no single connection's.
	othersToo bool
}

const (
	// answerTime is what the platform may take beyond the wait of a watch. It answers
	// in 4 ms and up to 70 times as slowly when it is slow.
	answerTime = time.Second
	// noWordPause spaces tries at other VMs of one that may not ask the platform yet.
	noWordPause = 100 * time.Millisecond
	// turnCheck is how often a kind that waits for another kind's try looks for its end.
	turnCheck = 100 * time.Millisecond
	// gonePause is the pause before a listing when the history is gone again and again.
	gonePause = 500 * time.Millisecond
	// gather is the pause after changes, so that those that come together cost one call:
	// dozens of endpoints enter themselves when a fleet starts. It is a twentieth of the
	// shortest bound on a change.
	gather = 100 * time.Millisecond
	// readersLeaveAt is the failure in a row, watching.FirstPause after the one before, at
	// which a feed sends its readers away and the VM counts as without word.
	readersLeaveAt = 2
	// mostStale is how many VMs without word a VM asks in one try: its parent and the roots of
	// its tree, so that word reaches all from the roots at once.
	mostStale = 3
	// early is how much sooner than asked an empty answer may come and still count as waited out.
	early = 100 * time.Millisecond
	// probeWait is the wait of the first watch after a failure, so that a store that is
	// back is known to be. It is also that of the first call after a feed, whose word is
	// older: a VM that waited out its watch then gave its own readers no word for longer
	// than they wait, so that they asked the platform as well, and theirs after them. After a
	// listing that may be old it brings the proof that readers wait for.
	probeWait = 50 * time.Millisecond
)

// errNoWord: no other VM has word of the platform, and it isn't this VM's turn to ask it.
var errNoWord = errors.New("no VM that may be read has word of the platform")

// Run follows the kind until the context ends.
func (f *Follower[T]) Run(ctx context.Context) {
	var revision int64
	gone := 0 // how often the history was gone since a watch held
	f.meet(ctx)
	for ctx.Err() == nil {
		ask := f.turn(ctx)
		var err error
		if revision == 0 {
			revision, err = f.whole(ctx, ask)
		} else if revision, err = f.watch(ctx, revision, ask); err == nil {
			gone = 0
		}
		switch {
		case err == nil:
		case errors.Is(err, durable.ErrGone):
			f.Log.Info().Str("kind", f.Kind).Int64("revision", revision).Msg("history is gone, listing anew")
			revision = 0
			f.Guide.Regained() // the platform answered, if only that
			// A store that keeps no history at all would otherwise be asked without end.
			if gone++; gone > 1 {
				sleep(ctx, gonePause)
			}
		case errors.Is(err, errNoWord):
			f.noWord()
			sleep(ctx, noWordPause)
		default:
			f.lost(ctx, err)
			sleep(ctx, watching.FirstPause)
		}
	}
}

// turn waits while another kind tries to get word for this VM, and says whether the
// platform may be asked. A VM without word has none to give.
func (f *Follower[T]) turn(ctx context.Context) bool {
	for {
		wait, ask := f.Guide.Turn()
		if wait == 0 || ctx.Err() != nil {
			return ask
		}
		if f.lostAt == 0 {
			f.Feed.lost()
			f.markLost(errNoWord)
		}
		sleep(ctx, min(wait, turnCheck))
	}
}

// meet waits until the VM has met the others.
func (f *Follower[T]) meet(ctx context.Context) {
	if f.Met == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.Met:
	}
}

// whole learns the whole kind: from another VM where one is to be read from, or from the
// platform. At the start it tries others for Patience, once when the history is gone or
// the platform didn't answer.
func (f *Follower[T]) whole(ctx context.Context, ask bool) (int64, error) {
	until := f.Clock() + f.Patience
	f.Patience = 0
	for try := f.knew || f.failures > 0 || !ask; try || f.Clock() < until; try = false {
		sources := f.Guide.Sources()
		if len(sources) == 0 {
			break
		}
		revision, err := f.relay(ctx, sources[0], 0)
		if err == nil {
			f.Guide.Read(sources[0])
			f.knew = true
			return revision, nil
		}
		f.Guide.Failed(sources[0], err)
		if f.Clock() < until {
			sleep(ctx, noWordPause)
		}
	}
	if !ask {
		return 0, errNoWord
	}
	revision, err := f.list(ctx)
	if err == nil && !f.knew {
		f.knew = true
		sleep(ctx, f.Settle)
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

// lost notes a call that failed. Readers are sent away at the second failure in a row: the
// platform cuts watches that wait now and then, and each time 91 VMs called it at once.
// The limit on the feed's silence holds as before, so that no proof gets older by it.
func (f *Follower[T]) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failures++; f.failures == readersLeaveAt {
		f.Feed.lost()
	}
	if f.failures >= readersLeaveAt || f.othersToo {
		f.Guide.Lost()
	}
	f.markLost(err)
}

// noWord notes that no other VM has word. It is an outage once this VM's own is too old.
func (f *Follower[T]) noWord() {
	if f.Feed.left() < 0 {
		f.markLost(errNoWord)
	}
}

func (f *Follower[T]) markLost(err error) {
	if f.lostAt != 0 {
		return
	}
	f.lostAt = f.Clock()
	e := f.Log.Warn().Str("kind", f.Kind).Err(err)
	if f.knew {
		e = e.Dur("word_holds_ms", f.Feed.left())
	}
	e.Msg("platform lost")
}

// regained ends an outage and returns how long it was.
func (f *Follower[T]) regained() time.Duration {
	f.failures = 0
	f.Guide.Regained()
	if f.lostAt == 0 {
		return 0
	}
	out := max(f.Clock()-f.lostAt, 1)
	f.lostAt = 0
	f.Log.Info().Str("kind", f.Kind).Dur("outage_ms", out).Msg("platform regained")
	return out
}

func (f *Follower[T]) list(ctx context.Context) (int64, error) {
	began := f.Clock()
	cctx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	read, proof := f.Source.List, began
	if f.Recent && !f.knew {
		read, proof = f.Source.Recent, 0
	}
	l, err := read(cctx)
	if err != nil {
		return 0, err
	}
	u := Update[T]{All: true, Revision: l.Revision, Proof: proof, Outage: f.regained()}
	for _, it := range l.Items {
		u.Changes = append(u.Changes, Change[T]{Item: it})
	}
	f.Apply(u)
	f.pass(true, l.Revision, u)
	return l.Revision, nil
}

// pass gives what was learnt from the platform to the feed.
func (f *Follower[T]) pass(all bool, revision int64, u Update[T]) {
	n := news{all: all, unproved: u.Proof == 0, revision: revision, proof: u.Proof, heard: f.Clock()}
	for _, c := range u.Changes {
		n.entries = append(n.entries, pack(c.Name, c.Raw, c.Deleted))
	}
	f.Feed.take(n)
}

// relay reads another VM's feed instead of the platform.
func (f *Follower[T]) relay(ctx context.Context, peer string, revision int64) (int64, error) {
	began, silence := f.Clock(), f.Feed.Silence()
	least := leastRead
	if revision == 0 {
		least = wholeRead
	}
	cctx, cancel := context.WithTimeout(ctx, max(f.Feed.left(), least))
	defer cancel()
	s, err := f.Reader.Read(cctx, peer, f.Kind, revision, silence)
	if err != nil {
		return revision, err
	}
	// Ages count from the asking: an answer may have been on its way for long.
	u := Update[T]{All: s.All, Revision: s.Revision, Proof: began - s.Age}
	for i, e := range s.Entries {
		raw, err := e.unpack()
		if err != nil {
			return revision, err
		}
		item := f.Source.Decode(raw)
		s.Entries[i].name = item.Name
		u.Changes = append(u.Changes, Change[T]{Item: item, Deleted: e.Deleted})
	}
	u.Outage = f.regained()
	f.Apply(u)
	f.Feed.take(news{all: s.All, revision: s.Revision, proof: u.Proof, heard: began - s.Silence, entries: s.Entries})
	return max(s.Revision, revision), nil
}

// readOthers reads the kind's changes at another VM, in the order of the guide. Once its own
// word is too old it gives up at the first that doesn't answer, since each that is cut off
// costs a timeout, and after a few that have no word themselves. tried says that there was
// one to read from.
func (f *Follower[T]) readOthers(ctx context.Context, revision int64) (next int64, tried bool, err error) {
	stale := 0
	for _, peer := range f.Guide.Sources() {
		old := f.Feed.left() <= 0 && f.Guide.MayAsk(f.Feed.left())
		if tried && old && (!errors.Is(err, ErrStale) || stale >= mostStale) {
			break
		}
		tried = true
		if next, err = f.relay(ctx, peer, revision); err == nil {
			f.Guide.Read(peer)
			return next, true, nil
		}
		if errors.Is(err, ErrStale) {
			stale++
		}
		f.Guide.Failed(peer, err)
	}
	return revision, tried, errNoWord
}

// watch waits for changes: at another VM, or at the platform where there is none to read
// from, and where none has word and ask and the guide allow it.
func (f *Follower[T]) watch(ctx context.Context, revision int64, ask bool) (int64, error) {
	wait := f.Wait
	next, tried, err := f.readOthers(ctx, revision)
	if err == nil {
		f.readPeer = true
		return next, nil
	}
	f.readPeer = f.readPeer || tried
	if !ask || f.readPeer && !f.Guide.MayAsk(f.Feed.left()) {
		return revision, errNoWord
	}
	if f.lostAt != 0 || f.readPeer || f.Feed.isUnproved() {
		wait = probeWait
	}
	if f.readPeer && !f.Guide.Claim() {
		return revision, errNoWord
	}
	f.readPeer, f.othersToo = false, f.readPeer
	c, proof, err := f.ask(ctx, revision, wait)
	if err != nil {
		return revision, err
	}
	u := Update[T]{Changes: c.Changes, Revision: c.Revision, Proof: proof, Outage: f.regained()}
	f.Apply(u)
	f.pass(false, c.Revision, u)
	if len(c.Changes) > 0 {
		sleep(ctx, gather)
	}
	return max(c.Revision, revision), nil
}
