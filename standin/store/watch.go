package store

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"goldcrestfork/durable"
)

// watch implements durable.Watch for one kind of objects.
type watch struct {
	store        *Store
	kind         string
	nextRevision int64
	once         sync.Once
	done         chan struct{}
}

// Watch implements durable.Store.
func (s *Store) Watch(ctx context.Context, kind string, revision int64) (durable.Watch, error) {
	if err := s.startCall(ctx, read, func(c *Counts) { c.Watches++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.HistoryLost {
		s.faults.HistoryLost = false
		return nil, durable.ErrGone
	}
	return &watch{store: s, kind: kind, nextRevision: revision + 1, done: make(chan struct{})}, nil
}

// Next implements durable.Watch.
func (w *watch) Next(ctx context.Context) (durable.Event, error) {
	for {
		event, changed, err := w.poll()
		if err != nil || event.Version > 0 {
			return event, err
		}
		select {
		case <-changed:
		case <-w.done:
			return durable.Event{}, durable.ErrUnavailable
		case <-ctx.Done():
			return durable.Event{}, ctx.Err()
		}
	}
}

// poll returns the next event, or a channel that is closed when there may be one.
func (w *watch) poll() (durable.Event, <-chan struct{}, error) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return durable.Event{}, nil, durable.ErrUnavailable
	}
	oldest := s.revision + 1
	if len(s.history) > 0 {
		oldest = s.history[0].Version
	}
	if w.nextRevision < oldest {
		return durable.Event{}, nil, durable.ErrGone
	}
	from, _ := slices.BinarySearchFunc(s.history, w.nextRevision, func(e durable.Event, next int64) int {
		return cmp.Compare(e.Version, next)
	})
	for _, e := range s.history[from:] {
		if e.Kind == w.kind {
			w.nextRevision = e.Version + 1
			return e, nil, nil
		}
	}
	w.nextRevision = s.revision + 1
	return durable.Event{}, s.changeSignal, nil
}

// Close implements durable.Watch.
func (w *watch) Close() { w.once.Do(func() { close(w.done) }) }
