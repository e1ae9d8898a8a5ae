package sticky

import (
	"sync"
	"time"
)

// mostKeys bounds a keeper's memory, about 150 bytes each. Beyond it keys are decided by
// each VM alone.
const mostKeys = 1 << 16

// Value is what a key stands at; None for nothing known.
type Value uint8

// None is the value of a key that nobody decided.
const None Value = 0

// Hold is one request's hold on a key.
type Hold struct {
	Key Key
	// Holder tells this request from others.
	Holder uint64
	// Longest is how long the request may last; the key is kept as long without a Release.
	Longest time.Duration
	// Proposal is the value that the key takes where it has none.
	Proposal Value
	// Rank orders decisions that were Set: an earlier one has a lower rank. Questions
	// don't use it.
	Rank uint8
}

// Release ends a hold.
type Release struct {
	Key    Key
	Holder uint64
	// Value is the key's where it has none; None for a request that never ran, after which
	// the key isn't kept.
	Value Value
	// Rest is how long the key is kept after the request.
	Rest time.Duration
}

// Copy is what a keeper knows of a key.
type Copy struct {
	Key   Key
	Value Value
	Rank  uint8
	// Age is how long the key is known, Rest how long it is kept at the longest.
	Age, Rest time.Duration
}

// Held is what a keeper answers.
type Held struct {
	Value Value
	// Rank is that of the decision on the value.
	Rank uint8
	// Age is how long the keeper has known the key; 0 where it took the proposal.
	Age time.Duration
	// Keeper is the VM that answered.
	Keeper string
}

type entry struct {
	value Value
	rank  uint8
	since time.Duration
	until time.Duration
	holds map[uint64]time.Duration // when each ends at the latest, by holder
}

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

// end is when the entry ends at the latest.
func (e *entry) end() time.Duration {
	end := e.until
	for _, until := range e.holds {
		end = max(end, until)
	}
	return end
}

// Board is one keeper's memory. It is safe for concurrent use; time is an argument, on a
// clock that runs while the VM is suspended.
type Board struct {
	mu      sync.Mutex
	entries map[Key]*entry
}

// NewBoard returns an empty memory.
func NewBoard() *Board { return &Board{entries: make(map[Key]*entry)} }

// Hold holds the key and returns its value; one without a value takes the proposal.
func (b *Board) Hold(now time.Duration, h Hold) Held {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, known := b.at(now, h.Key)
	if e == nil {
		return Held{Value: h.Proposal}
	}
	e.holds[h.Holder] = now + h.Longest
	if !known {
		e.value = h.Proposal
		return Held{Value: e.value}
	}
	return Held{Value: e.value, Rank: e.rank, Age: max(now-e.since, 1)}
}

// Set holds the key and makes the proposal its value, unless that was decided with a higher rank.
func (b *Board) Set(now time.Duration, h Hold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, _ := b.at(now, h.Key)
	if e == nil {
		return
	}
	e.holds[h.Holder] = now + h.Longest
	if h.Rank >= e.rank {
		e.value, e.rank = h.Proposal, h.Rank
	}
}

// Copy takes what another keeper knows of a key, unless this one has a later decision, or
// knows the key for longer.
func (b *Board) Copy(now time.Duration, c Copy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, known := b.at(now, c.Key)
	if e == nil {
		return
	}
	since := now - c.Age
	if !known || c.Rank > e.rank || c.Rank == e.rank && since < e.since {
		e.value, e.rank, e.since = c.Value, c.Rank, since
	}
	e.until = max(e.until, now+c.Rest)
}

// Release ends a hold and keeps the key for its rest.
func (b *Board) Release(now time.Duration, r Release) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, known := b.at(now, r.Key)
	if e == nil {
		return
	}
	delete(e.holds, r.Holder)
	switch {
	case r.Value != None:
		if !known {
			e.value = r.Value
		}
		e.until = max(e.until, now+r.Rest)
	case !known || !e.live(now):
		delete(b.entries, r.Key)
	}
}

// at returns the key's entry, a new one where it has none; nil where there is no room.
// Callers hold b.mu.
func (b *Board) at(now time.Duration, k Key) (e *entry, known bool) {
	e = b.entries[k]
	if e != nil && e.live(now) {
		return e, true
	}
	if e == nil && len(b.entries) >= mostKeys {
		return nil, false
	}
	e = &entry{since: now, holds: make(map[uint64]time.Duration)}
	b.entries[k] = e
	return e, false
}

// Sweep forgets keys that are over, and returns how many are left.
func (b *Board) Sweep(now time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, e := range b.entries {
		if !e.live(now) {
			delete(b.entries, k)
		}
	}
	return len(b.entries)
}

// All returns what is known of all keys.
func (b *Board) All(now time.Duration) []Copy {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Copy
	for k, e := range b.entries {
		if e.live(now) {
			out = append(out, Copy{Key: k, Value: e.value, Rank: e.rank, Age: max(now-e.since, 1), Rest: e.end() - now})
		}
	}
	return out
}
