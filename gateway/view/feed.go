package view

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// maxLogEntries bounds the changes that a feed keeps. A reader that is further behind gets
	// the whole kind. Bursts reach some dozens of changes a second, and readers are behind by
	// less than a second.
	maxLogEntries = 512
	// compressionThreshold is the size in bytes from which an object is compressed for other
	// VMs. A configuration of hundreds of routes is 100 KB and compresses to a tenth;
	// uncompressed, eight readers would take most of a second for it at 10 Mbit/s.
	compressionThreshold = 2 << 10
	// freshnessMargin is by how much a feed's last contact with the platform must be later than
	// its reader's before the feed answers without a change.
	freshnessMargin = 50 * time.Millisecond
)

// Entry is one object or one change in the platform's encoding.
type Entry struct {
	Raw     []byte `cbor:"1,keyasint"`
	Deleted bool   `cbor:"2,keyasint,omitempty"`
	// Compressed says that Raw is compressed with DEFLATE.
	Compressed bool `cbor:"3,keyasint,omitempty"`
	name       string
}

func newEntry(name string, raw []byte, deleted bool) Entry {
	e := Entry{Raw: raw, Deleted: deleted, name: name}
	if len(raw) < compressionThreshold {
		return e
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return e
	}
	if _, err := w.Write(raw); err != nil || w.Close() != nil {
		return e
	}
	e.Raw, e.Compressed = b.Bytes(), true
	return e
}

func (e Entry) decompress() ([]byte, error) {
	if !e.Compressed {
		return e.Raw, nil
	}
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(e.Raw)), maxFeedBytes))
}

