package ledger

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Sizes of a shard's objects, in bytes.
const (
	// sealBytes is the head's size from which its entries move to a segment.
	// Grounds: every write carries the head, and a node has 14 KB/s for control.
	sealBytes = 8 << 10
	// maxSegment keeps a segment clear of durable.MaxValue.
	maxSegment = 896 << 10
	// maxBatch bounds what one write adds to a head.
	maxBatch = 512 << 10
	// mergeRun is how many segments of like size become one: each entry is
	// written again once per factor of four in size, and a lookup by a VM that
	// takes over reads few objects.
	mergeRun = 4
)

// segmentRef is what is known of a segment without reading it.
type segmentRef struct {
	Name   string `cbor:"1,keyasint"`
	Size   int    `cbor:"2,keyasint"`
	Expire uint32 `cbor:"3,keyasint"` // the latest of its entries
}

// head is the value of a shard's head object. It names the newest segment
// alone: every write carries the head, and a day's list of segments would be
// most of its bytes.
type head struct {
	Newest  string  `cbor:"1,keyasint,omitempty"`
	Entries []Entry `cbor:"2,keyasint"` // by key
}

// segment is the value of a segment. The newest one's list is the shard's.
type segment struct {
	Older   []segmentRef `cbor:"1,keyasint"` // oldest first
	Entries []Entry      `cbor:"2,keyasint"` // by key
}

// list gives all segments of a shard whose newest this is, stored as name in size bytes.
func (s segment) list(name string, size int) []segmentRef {
	ref := segmentRef{Name: name, Size: size - segmentRefSize*len(s.Older)}
	for _, e := range s.Entries {
		ref.Expire = max(ref.Expire, e.Expire)
	}
	return append(slices.Clone(s.Older), ref)
}

// segmentRefSize is the encoded size of a segmentRef, in bytes, rounded.
const segmentRefSize = 40

// state is a shard as of one version of its head.
type state struct {
	version  int64
	head     map[Key]Entry
	size     int // of the head's entries when last encoded
	segments []segmentRef
	// sealed holds the entries of each segment of segments, by name.
	sealed map[string][]Entry
	// index finds the newest sealed entry of a key.
	index map[Key]*Entry
}

func newState() *state {
	return &state{head: map[Key]Entry{}, sealed: map[string][]Entry{}, index: map[Key]*Entry{}}
}

// lookup gives the live entry of a key, or nil.
func (s *state) lookup(k Key, hour uint32) *Entry {
	e, ok := s.head[k]
	if !ok {
		p := s.index[k]
		if p == nil {
			return nil
		}
		e = *p
	}
	if expired(e.Expire, hour) {
		return nil
	}
	return &e
}

// expired leaves an hour of grace beyond the retention that callers are told,
// since VMs' clocks differ.
func expired(expire, hour uint32) bool { return hour > expire+1 }

// plan is what one write would change.
type plan struct {
	results []result
	changes map[Key]Entry
	// final: the results hold whatever others wrote since the state was read.
	final bool
}

// plan applies operations in order.
func (s *state) plan(ops []op, hour uint32) plan {
	p := plan{changes: map[Key]Entry{}, final: true}
	for _, o := range ops {
		e := s.lookup(o.Key, hour)
		if c, ok := p.changes[o.Key]; ok {
			e = &c
		}
		next, changed, r := apply(e, o, hour)
		if changed {
			p.changes[o.Key] = next
		}
		p.final = p.final && r.Entry.final()
		p.results = append(p.results, r)
	}
	return p
}

// with gives the head's entries after changes.
func (s *state) with(changes map[Key]Entry) map[Key]Entry {
	out := make(map[Key]Entry, len(s.head)+len(changes))
	for k, e := range s.head {
		out[k] = e
	}
	for k, e := range changes {
		out[k] = e
	}
	return out
}

// seal is a segment to be written before the head that names it.
type seal struct {
	name    string
	value   []byte
	entries []Entry
	// list is that of the shard afterwards; drop are the segments not in it any more.
	list []segmentRef
	drop []string
	// from is the first of the segments that the new one replaces.
	from int
}

// planSeal gives the segment that takes the head's entries, and those of the
// newest segments when enough of like size have gathered. Its content is a
// function of the head's version, of from and of the hour, and all three are in
// its name: two VMs that seal at once either write the same bytes or different
// objects, never one object with the other's gaps. Expired entries may be left
// out because an entry's expiry never falls: what they hide has expired too.
func (s *state) planSeal(shard int, hour uint32) (seal, error) {
	from := mergeFrom(s.segments, s.size)
	merged := map[Key]Entry{}
	for _, ref := range s.segments[from:] {
		for _, e := range s.sealed[ref.Name] {
			merged[e.Key] = e
		}
	}
	for k, e := range s.head {
		merged[k] = e
	}
	for k, e := range merged {
		if expired(e.Expire, hour) {
			delete(merged, k)
		}
	}
	older, drop := s.kept(from, hour)
	next := segment{Older: older, Entries: sorted(merged)}
	value, err := cbor.Marshal(next)
	if err != nil {
		return seal{}, err
	}
	name := fmt.Sprintf("%s.%d.%d.%d", headName(shard), s.version, from, hour)
	list := next.list(name, len(value))
	return seal{name: name, value: value, entries: next.Entries, list: list, drop: drop, from: from}, nil
}

// kept parts the segments into those before from that have not expired, and the rest.
func (s *state) kept(from int, hour uint32) (older []segmentRef, drop []string) {
	for i, ref := range s.segments {
		if i >= from || expired(ref.Expire, hour) {
			drop = append(drop, ref.Name)
			continue
		}
		older = append(older, ref)
	}
	return older, drop
}

// mergeFrom gives the index of the first segment to merge with a new one of size.
func mergeFrom(segments []segmentRef, size int) int {
	from := len(segments)
	for {
		first, total := from, size
		for first > 0 && segments[first-1].Size <= 2*size && total+segments[first-1].Size <= maxSegment {
			first--
			total += segments[first].Size
		}
		if from-first < mergeRun-1 {
			return from
		}
		from, size = first, total
	}
}

func sorted(m map[Key]Entry) []Entry {
	out := make([]Entry, 0, len(m))
	for _, e := range m {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return out
}

// setSegments replaces the list of segments; those that are not at hand must be
// in added. They are newer than all that stay, since a merge only ever replaces
// the end of the list; so it suffices to index those.
func (s *state) setSegments(refs []segmentRef, added map[string][]Entry) {
	s.segments = refs
	if len(added) == 0 {
		return
	}
	named := make(map[string][]Entry, len(refs))
	for _, ref := range refs {
		entries, ok := added[ref.Name]
		if ok {
			s.indexEntries(entries)
		} else {
			entries = s.sealed[ref.Name]
		}
		named[ref.Name] = entries
	}
	s.sealed = named
}

func (s *state) indexEntries(entries []Entry) {
	for i := range entries {
		s.index[entries[i].Key] = &entries[i]
	}
}

// reindex frees the entries that are in no segment any more.
func (s *state) reindex() {
	s.index = make(map[Key]*Entry, len(s.index))
	for _, ref := range s.segments {
		s.indexEntries(s.sealed[ref.Name])
	}
}

// newest names the newest segment, if there is one.
func newest(list []segmentRef) string {
	if len(list) == 0 {
		return ""
	}
	return list[len(list)-1].Name
}

func headName(shard int) string { return fmt.Sprintf("%03d", shard) }
