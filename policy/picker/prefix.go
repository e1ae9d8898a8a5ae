package picker

import (
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// prefixEntries bounds the index; an entry takes about 200 bytes, so 10 MB.
	prefixEntries = 50_000
	// holders is the number of endpoints remembered for a prefix. A hot prefix is on
	// more, and then any four of them serve.
	holders = 4
	// Confidence that an endpoint holds a prefix, by where the news comes from.
	confirmed = 1.0 // a cache event or an answer's count of cached tokens
	assumed   = 0.8 // own dispatch: it was computed there, and is kept for a while
	doubted   = 0.4 // an event of that endpoint was lost since
	derived   = 0.3 // the ring's endpoint, where other VMs send it as well
)

// Event is a cache event of an endpoint: late, and with gaps.
type Event struct {
	// Sequence counts the endpoint's events; a jump shows that some were lost.
	Sequence uint64
	// Stored and Removed are prefix block hashes.
	Stored, Removed []uint64
	// Cleared says that the whole cache is gone (a restart).
	Cleared bool
}

type holder struct {
	e          *Endpoint
	epoch      uint32 // the endpoint's epoch when the entry was made
	confidence float64
}

// prefixIndex remembers which endpoints likely hold a prefix. It is a hint only:
// a wrong entry costs a prefill, never a wrong answer.
type prefixIndex struct {
	entries *lru.LRU[uint64, *[holders]holder]
	streams map[*Endpoint]*eventStream
}

// eventStream is the state of one endpoint's events. Epochs mark entries old
// without visiting them: a restart raises cleared, a gap raises doubt.
type eventStream struct {
	sequence uint64
	epoch    uint32
	cleared  uint32 // entries made before this epoch are gone
}

func newPrefixIndex() *prefixIndex {
	entries, err := lru.NewLRU[uint64, *[holders]holder](prefixEntries, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &prefixIndex{entries: entries, streams: make(map[*Endpoint]*eventStream)}
}

func (x *prefixIndex) stream(e *Endpoint) *eventStream {
	s := x.streams[e]
	if s == nil {
		s = &eventStream{}
		x.streams[e] = s
	}
	return s
}

// event takes a cache event. After a gap the older entries are doubted, not
// dropped: most lost events are of other prefixes.
func (x *prefixIndex) event(e *Endpoint, ev Event) {
	s := x.stream(e)
	if ev.Sequence <= s.sequence && !ev.Cleared {
		return
	}
	if ev.Cleared {
		s.epoch++
		s.cleared = s.epoch
	} else if ev.Sequence != s.sequence+1 {
		s.epoch++
	}
	s.sequence = ev.Sequence
	for _, h := range ev.Removed {
		x.forget(h, e)
	}
	for _, h := range ev.Stored {
		x.learn(h, e, confirmed)
	}
}

// learn notes that the endpoint holds the prefix.
func (x *prefixIndex) learn(hash uint64, e *Endpoint, confidence float64) {
	entry, ok := x.entries.Get(hash)
	if !ok {
		entry = new([holders]holder)
		x.entries.Add(hash, entry)
	}
	epoch := x.stream(e).epoch
	at := holders - 1
	for i := range entry {
		if entry[i].e == e || entry[i].e == nil {
			at = i
			break
		}
	}
	// Newest first; the oldest falls out.
	copy(entry[1:at+1], entry[:at])
	entry[0] = holder{e: e, epoch: epoch, confidence: confidence}
}

func (x *prefixIndex) forget(hash uint64, e *Endpoint) {
	entry, ok := x.entries.Peek(hash)
	if !ok {
		return
	}
	for i := range entry {
		if entry[i].e == e {
			copy(entry[i:], entry[i+1:])
			entry[holders-1] = holder{}
			return
		}
	}
}

// confidence returns the trust in one holder now.
func (x *prefixIndex) confidence(h holder) float64 {
	s := x.streams[h.e]
	switch {
	case s == nil || h.epoch == s.epoch:
		return h.confidence
	case h.epoch < s.cleared:
		return 0
	}
	return min(h.confidence, doubted)
}

// drop forgets an endpoint that left the table; its entries are skipped from now on.
func (x *prefixIndex) drop(e *Endpoint) {
	s := x.stream(e)
	s.epoch++
	s.cleared = s.epoch
}
