package store

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"goldcrestfork/objectstore"
)

type watch struct {
	store *Store
	kind  string
	next  int64
	once  sync.Once
	done  chan struct{}
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, kind string, revision int64) (objectstore.Watch, error) {
	if err := s.enter(ctx, read, func(c *Counts) { c.Watches++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.HistoryLost {
		s.faults.HistoryLost = false
		return nil, objectstore.ErrGone
	}
	return &watch{store: s, kind: kind, next: revision + 1, done: make(chan struct{})}, nil
}

// Next implements objectstore.Watch.
func (w *watch) Next(ctx context.Context) (objectstore.Event, error) {
	for {
		event, changed, err := w.poll()
		if err != nil || event.Version > 0 {
			return event, err
		}
		select {
		case <-changed:
		case <-w.done:
			return objectstore.Event{}, objectstore.ErrUnavailable
		case <-ctx.Done():
			return objectstore.Event{}, ctx.Err()
		}
	}
}

// poll returns the next event, or the channel that closes when there may be one.
func (w *watch) poll() (objectstore.Event, <-chan struct{}, error) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return objectstore.Event{}, nil, objectstore.ErrUnavailable
	}
	oldest := s.revision + 1
	if len(s.history) > 0 {
		oldest = s.history[0].Version
	}
	if w.next < oldest {
		return objectstore.Event{}, nil, objectstore.ErrGone
	}
	from, _ := slices.BinarySearchFunc(s.history, w.next, func(e objectstore.Event, next int64) int {
		return cmp.Compare(e.Version, next)
	})
	for _, e := range s.history[from:] {
		if e.Kind == w.kind {
			w.next = e.Version + 1
			return e, nil, nil
		}
	}
	w.next = s.revision + 1
	return objectstore.Event{}, s.changed, nil
}

// Close implements objectstore.Watch.
func (w *watch) Close() { w.once.Do(func() { close(w.done) }) }
