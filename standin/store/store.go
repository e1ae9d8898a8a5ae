// Package store is a stand-in for the platform's object API, in memory, with the
// faults the users describe: outage, slowness, replies lost after the effect, a
// VM list that lags, watches that lose their history.
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

// historyLimit bounds the events kept for watches; an older start gets ErrGone.
const historyLimit = 4096

// Counts is the number of calls by kind of call; a waiting watch counts as one.
type Counts struct {
	Gets, Lists, Puts, Deletes, Watches, VMLists, Conflicts, OverRate int
	// PutBytes is the size of all values sent in writes, taken or not.
	PutBytes int64
}

// Writes is the number of calls that count against the platform's write rate.
func (c Counts) Writes() int { return c.Puts + c.Deletes }

// Store implements durable.Store.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[durable.Key]durable.Object
	history  []durable.Event
	changed  chan struct{}
	faults   Faults
	counts   Counts
	limits   [2]*rate.Limiter
	held     []*heldWrite
	vms      []snapshot
	vmLag    time.Duration
}

var _ durable.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[durable.Key]durable.Object),
		changed: make(chan struct{}),
	}
}

// Counts returns the calls taken so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Bytes is the size of all values held.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total int64
	for _, o := range s.objects {
		total += int64(len(o.Value))
	}
	return total
}

// wake lets waiting watches look again. Callers hold s.mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// access is the kind of a call, which the platform caps apart.
type access int

const (
	read access = iota
	write
)

// enter applies the faults and caps common to all calls and counts the call.
func (s *Store) enter(ctx context.Context, a access, count func(*Counts)) error {
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
	if err := s.enter(ctx, read, func(c *Counts) { c.Gets++ }); err != nil {
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
	if err := s.enter(ctx, read, func(c *Counts) { c.Lists++ }); err != nil {
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
	if err := s.enter(ctx, write, func(c *Counts) {
		c.Puts++
		c.PutBytes += int64(len(value))
	}); err != nil {
		return durable.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(heldWrite{key: key, value: bytes.Clone(value), ifVersion: ifVersion})
}

// Delete implements durable.Store.
func (s *Store) Delete(ctx context.Context, key durable.Key, ifVersion int64) error {
	if err := s.enter(ctx, write, func(c *Counts) { c.Deletes++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.write(heldWrite{key: key, ifVersion: ifVersion, deleted: true})
	return err
}

// write takes effect or not, then loses the reply or not. Callers hold s.mu.
func (s *Store) write(h heldWrite) (durable.Object, error) {
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

// apply checks the condition of a write and takes effect. Callers hold s.mu.
func (s *Store) apply(h heldWrite) (durable.Object, error) {
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
	s.wake()
	return o, nil
}
