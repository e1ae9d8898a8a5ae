package ledger

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Sizes of a shard's objects, in bytes.
const (
	// sealBytes is the size of the head above which its entries are moved to a segment. Every
	// write carries the head, and a VM has 14 KB/s for control traffic.
	sealBytes = 8 << 10
	// maxSegment is the maximum size of a merged segment, below durable.MaxValueBytes.
	maxSegment = 896 << 10
	// maxBatch is the maximum size of the operations in one write.
	maxBatch = 512 << 10
	// mergeFactor is the number of segments of similar size that are merged into one. Each entry
	// is rewritten once for each factor of four in size, and a VM that takes over a shard reads
	// few objects.
	mergeFactor = 4
)

// segmentRef describes a segment without its entries.
type segmentRef struct {
	Name   string `cbor:"1,keyasint"`
	Size   int    `cbor:"2,keyasint"`
	Expire uint32 `cbor:"3,keyasint"` // the latest expiry of its entries
}

// head is the value of a shard's head object. It refers only to the newest segment, because
// every write carries the head and the list of a day's segments would make up most of its
// bytes.
type head struct {
	Newest  string  `cbor:"1,keyasint,omitempty"`
	Entries []Entry `cbor:"2,keyasint"` // sorted by key
}

// segment is the value of a segment object. The newest segment holds the shard's list of older
// ones.
type segment struct {
	Older   []segmentRef `cbor:"1,keyasint"` // oldest first
	Entries []Entry      `cbor:"2,keyasint"` // sorted by key
}

// allSegments returns the shard's segments, if this one is the newest and is stored as name
// with an encoded size in bytes.
func (s segment) allSegments(name string, size int) []segmentRef {
	ref := segmentRef{Name: name, Size: size - segmentRefSize*len(s.Older)}
	for _, e := range s.Entries {
		ref.Expire = max(ref.Expire, e.Expire)
	}
	return append(slices.Clone(s.Older), ref)
}

// segmentRefSize is the encoded size of a segmentRef, in bytes, rounded.
const segmentRefSize = 40

// state is the content of a shard at one version of its head.
type state struct {
	version  int64
	head     map[Key]Entry
	headSize int // encoded size of the head in bytes
	segments []segmentRef
	// sealed holds the entries of each segment in segments, by name.
	sealed map[string][]Entry
	// index holds the newest sealed entry of each key.
	index map[Key]*Entry
}

func newState() *state {
	return &state{head: map[Key]Entry{}, sealed: map[string][]Entry{}, index: map[Key]*Entry{}}
}

// lookup returns the live entry of a key, or nil.
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

// expired reports whether an entry's retention is over. It adds one hour to the retention that
// callers know, because the clocks of VMs differ.
func expired(expire, hour uint32) bool { return hour > expire+1 }

// plan holds the results and the changes of one write.
type plan struct {
	results []result
	changes map[Key]Entry
	// final is set if the results stay valid regardless of what other VMs have written since the
	// state was loaded.
	final bool
}

// plan applies operations in order, without changing the state.
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

// headWith returns the head's entries after changes.
func (s *state) headWith(changes map[Key]Entry) map[Key]Entry {
	out := make(map[Key]Entry, len(s.head)+len(changes))
	for k, e := range s.head {
		out[k] = e
	}
	for k, e := range changes {
		out[k] = e
	}
	return out
}

// sealPlan describes a segment that is written before the head that refers to it.
type sealPlan struct {
	name    string
	value   []byte
	entries []Entry
	// list holds the shard's segments after the write; obsolete names those that are no longer
	// in it.
	list     []segmentRef
	obsolete []string
	// from is the index of the first segment that the new one replaces.
	from int
}

// planSeal returns the segment that takes the head's entries, and those of the newest segments
// once enough of similar size exist. Its content is a function of the head's version, of from
// and of the hour, and its name contains all three. Two VMs that seal at the same time
// therefore write either the same bytes or different objects; neither overwrites the other's
// segment with one that lacks entries. Expired entries may be omitted because an entry's expiry
// never decreases: older entries of the same key have expired too.
func (s *state) planSeal(shard int, hour uint32) (sealPlan, error) {
	from := mergeFrom(s.segments, s.headSize)
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
	older, drop := s.splitSegments(from, hour)
	next := segment{Older: older, Entries: sortedByKey(merged)}
	value, err := cbor.Marshal(next)
	if err != nil {
		return sealPlan{}, err
	}
	name := fmt.Sprintf("%s.%d.%d.%d", headName(shard), s.version, from, hour)
	list := next.allSegments(name, len(value))
	return sealPlan{name: name, value: value, entries: next.Entries, list: list, obsolete: drop, from: from}, nil
}

// splitSegments returns the segments before from that have not expired, and the names of all
// others.
func (s *state) splitSegments(from int, hour uint32) (older []segmentRef, drop []string) {
	for i, ref := range s.segments {
		if i >= from || expired(ref.Expire, hour) {
			drop = append(drop, ref.Name)
			continue
		}
		older = append(older, ref)
	}
	return older, drop
}

// mergeFrom returns the index of the first segment to merge with a new one of size bytes;
// len(segments) if there is none.
func mergeFrom(segments []segmentRef, size int) int {
	from := len(segments)
	for {
		first, total := from, size
		for first > 0 && segments[first-1].Size <= 2*size && total+segments[first-1].Size <= maxSegment {
			first--
			total += segments[first].Size
		}
		if from-first < mergeFactor-1 {
			return from
		}
		from, size = first, total
	}
}

func sortedByKey(m map[Key]Entry) []Entry {
	out := make([]Entry, 0, len(m))
	for _, e := range m {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return out
}

// setSegments replaces the list of segments. added must hold the entries of those that are not
// loaded yet. Only these are indexed: they are newer than all segments that stay, since a merge
// always replaces the end of the list.
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

// reindex rebuilds the index, to free the entries that are in no segment any more.
func (s *state) reindex() {
	s.index = make(map[Key]*Entry, len(s.index))
	for _, ref := range s.segments {
		s.indexEntries(s.sealed[ref.Name])
	}
}

// newestName returns the name of the newest segment, or "" if there is none.
func newestName(list []segmentRef) string {
	if len(list) == 0 {
		return ""
	}
	return list[len(list)-1].Name
}

func headName(shard int) string { return fmt.Sprintf("%03d", shard) }
