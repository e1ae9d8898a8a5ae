package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/durable"
)

// kind is where heads and segments live; the shard count is part of a key's place.
var kind = fmt.Sprintf("ledger-%d", ShardCount)

// errHeadLost: a head that existed is gone. Heads are never deleted, so the
// platform has lost data; what it held can't be known, and the shard refuses.
var errHeadLost = errors.New("ledger: the head of a shard is gone")

// proposal is a head to be written.
type proposal struct {
	segments []segmentRef
	entries  map[Key]Entry
	// added are the entries of segments that the state does not have yet.
	added map[string][]Entry
	// drop are the segments that nobody needs once the head is written.
	drop []string
}

func (p proposal) encode() ([]byte, error) {
	return cbor.Marshal(head{Newest: newest(p.segments), Entries: sorted(p.entries)})
}

// load reads the head and the segments that are not at hand.
func (s *shard) load() error {
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
	return s.follow(o)
}

// follow moves the state to a head that was read.
func (s *shard) follow(o durable.Object) error {
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
	if next.segments, next.added, err = s.fetch(h.Newest); err != nil {
		return err
	}
	if s.state == nil {
		s.state = newState()
	}
	s.adopt(o.Version, next, len(o.Value))
	return nil
}

// fetch gives the list of segments that the newest one holds, and reads those
// that are not at hand. One that is gone was merged or has expired since the
// head was read; the error makes the worker read again.
func (s *shard) fetch(last string) ([]segmentRef, map[string][]Entry, error) {
	if last == "" {
		return nil, nil, nil
	}
	if s.state != nil && newest(s.state.segments) == last {
		return s.state.segments, nil, nil
	}
	x, size, err := s.read(last)
	if err != nil {
		return nil, nil, err
	}
	added := map[string][]Entry{last: x.Entries}
	for _, ref := range x.Older {
		if s.state != nil && s.state.sealed[ref.Name] != nil {
			continue
		}
		older, _, err := s.read(ref.Name)
		if err != nil {
			return nil, nil, err
		}
		added[ref.Name] = older.Entries
	}
	return x.list(last, size), added, nil
}

// read gets one segment and its stored size.
func (s *shard) read(name string) (segment, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), durable.CallTimeout)
	defer cancel()
	s.l.metrics.reads.Inc()
	o, err := s.l.store.Get(ctx, durable.Key{Kind: kind, Name: name})
	if err != nil {
		return segment{}, 0, err
	}
	var x segment
	err = cbor.Unmarshal(o.Value, &x)
	return x, len(o.Value), err
}

// adopt makes a head that is in the store the shard's state.
func (s *shard) adopt(version int64, p proposal, size int) {
	if version != s.state.version {
		s.unsettled = false
	}
	s.state.version = version
	s.state.head = p.entries
	s.state.setSegments(p.segments, p.added)
	if hour := hourOf(time.Now()); len(p.added) > 0 && s.indexedAt != hour {
		s.indexedAt = hour
		s.state.reindex()
	}
	s.state.size = size
	s.discard(p.drop)
	s.describe()
}

// seal writes the segment that takes over the head's entries and gives the head
// that follows. A segment that is there already has the same content (see planSeal).
func (s *shard) seal(p plan, hour uint32) (proposal, error) {
	x, err := s.state.planSeal(s.number, hour)
	if err != nil {
		return proposal{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), durable.CallTimeout)
	defer cancel()
	_, err = s.l.store.Put(ctx, durable.Key{Kind: kind, Name: x.name}, x.value, 0)
	s.l.metrics.sealed(err)
	if err != nil && !errors.Is(err, durable.ErrConflict) {
		return proposal{}, err
	}
	return proposal{
		segments: x.list,
		entries:  p.changes,
		added:    map[string][]Entry{x.name: x.entries},
		drop:     x.drop,
	}, nil
}

// discard deletes segments that no head names any more. Failure leaves garbage
// that costs space alone; Sweep finds it.
func (s *shard) discard(names []string) {
	for _, name := range names {
		s.l.remove(durable.Key{Kind: kind, Name: name})
	}
}

// remove deletes an object in the background, whatever its version.
func (l *Ledger) remove(key durable.Key) {
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
