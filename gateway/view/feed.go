package view

import (
	"context"
	"errors"
	"sync"
	"time"

	"goldcrestfork/objectstore"
)

// mostLogged bounds the changes that a feed keeps; a reader that is further behind
// lists anew. A storm of changes is some dozens a second, readers are behind by less
// than a second.
const mostLogged = 512

// Entry is one change as the platform encoded it.
type Entry struct {
	Raw     []byte `cbor:"1,keyasint"`
	Deleted bool   `cbor:"2,keyasint,omitempty"`
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
}

// Feed passes one kind's changes on to other VMs, so that a few VMs watch the platform
// and the others watch these: calls to the platform don't grow with the fleet. It is
// safe for concurrent use; its mutex is a leaf.
type Feed struct {
	clock Clock
	limit time.Duration // without word of the platform, after which it gives none

	mu       sync.Mutex
	log      []logged
	base     int64 // the log holds all changes after it
	revision int64 // 0 until the kind was listed
	proof    time.Duration
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

// lost ends the feed until the platform is heard again, and sends its readers away at
// once: the platform may turn this VM away and serve theirs.
func (f *Feed) lost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = f.clock() - f.limit
	f.rouse()
}

// rouse wakes the readers that wait. Callers hold f.mu.
func (f *Feed) rouse() {
	close(f.wake)
	f.wake = make(chan struct{})
}

// take notes what the follower learnt: a listing begins the log anew.
func (f *Feed) take(all bool, revision int64, proof, heard time.Duration, entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proof, f.heard = max(f.proof, proof), max(f.heard, heard)
	if all {
		f.log, f.base, f.revision = nil, revision, revision
	} else {
		f.revision = max(f.revision, revision)
		for _, e := range entries {
			f.log = append(f.log, logged{upTo: f.revision, Entry: e})
		}
		for len(f.log) > mostLogged {
			f.base = f.log[0].upTo
			f.log = f.log[1:]
		}
	}
	if len(entries) > 0 || all {
		f.rouse()
	}
}

// Wait returns the changes after a revision as soon as there are some, or none after
// wait. It returns objectstore.ErrGone when the log doesn't reach back.
func (f *Feed) Wait(ctx context.Context, after int64, wait time.Duration) (Step, error) {
	f.mu.Lock()
	silent := f.heard + f.limit - f.clock()
	f.mu.Unlock()
	t := time.NewTimer(min(wait, silent))
	defer t.Stop()
	over := false
	for {
		f.mu.Lock()
		step, err := f.step(after)
		wake := f.wake
		f.mu.Unlock()
		switch {
		case err != nil:
			return Step{}, err
		case step.Silence >= f.limit:
			return Step{}, errStale
		case len(step.Entries) > 0 || over:
			return step, nil
		}
		select {
		case <-ctx.Done():
			return Step{}, ctx.Err()
		case <-t.C:
			over = true
		case <-wake:
		}
	}
}

// step reads the log. Callers hold f.mu.
func (f *Feed) step(after int64) (Step, error) {
	if f.revision == 0 {
		return Step{}, objectstore.ErrUnavailable
	}
	if after < f.base {
		return Step{}, objectstore.ErrGone
	}
	s := Step{Revision: max(f.revision, after), Age: f.clock() - f.proof, Silence: f.clock() - f.heard}
	for _, l := range f.log {
		if l.upTo > after {
			s.Entries = append(s.Entries, l.Entry)
		}
	}
	return s, nil
}

// errStale: the feed's VM hasn't heard of the platform itself for too long.
var errStale = errors.New("the feed is stale")