// Step is a feed's answer to a reader: the changes after the reader's revision, up to Revision,
// and the time between this state being confirmed as the newest and the answer.
type Step struct {
	Revision int64         `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
	Entries  []Entry       `cbor:"3,keyasint,omitempty"`
	// SinceContact is the time since the platform last answered the VM that watches it, which
	// may be another than this one. It is less than Age if that answer held a change: the time
	// of the change within the watch is unknown.
	SinceContact time.Duration `cbor:"4,keyasint"`
	// All says that Entries are the whole kind: the reader knew nothing yet, or was further
	// behind than the log reaches.
	All bool `cbor:"5,keyasint,omitempty"`
	// Steady is the time for which the platform has answered one VM or another without a longer gap
	// than the feed's limit; 0 for unknown.
	Steady time.Duration `cbor:"6,keyasint,omitempty"`
}

// Feed passes the changes of one kind on to other VMs, so that a few VMs watch the platform and
// the others read from these; calls to the platform don't grow with the fleet. VMs also read
// whole kinds from a feed, at the first start of a fleet or when the platform no longer has
// their revision: otherwise each VM would list all kinds and watch them until it knows the
// other VMs. A Feed is safe for concurrent use; its mutex is a leaf.
type Feed struct {
	clock Clock
	limit time.Duration // time without contact with the platform after which Wait returns ErrStale

	mu          sync.Mutex
	objects     map[string]Entry // the kind as of revision, by name
	log         []logEntry
	base        int64 // the log holds all changes after this revision
	revision    int64 // 0 until the kind was listed
	confirmedAt time.Duration
	unconfirmed bool // the known state may be some seconds old
	contactAt   time.Duration
	steadySince time.Duration // since when the platform has answered without a longer gap than limit
	wake        chan struct{}
}

type logEntry struct {
	upTo int64
	Entry
}

// NewFeed returns an empty feed. The feed returns ErrStale once the last contact with the
// platform is older than limit, so that its readers use another source.
func NewFeed(clock Clock, limit time.Duration) *Feed {
	return &Feed{clock: clock, limit: limit, wake: make(chan struct{})}
}

// SetLimit changes the limit of NewFeed.
func (f *Feed) SetLimit(limit time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = limit
}

// remaining returns the time until the feed is stale without another contact with the platform.
func (f *Feed) remaining() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limit - (f.clock() - f.contactAt)
}

// expire makes the feed stale until the next contact with the platform. Its readers return at
// once: the platform may refuse this VM and serve theirs.
func (f *Feed) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contactAt = f.clock() - f.limit
	f.wakeReaders()
}

// isUnconfirmed reports whether the known state may be some seconds old.
func (f *Feed) isUnconfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unconfirmed
}

// wakeReaders wakes the readers that wait for a change. Callers hold f.mu.
func (f *Feed) wakeReaders() {
	close(f.wake)
	f.wake = make(chan struct{})
}

// feedUpdate is what the follower learnt in one step.
type feedUpdate struct {
	all                    bool // entries are the whole kind, and the log starts anew
	unconfirmed            bool // entries are of a list that may be some seconds old
	revision               int64
	confirmedAt, contactAt time.Duration
	// steadySince is since when the platform has answered the VM that this one read from; 0 if
	// it answered this one.
	steadySince time.Duration
	entries     []Entry
}

func (f *Feed) apply(n feedUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.contactAt == 0 || n.contactAt-f.contactAt >= f.limit {
		f.steadySince = n.contactAt
	}
	if n.steadySince > 0 {
		f.steadySince = min(f.steadySince, n.steadySince)
	}
	f.confirmedAt, f.contactAt, f.unconfirmed = max(f.confirmedAt, n.confirmedAt), max(f.contactAt, n.contactAt), n.unconfirmed
	if n.all {
		f.log, f.base, f.revision = nil, n.revision, n.revision
		f.objects = make(map[string]Entry, len(n.entries))
		for _, e := range n.entries {
			f.objects[e.name] = e
		}
	} else {
		f.revision = max(f.revision, n.revision)
		for _, e := range n.entries {
			f.log = append(f.log, logEntry{upTo: f.revision, Entry: e})
			if e.Deleted {
				delete(f.objects, e.name)
			} else {
				f.objects[e.name] = e
			}
		}
		for len(f.log) > maxLogEntries {
			f.base = f.log[0].upTo
			f.log = f.log[1:]
		}
	}
	f.wakeReaders()
}

// SinceContact returns the time since the last contact with the platform.
func (f *Feed) SinceContact() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock() - f.contactAt
}

// ErrStale is returned by a feed whose last contact with the platform is too old.
var ErrStale = errors.New("the feed is stale")

// Wait answers a reader that has the changes up to the revision given by after and whose last
// contact with the platform was silence ago. It returns once there are changes or the feed had
// a later contact than the reader, with ErrStale if there is none within the limit, or with the
// error of ctx.
func (f *Feed) Wait(ctx context.Context, after int64, silence time.Duration) (Step, error) {
	began := f.clock()
	t := time.NewTimer(f.remaining())
	defer t.Stop()
	for {
		f.mu.Lock()
		step, err := f.step(after)
		wake := f.wake
		f.mu.Unlock()
		if err != nil || step.All || len(step.Entries) > 0 {
			return step, err
		}
		if step.SinceContact+freshnessMargin < silence+f.clock()-began {
			return step, nil
		}
		t.Reset(f.remaining())
		select {
		case <-ctx.Done():
			return Step{}, ctx.Err()
		case <-t.C:
		case <-wake:
		}
	}
}

// step builds the answer from the log. Callers hold f.mu.
func (f *Feed) step(after int64) (Step, error) {
	s := Step{Revision: max(f.revision, after), Age: f.clock() - f.confirmedAt, SinceContact: f.clock() - f.contactAt, Steady: f.clock() - f.steadySince}
	switch {
	case f.revision == 0 || f.unconfirmed || s.SinceContact >= f.limit:
		return Step{}, ErrStale
	case after < f.base:
		s.All = true
		for _, e := range f.objects {
			s.Entries = append(s.Entries, e)
		}
		return s, nil
	}
	for _, l := range f.log {
		if l.upTo > after {
			s.Entries = append(s.Entries, l.Entry)
		}
	}
	return s, nil
}
