package sticky

import (
	"sync"
	"time"
)

// maxKeys bounds the keys of a keeper, about 150 bytes each. Beyond it each VM decides on further
// keys by itself.
const maxKeys = 1 << 16

// Value is the value of a key. The users of the package define what each value means.
type Value uint8

// None is the value of a key without a decision.
const None Value = 0

// Hold is one request's hold on a key.
type Hold struct {
	Key Key
	// Holder identifies the request.
	Holder uint64
	// MaxDuration is the longest time that the request may last. Without a Release the hold ends
	// after it.
	MaxDuration time.Duration
	// Proposal is the value that the key takes if it has none, or the one to Set.
	Proposal Value
	// Rank orders decisions that are made by Set: a later decision has a higher rank. Hold
	// ignores it.
	Rank uint8
}

// Release is the end of a hold.
type Release struct {
	Key    Key
	Holder uint64
	// Value is the value that the key takes if it has none. None means that the request never
	// ran, and then it doesn't extend the key's retention.
	Value Value
	// Retention is how long the key is kept after the request.
	Retention time.Duration
}

// Replica is the state of a key as one VM sends it to a keeper.
type Replica struct {
	Key   Key
	Value Value
	Rank  uint8
	// Age is how long the key has been known, Retention the longest time that it is still kept.
	Age, Retention time.Duration
}

// HoldResult is a keeper's answer to a Hold.
type HoldResult struct {
	Value Value
	// Rank is the rank of the decision on the value, 0 if it was a proposal.
	Rank uint8
	// Age is how long the keeper has known the key; 0 if the key was unknown to it and Value is
	// the proposal.
	Age time.Duration
	// Keeper is the name of the VM that answered.
	Keeper string
}

// entry is the state of a key at a keeper; its times are those of the Store's clock.
type entry struct {
	value Value
	rank  uint8
	since time.Duration            // when the key became known
	until time.Duration            // end of the retention after released holds
	holds map[uint64]time.Duration // latest end of each hold, by holder
}

// live reports whether the key is still held or retained. It removes holds that are over.
func (e *entry) live(now time.Duration) bool {
	if now < e.until {
		return true
	}
	for holder, until := range e.holds {
		if now < until {
			return true
		}
		delete(e.holds, holder)
	}
	return false
}

// end returns the latest time at which the entry expires.
func (e *entry) end() time.Duration {
	end := e.until
	for _, until := range e.holds {
		end = max(end, until)
	}
	return end
}

// Store holds the keys of one keeper. It is safe for concurrent use. Methods take the current
// time of a clock that continues while the VM is suspended.
type Store struct {
	mu      sync.Mutex
	entries map[Key]*entry
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: make(map[Key]*entry)} }

// Hold holds the key and returns its value; a key without a value takes the proposal.
func (s *Store) Hold(now time.Duration, h Hold) HoldResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.lookup(now, h.Key)
	if e == nil {
		return HoldResult{Value: h.Proposal}
	}
	e.holds[h.Holder] = now + h.MaxDuration
	if !known {
		e.value = h.Proposal
		return HoldResult{Value: e.value}
	}
	return HoldResult{Value: e.value, Rank: e.rank, Age: max(now-e.since, 1)}
}

// Set holds the key and makes the proposal its value, unless a decision of a higher rank is known.
func (s *Store) Set(now time.Duration, h Hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.lookup(now, h.Key)
	if e == nil {
		return
	}
	e.holds[h.Holder] = now + h.MaxDuration
	if h.Rank >= e.rank {
		e.value, e.rank = h.Proposal, h.Rank
	}
}

// Merge applies the state of a key that another VM sent. The store keeps its own value if that has
// a higher rank, or the same rank and the store has known the key for longer.
func (s *Store) Merge(now time.Duration, c Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.lookup(now, c.Key)
	if e == nil {
		return
	}
	since := now - c.Age
	if !known || c.Rank > e.rank || c.Rank == e.rank && since < e.since {
		e.value, e.rank, e.since = c.Value, c.Rank, since
	}
	e.until = max(e.until, now+c.Retention)
}

// Release ends a hold and keeps the key for r.Retention, or removes a key that isn't live if the
// request never ran.
func (s *Store) Release(now time.Duration, r Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.lookup(now, r.Key)
	if e == nil {
		return
	}
	delete(e.holds, r.Holder)
	switch {
	case r.Value != None:
		if !known {
			e.value = r.Value
		}
		e.until = max(e.until, now+r.Retention)
	case !known || !e.live(now):
		delete(s.entries, r.Key)
	}
}

// lookup returns the key's entry and whether it was known. It adds an entry for an unknown key, or
// returns nil if the store is full. Callers hold s.mu.
func (s *Store) lookup(now time.Duration, k Key) (e *entry, known bool) {
	e = s.entries[k]
	if e != nil && e.live(now) {
		return e, true
	}
	if e == nil && len(s.entries) >= maxKeys {
		return nil, false
	}
	e = &entry{since: now, holds: make(map[uint64]time.Duration)}
	s.entries[k] = e
	return e, false
}

// Sweep removes expired keys and returns how many are left.
func (s *Store) Sweep(now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.entries {
		if !e.live(now) {
			delete(s.entries, k)
		}
	}
	return len(s.entries)
}

// Replicas returns the state of all live keys.
func (s *Store) Replicas(now time.Duration) []Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Replica
	for k, e := range s.entries {
		if e.live(now) {
			out = append(out, Replica{Key: k, Value: e.value, Rank: e.rank, Age: max(now-e.since, 1), Retention: e.end() - now})
		}
	}
	return out
}
