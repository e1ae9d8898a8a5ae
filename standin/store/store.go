// Package store is a stand-in for the platform's object API, in memory, with the
// faults the users describe: outage, slowness, replies lost after the effect, a
// VM list that lags, watches that lose their history.
//
// Lock order: Store.mu is a leaf.
package store

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"goldcrestfork/platform"
)

// historyLimit bounds the events kept for watches; an older start gets ErrGone.
const historyLimit = 4096

// Faults is what goes wrong, from the moment it is set.
type Faults struct {
	// Down: every call fails with ErrUnavailable and watches break.
	Down bool
	// Delay is added to each call.
	Delay time.Duration
	// LoseReplies is the number of further writes whose effect takes place and whose reply is lost.
	LoseReplies int
	// RefuseWrites is the number of further writes that fail with ErrUnknown without effect.
	RefuseWrites int
	// HistoryLost makes every watch start fail with ErrGone, once.
	HistoryLost bool
}

// Counts is the number of calls by kind of call; a waiting watch counts as one.
type Counts struct {
	Gets, Lists, Puts, Deletes, Watches, VMLists, Conflicts int
}

// Writes is the number of calls that count against the platform's write rate.
func (c Counts) Writes() int { return c.Puts + c.Deletes }

// Store implements platform.Store.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[platform.Key]platform.Object
	history  []platform.Event
	changed  chan struct{}
	faults   Faults
	counts   Counts
	vms      []platform.VM
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[platform.Key]platform.Object),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults in force; breaking watches see it at once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// SetVMs replaces the VM list; the lag is the test's to choose.
func (s *Store) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.Clone(vms)
}

// Counts returns the calls taken so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// wake lets waiting watches look again. Callers hold s.mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// enter applies the faults common to all calls and counts the call.
func (s *Store) enter(ctx context.Context, count func(*Counts)) error {
	s.mu.Lock()
	count(&s.counts)
	delay, down := s.faults.Delay, s.faults.Down
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return platform.ErrUnavailable
		}
	}
	if down {
		return platform.ErrUnavailable
	}
	return ctx.Err()
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	if err := s.enter(ctx, func(c *Counts) { c.Gets++ }); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, kind string) (platform.Listing, error) {
	if err := s.enter(ctx, func(c *Counts) { c.Lists++ }); err != nil {
		return platform.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := platform.Listing{Revision: s.revision}
	for k, o := range s.objects {
		if k.Kind == kind {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
	return l, nil
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, key platform.Key, value []byte, ifVersion int64) (platform.Object, error) {
	if len(value) > platform.MaxValue {
		return platform.Object{}, platform.ErrTooLarge
	}
	if err := s.enter(ctx, func(c *Counts) { c.Puts++ }); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(key, bytes.Clone(value), ifVersion, false)
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key platform.Key, ifVersion int64) error {
	if err := s.enter(ctx, func(c *Counts) { c.Deletes++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.write(key, nil, ifVersion, true)
	return err
}

// write takes effect or not, then loses the reply or not. Callers hold s.mu.
func (s *Store) write(key platform.Key, value []byte, ifVersion int64, deleted bool) (platform.Object, error) {
	if s.faults.RefuseWrites > 0 {
		s.faults.RefuseWrites--
		return platform.Object{}, platform.ErrUnknown
	}
	current, ok := s.objects[key]
	if deleted && !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	if current.Version != ifVersion {
		s.counts.Conflicts++
		current.Key = key
		return platform.Object{}, &platform.ConflictError{Current: current}
	}
	s.revision++
	o := platform.Object{Key: key, Version: s.revision, Value: value}
	if deleted {
		delete(s.objects, key)
	} else {
		s.objects[key] = o
	}
	s.history = append(s.history, platform.Event{Object: o, Deleted: deleted})
	if len(s.history) > historyLimit {
		s.history = slices.Clone(s.history[len(s.history)-historyLimit/2:])
	}
	s.wake()
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return platform.Object{}, platform.ErrUnknown
	}
	return o, nil
}

// VMs implements platform.Store.
func (s *Store) VMs(ctx context.Context) ([]platform.VM, error) {
	if err := s.enter(ctx, func(c *Counts) { c.VMLists++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms), nil
}
