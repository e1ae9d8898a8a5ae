package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/durable"
)

// objectKind is the platform's kind of heads and segments. It contains the shard count, which
// determines the shard of a key.
var objectKind = fmt.Sprintf("ledger-%d", ShardCount)

// errHeadLost reports that a head that existed is missing. Heads are never deleted, so the
// platform has lost data. The lost entries can't be known, and the shard refuses operations.
var errHeadLost = errors.New("ledger: the head of a shard is gone")

// proposal is a head to be written, or one that was read.
type proposal struct {
	segments []segmentRef
	entries  map[Key]Entry
	// added holds the entries of segments that the state does not contain yet, by name.
	added map[string][]Entry
	// obsolete names the segments that are not needed once the head is written.
	obsolete []string
}

func (p proposal) encode() ([]byte, error) {
	return cbor.Marshal(head{Newest: newestName(p.segments), Entries: sortedByKey(p.entries)})
}

// loadHead reads the head and the segments that are not loaded yet, and updates the state.
func (s *shard) loadHead() error {
	ctx, cancel := context.WithTimeout(context.Background(), durable.CallTimeout)
	defer cancel()
	s.l.metrics.reads.Inc()
	o, err := s.l.store.Get(ctx, s.key)
	if errors.Is(err, durable.ErrNotFound) {
		o, err = durable.Object{Key: s.key}, nil
	}
	if err != nil {
		return err
	}
	return s.advanceTo(o)
}

// advanceTo updates the state to a head that was read.
func (s *shard) advanceTo(o durable.Object) error {
	if s.state == nil && o.Version == 0 {
		s.state = newState()
		return nil
	}
	if s.state != nil && o.Version == s.state.version {
		return nil
	}
	if o.Version == 0 {
		return errHeadLost
	}
	var h head
	if err := cbor.Unmarshal(o.Value, &h); err != nil {
		return err
	}
	next := proposal{entries: make(map[Key]Entry, len(h.Entries))}
	for _, e := range h.Entries {
		next.entries[e.Key] = e
	}
	var err error
	if next.segments, next.added, err = s.loadSegments(h.Newest); err != nil {
		return err
	}
	if s.state == nil {
		s.state = newState()
	}
	s.adopt(o.Version, next, len(o.Value))
	return nil
}

// loadSegments returns the list of segments that ends with last, and reads those that are not
// loaded yet. A segment that is missing was merged or has expired since the head was read; the
// error makes the worker read the head again.
func (s *shard) loadSegments(last string) ([]segmentRef, map[string][]Entry, error) {
	if last == "" {
		return nil, nil, nil
	}
	if s.state != nil && newestName(s.state.segments) == last {
		return s.state.segments, nil, nil
	}
	x, size, err := s.readSegment(last)
	if err != nil {
		return nil, nil, err
	}
	added := map[string][]Entry{last: x.Entries}
	for _, ref := range x.Older {
		if s.state != nil && s.state.sealed[ref.Name] != nil {
			continue
		}
		older, _, err := s.readSegment(ref.Name)
		if err != nil {
			return nil, nil, err
		}
		added[ref.Name] = older.Entries
	}
	return x.allSegments(last, size), added, nil
}

// readSegment reads one segment and returns it with its stored size.
func (s *shard) readSegment(name string) (segment, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), durable.CallTimeout)
	defer cancel()
	s.l.metrics.reads.Inc()
	o, err := s.l.store.Get(ctx, durable.Key{Kind: objectKind, Name: name})
	if err != nil {
		return segment{}, 0, err
	}
	var x segment
	err = cbor.Unmarshal(o.Value, &x)
	return x, len(o.Value), err
}

// adopt makes a head in the store, of size bytes, the shard's state.
func (s *shard) adopt(version int64, p proposal, size int) {
	if version != s.state.version {
		s.unsettled = false
	}
	s.state.version = version
	s.state.head = p.entries
	s.state.setSegments(p.segments, p.added)
	if hour := hourOf(time.Now()); len(p.added) > 0 && s.reindexedAt != hour {
		s.reindexedAt = hour
		s.state.reindex()
	}
	s.state.headSize = size
	s.deleteSegments(p.obsolete)
	s.updateInfo()
}

// seal writes the segment that takes over the head's entries, and returns the head that refers
// to it. If an object of that name exists, it has the same content (see planSeal).
func (s *shard) seal(p plan, hour uint32) (proposal, error) {
	x, err := s.state.planSeal(s.number, hour)
	if err != nil {
		return proposal{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), durable.CallTimeout)
	defer cancel()
	_, err = s.l.store.Put(ctx, durable.Key{Kind: objectKind, Name: x.name}, x.value, 0)
	s.l.metrics.countSeal(err)
	if err != nil && !errors.Is(err, durable.ErrConflict) {
		return proposal{}, err
	}
	return proposal{
		segments: x.list,
		entries:  p.changes,
		added:    map[string][]Entry{x.name: x.entries},
		obsolete: x.obsolete,
	}, nil
}

// deleteSegments deletes segments that no head refers to any more. After a failure the object
// only takes up space, and Sweep deletes it.
func (s *shard) deleteSegments(names []string) {
	for _, name := range names {
		s.l.deleteInBackground(durable.Key{Kind: objectKind, Name: name})
	}
}

// deleteInBackground deletes an object in the background, whatever its version.
func (l *Ledger) deleteInBackground(key durable.Key) {
	l.workers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), durable.CallTimeout)
		defer cancel()
		o, err := l.store.Get(ctx, key)
		if err != nil {
			return
		}
		if l.store.Delete(ctx, key, o.Version) == nil {
			l.metrics.segments.WithLabelValues("deleted").Inc()
		}
	})
}
