package room

import "sync/atomic"

const (
	// heldShare is the share of a process's memory limit that the bodies of requests and whole answers
	// may take. A body is copied once while it is sent, and the garbage collector needs room as well.
	heldShare = 0.25
	// minHeldBytes lets a small VM hold a few bodies of the usual limit of 4 MB.
	minHeldBytes = 16 << 20
)

// Bytes counts the bytes of bodies and answers that a VM holds. It is safe for concurrent use.
type Bytes struct {
	limit int64
	held  atomic.Int64
}

// NewBytes returns a counter for a process with the given memory limit.
func NewBytes(memoryMB int) *Bytes {
	return &Bytes{limit: max(int64(heldShare*float64(memoryMB)*(1<<20)), minHeldBytes)}
}

// Take reports whether the VM has room for n more bytes of a request's body, and counts them if so. A
// body that is larger than all of the room is taken if nothing else is held.
func (b *Bytes) Take(n int64) bool {
	for {
		held := b.held.Load()
		if held > 0 && held+n > b.limit {
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// Add counts n bytes of an answer whether there is room or not: an answer that was produced is delivered.
func (b *Bytes) Add(n int64) { b.held.Add(n) }

// Release counts n bytes as no longer held.
func (b *Bytes) Release(n int64) { b.held.Add(-n) }

// Held returns the number of bytes held.
func (b *Bytes) Held() int64 { return b.held.Load() }
