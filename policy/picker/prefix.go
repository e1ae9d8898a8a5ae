package picker

import (
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPrefixEntries bounds the index. An entry takes about 200 bytes, so the index
	// takes 10 MB.
	maxPrefixEntries = 50_000
	// maxHolders is the number of endpoints remembered per prefix. A hot prefix is cached
	// on more endpoints, any four of which are enough.
	maxHolders = 4
	// The confidence that an endpoint holds a prefix depends on the source of the
	// information.
	confirmedConfidence = 1.0 // from a cache event or an answer's count of cached tokens
	assumedConfidence   = 0.8 // from a dispatch of this VM: the prefix stays cached for a time
	doubtedConfidence   = 0.4 // after a later event of the endpoint was lost
	ringConfidence      = 0.3 // from the ring, which names the same endpoint on other VMs
)

// CacheEvent is a cache event of an endpoint. Events may be late, and some may be lost.
type CacheEvent struct {
	// Sequence numbers the events of an endpoint. A gap shows that some were lost.
	Sequence uint64
	// Stored and Removed hold hashes of prefix blocks.
	Stored, Removed []uint64
	// Cleared means that the whole cache is lost, for example by a restart.
	Cleared bool
}

// holder is an endpoint that likely holds a prefix.
type holder struct {
	e          *Endpoint
	epoch      uint32 // the endpoint's epoch when the entry was made
	confidence float64
}

// prefixIndex records which endpoints likely hold a prefix. It is only a hint: a wrong
// entry costs a prefill but never leads to a wrong answer.
type prefixIndex struct {
	entries *lru.LRU[uint64, *[maxHolders]holder]
	streams map[*Endpoint]*eventStream
}

// eventStream is the state of the cache events of one endpoint. Epochs invalidate entries
// without visiting them: a restart sets cleared to a new epoch, and a gap starts a new
// epoch, which reduces the confidence of older entries.
type eventStream struct {
	sequence uint64
	epoch    uint32
	cleared  uint32 // entries made before this epoch are invalid
}

func newPrefixIndex() *prefixIndex {
	entries, err := lru.NewLRU[uint64, *[maxHolders]holder](maxPrefixEntries, nil)
	if err != nil {
		panic(err) // cannot happen: the size is a positive constant
	}
	return &prefixIndex{entries: entries, streams: make(map[*Endpoint]*eventStream)}
}

// stream returns the event stream of the endpoint and creates it if necessary.
func (x *prefixIndex) stream(e *Endpoint) *eventStream {
	s := x.streams[e]
	if s == nil {
		s = &eventStream{}
		x.streams[e] = s
	}
	return s
}

// applyEvent applies a cache event. A gap in the sequence reduces the confidence of older
// entries but keeps them, since most lost events concern other prefixes.
func (x *prefixIndex) applyEvent(e *Endpoint, ev CacheEvent) {
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
		x.removeHolder(h, e)
	}
	for _, h := range ev.Stored {
		x.addHolder(h, e, confirmedConfidence)
	}
}

// addHolder records that the endpoint likely holds the prefix.
func (x *prefixIndex) addHolder(hash uint64, e *Endpoint, confidence float64) {
	entry, ok := x.entries.Get(hash)
	if !ok {
		entry = new([maxHolders]holder)
		x.entries.Add(hash, entry)
	}
	epoch := x.stream(e).epoch
	at := maxHolders - 1
	for i := range entry {
		if entry[i].e == e || entry[i].e == nil {
			at = i
			break
		}
	}
	// The newest holder comes first, and the oldest is dropped.
	copy(entry[1:at+1], entry[:at])
	entry[0] = holder{e: e, epoch: epoch, confidence: confidence}
}

// removeHolder removes the endpoint from the holders of the prefix.
func (x *prefixIndex) removeHolder(hash uint64, e *Endpoint) {
	entry, ok := x.entries.Peek(hash)
	if !ok {
		return
	}
	for i := range entry {
		if entry[i].e == e {
			copy(entry[i:], entry[i+1:])
			entry[maxHolders-1] = holder{}
			return
		}
	}
}

// confidence returns the current confidence of one holder.
func (x *prefixIndex) confidence(h holder) float64 {
	s := x.streams[h.e]
	switch {
	case s == nil || h.epoch == s.epoch:
		return h.confidence
	case h.epoch < s.cleared:
		return 0
	}
	return min(h.confidence, doubtedConfidence)
}

// invalidate invalidates all entries of an endpoint that left the table or lost its
// cache.
func (x *prefixIndex) invalidate(e *Endpoint) {
	s := x.stream(e)
	s.epoch++
	s.cleared = s.epoch
}
