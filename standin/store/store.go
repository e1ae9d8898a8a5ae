// Package store is an in-memory stand-in for the platform's object API. It simulates the
// faults that the users describe: outages, slow calls, replies that are lost after the effect,
// a stale list of VMs, and watches whose history is lost.
//
// Lock order: Store.mu is a leaf.
package store

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"goldcrestfork/durable"
)

// historyLimit bounds the number of events kept for watches. A watch from an older revision
// fails with ErrGone.
const historyLimit = 4096

// Counts holds the number of calls of each kind; a watch counts as one call, however long it
// lasts. Conflicts and OverRate count the calls that failed for these reasons.
type Counts struct {
	Gets, Lists, Puts, Deletes, Watches, VMLists, Conflicts, OverRate int
	// PutBytes is the size of all values sent in writes, including those of failed writes.
	PutBytes int64
}

// Writes returns the number of calls that count towards the platform's limit of writes.
func (c Counts) Writes() int { return c.Puts + c.Deletes }

// Store implements durable.Store in memory. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	revision     int64
	objects      map[durable.Key]durable.Object
	history      []durable.Event
	changeSignal chan struct{} // closed and replaced at each change of objects or faults
	faults       Faults
	counts       Counts
	limits       [2]*rate.Limiter
	held         []*writeCall // writes that wait for Release
	vms          []snapshot   // oldest first; the first is the one shown, once its lag is over
	vmLag        time.Duration
}

var _ durable.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		objects:      make(map[durable.Key]durable.Object),
		changeSignal: make(chan struct{}),
	}
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Bytes returns the size of all stored values in bytes.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total int64
	for _, o := range s.objects {
		total += int64(len(o.Value))
	}
	return total
}

// notifyWatches makes waiting watches check for events again. Callers hold s.mu.
func (s *Store) notifyWatches() {
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// accessKind distinguishes reads and writes, whose rates the platform limits separately.
type accessKind int

const (
	read accessKind = iota
	write
)

// startCall counts a call with count and applies the rate limits and faults that are common to
// all calls.
func (s *Store) startCall(ctx context.Context, a accessKind, count func(*Counts)) error {
	s.mu.Lock()
	count(&s.counts)
	limit := s.limits[a]
	if limit != nil && !limit.Allow() {
		s.counts.OverRate++
		s.mu.Unlock()
		return durable.ErrOverRate
	}
	delay, down := s.faults.Delay, s.faults.Down
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return durable.ErrUnavailable
		}
	}
	if down {
		return durable.ErrUnavailable
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", durable.ErrUnavailable, err)
	}
	return nil
}

// Get implements durable.Store.
func (s *Store) Get(ctx context.Context, key durable.Key) (durable.Object, error) {
	if err := s.startCall(ctx, read, func(c *Counts) { c.Gets++ }); err != nil {
		return durable.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return durable.Object{}, durable.ErrNotFound
	}
	return o, nil
}

// List implements durable.Store.
func (s *Store) List(ctx context.Context, kind string) (durable.Listing, error) {
	if err := s.startCall(ctx, read, func(c *Counts) { c.Lists++ }); err != nil {
		return durable.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := durable.Listing{Revision: s.revision}
	for k, o := range s.objects {
		if k.Kind == kind {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b durable.Object) int { return strings.Compare(a.Name, b.Name) })
	return l, nil
}

// Put implements durable.Store.
func (s *Store) Put(ctx context.Context, key durable.Key, value []byte, ifVersion int64) (durable.Object, error) {
	if len(value) > durable.MaxValueBytes {
		return durable.Object{}, durable.ErrTooLarge
	}
	if err := s.startCall(ctx, write, func(c *Counts) {
		c.Puts++
		c.PutBytes += int64(len(value))
	}); err != nil {
		return durable.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(writeCall{key: key, value: bytes.Clone(value), ifVersion: ifVersion})
}

// Delete implements durable.Store.
func (s *Store) Delete(ctx context.Context, key durable.Key, ifVersion int64) error {
	if err := s.startCall(ctx, write, func(c *Counts) { c.Deletes++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.write(writeCall{key: key, ifVersion: ifVersion, deleted: true})
	return err
}

// write applies a write with the faults of writes: it may be refused or held, or its reply may
// be lost. Callers hold s.mu.
func (s *Store) write(h writeCall) (durable.Object, error) {
	if s.faults.RefuseWrites > 0 {
		s.faults.RefuseWrites--
		return durable.Object{}, durable.ErrUnknown
	}
	if s.faults.HoldWrites > 0 {
		s.faults.HoldWrites--
		s.hold(h)
		return durable.Object{}, durable.ErrUnknown
	}
	o, err := s.apply(h)
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return durable.Object{}, durable.ErrUnknown
	}
	return o, err
}

// apply executes a write if its condition holds. Callers hold s.mu.
func (s *Store) apply(h writeCall) (durable.Object, error) {
	current, ok := s.objects[h.key]
	if h.deleted && !ok {
		return durable.Object{}, durable.ErrNotFound
	}
	if current.Version != h.ifVersion {
		s.counts.Conflicts++
		current.Key = h.key
		return durable.Object{}, &durable.ConflictError{Current: current}
	}
	s.revision++
	o := durable.Object{Key: h.key, Version: s.revision, Value: h.value}
	if h.deleted {
		delete(s.objects, h.key)
	} else {
		s.objects[h.key] = o
	}
	s.history = append(s.history, durable.Event{Object: o, Deleted: h.deleted})
	if len(s.history) > historyLimit {
		s.history = slices.Clone(s.history[len(s.history)-historyLimit/2:])
	}
	s.notifyWatches()
	return o, nil
}
