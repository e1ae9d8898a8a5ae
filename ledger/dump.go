package ledger

import (
	"slices"
	"time"
)

// ShardInfo describes a shard in a state dump.
type ShardInfo struct {
	Shard    int   `json:"shard"`
	Version  int64 `json:"version"`
	Entries  int   `json:"head_entries"`
	HeadSize int   `json:"head_bytes"`
	Segments int   `json:"segments"`
	// Sealed is the number of keys in the loaded segments.
	Sealed int `json:"sealed_entries"`
	Queued int `json:"queued"`
	// Writes is the number of heads that this VM has written.
	Writes int `json:"writes"`
	// Unsettled is set if a write had no reply and its effect is not known yet.
	Unsettled bool `json:"unsettled"`
}

// Dump is the ledger's part of a process's state dump.
type Dump struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// RefusingFor is the time for which callers are still refused because the store is down,
	// in nanoseconds.
	RefusingFor time.Duration `json:"refusing_for_ns"`
	// Remembered is the number of cached decisions that can't change any more.
	Remembered int         `json:"remembered_decisions"`
	Shards     []ShardInfo `json:"shards"`
}

// Dump returns the state of the shards that this VM has used, sorted by number.
func (l *Ledger) Dump() Dump {
	l.mu.Lock()
	shards := make([]*shard, 0, len(l.shards))
	for _, s := range l.shards {
		shards = append(shards, s)
	}
	l.mu.Unlock()
	d := Dump{
		VM:          l.settings.VM,
		Incarnation: l.settings.Incarnation,
		RefusingFor: l.breaker.wait(),
		Remembered:  l.finalEntries.Len(),
	}
	for _, s := range shards {
		s.mu.Lock()
		info := s.info
		info.Shard, info.Queued = s.number, len(s.queue)
		s.mu.Unlock()
		d.Shards = append(d.Shards, info)
	}
	slices.SortFunc(d.Shards, func(a, b ShardInfo) int { return a.Shard - b.Shard })
	return d
}

// updateInfo updates the copy of the shard's state for Dump; the worker calls it.
func (s *shard) updateInfo() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.info = ShardInfo{
		Version:   s.state.version,
		Entries:   len(s.state.head),
		HeadSize:  s.state.headSize,
		Segments:  len(s.state.segments),
		Sealed:    len(s.state.index),
		Writes:    s.writes,
		Unsettled: s.unsettled,
	}
}
