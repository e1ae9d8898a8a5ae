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
	// mostLogged bounds the changes that a feed keeps; a reader that is further behind
	// gets the whole kind. A storm of changes is some dozens a second, readers are behind by less
	// than a second.
	mostLogged = 512
	// packFrom is the size from which an object is packed before it is passed on. A
	// configuration of hundreds of routes is 100 KB and shrinks to a tenth; at 10 Mbit/s
	// eight readers would otherwise take most of a second for it.
	packFrom = 2 << 10
	// fresher is by how much a feed must have heard the platform later than its reader
	// to answer it without a change.
	fresher = 50 * time.Millisecond
)

// Entry is one object or change as the platform encoded it.
type Entry struct {
	Raw     []byte `cbor:"1,keyasint"`
	Deleted bool   `cbor:"2,keyasint,omitempty"`
	// Packed says that Raw is compressed.
	Packed bool `cbor:"3,keyasint,omitempty"`
	name   string
}

func pack(name string, raw []byte, deleted bool) Entry {
	e := Entry{Raw: raw, Deleted: deleted, name: name}
	if len(raw) < packFrom {
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
	e.Raw, e.Packed = b.Bytes(), true
	return e
}

func (e Entry) unpack() ([]byte, error) {
	if !e.Packed {
		return e.Raw, nil
	}
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(e.Raw)), largestFeed))
}

// Step is what a feed tells a reader: the changes after the reader's revision, up to
// Revision, and how long before the answer this was proved to be the newest.
type Step struct {
	Revision int64         `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
	Entries  []Entry       `cbor:"3,keyasint,omitempty"`
	// Silence is how long ago the platform was last heard, by whichever VM watches it.
	// It is less than Age where the last answer told a change: when the change took
	// place within the watch isn't known.
	Silence time.Duration `cbor:"4,keyasint"`
	// All says that Entries are the whole kind: the reader knew nothing yet, or was
	// further behind than the log reaches.
	All bool `cbor:"5,keyasint,omitempty"`
}

// Feed passes one kind's changes on to other VMs, so that a few VMs watch the platform
// and the others watch these: calls to the platform don't grow with the fleet. A fleet
// that starts for the first time, or whose revision the platform no longer knows, reads
// whole kinds here too: otherwise each VM lists all kinds then, and watches them until it
// knows the others. It is safe for concurrent use; its mutex is a leaf.
type Feed struct {
	clock Clock
	limit time.Duration // without word of the platform, after which it gives none

	mu       sync.Mutex
	objects  map[string]Entry // the kind as of revision, by name
	log      []logged
	base     int64 // the log holds all changes after it
	revision int64 // 0 until the kind was listed
	proof    time.Duration
	unproved bool // what is known may be some seconds old
	heard    time.Duration
	wake     chan struct{}
}

type logged struct {
	upTo int64
	Entry
}

// NewFeed returns an empty feed that gives nothing once the platform was not heard for
// limit: its readers then go elsewhere.
func NewFeed(clock Clock, limit time.Duration) *Feed {
	return &Feed{clock: clock, limit: limit, wake: make(chan struct{})}
}

// SetLimit changes the limit.
func (f *Feed) SetLimit(limit time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = limit
}

// left is how long the feed may still be without word of the platform.
func (f *Feed) left() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limit - (f.clock() - f.heard)
}

// lost ends the feed until the platform is heard again, and sends its readers away at
// once: the platform may turn this VM away and serve theirs.
func (f *Feed) lost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = f.clock() - f.limit
	f.rouse()
}

// isUnproved says that what is known may be some seconds old.
func (f *Feed) isUnproved() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unproved
}

// rouse wakes the readers that wait. Callers hold f.mu.
func (f *Feed) rouse() {
	close(f.wake)
	f.wake = make(chan struct{})
}

// news is one step of what the follower learnt.
type news struct {
	all          bool // a listing, with which the log begins anew
	unproved     bool // a listing that may be some seconds old
	revision     int64
	proof, heard time.Duration
	entries      []Entry
}

func (f *Feed) take(n news) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proof, f.heard, f.unproved = max(f.proof, n.proof), max(f.heard, n.heard), n.unproved
	if n.all {
		f.log, f.base, f.revision = nil, n.revision, n.revision
		f.objects = make(map[string]Entry, len(n.entries))
		for _, e := range n.entries {
			f.objects[e.name] = e
		}
	} else {
		f.revision = max(f.revision, n.revision)
		for _, e := range n.entries {
			f.log = append(f.log, logged{upTo: f.revision, Entry: e})
			if e.Deleted {
				delete(f.objects, e.name)
			} else {
				f.objects[e.name] = e
			}
		}
		for len(f.log) > mostLogged {
			f.base = f.log[0].upTo
			f.log = f.log[1:]
		}
	}
	f.rouse()
}

// Silence is how long ago the platform was last heard.
func (f *Feed) Silence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock() - f.heard
}

// ErrStale: the feed's VM hasn't heard of the platform for too long.
var ErrStale = errors.New("the feed is stale")

// Wait answers a reader that has the changes up to a revision and whose own word of the
// platform is silence old: as soon as there are changes or later word, or with ErrStale
// when there is none within the limit.
func (f *Feed) Wait(ctx context.Context, after int64, silence time.Duration) (Step, error) {
	began := f.clock()
	t := time.NewTimer(f.left())
	defer t.Stop()
	for {
		f.mu.Lock()
		step, err := f.step(after)
		wake := f.wake
		f.mu.Unlock()
		if err != nil || step.All || len(step.Entries) > 0 {
			return step, err
		}
		if step.Silence+fresher < silence+f.clock()-began {
			return step, nil
		}
		t.Reset(f.left())
		select {
		case <-ctx.Done():
			return Step{}, ctx.Err()
		case <-t.C:
		case <-wake:
		}
	}
}

// step reads the log. Callers hold f.mu.
func (f *Feed) step(after int64) (Step, error) {
	s := Step{Revision: max(f.revision, after), Age: f.clock() - f.proof, Silence: f.clock() - f.heard}
	switch {
	case f.revision == 0 || f.unproved || s.Silence >= f.limit:
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
