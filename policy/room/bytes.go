package room

import "sync"

const (
	// processBytes is what a process takes beside what it holds for callers and endpoints: its code, the
	// configuration, and the state of a fleet.
	processBytes = 32 << 20
	// heldShare is the share of the remaining memory that the bodies of requests and whole answers may
	// take. Connections take connShare of it; the garbage collector and the kernel's buffers need the rest.
	heldShare = 0.5
	connShare = 0.15
	// minHeldBytes lets a small VM hold a few bodies of the usual limit of 4 MB.
	minHeldBytes = 16 << 20
	// aloneShare is the share of all memory that one body may take while nothing else is held.
	aloneShare = 0.5
	// connBytes is what one caller's connection takes: its goroutines, its buffers, and the head of its
	// request. The head of the longest request takes a few times as much.
	connBytes = 40 << 10
	// minConnections lets a small VM serve a few callers.
	minConnections = 64
	// idleBytes is what an idle connection to an endpoint takes, and idleShare the share of the remaining
	// memory for them.
	idleBytes = 8 << 10
	idleShare = 0.05
	// longHeadBytes is what the head of an endpoint's answer takes at most, and longHeadShare the share of
	// the remaining memory for heads of more than the usual length.
	longHeadBytes = 512 << 10
	longHeadShare = 0.05
	// minLongHeads lets a small VM pass on a few of them.
	minLongHeads = 4
	// headShare is the share of the remaining memory for heads of requests that are longer than usual.
	headShare = 0.1
	// MinHeadBytes lets a small VM read one of the longest heads that a listener takes.
	MinHeadBytes = 4 << 20
	// otherDescriptors are left for files, the store and other VMs. Of the rest, connections of callers may take
	// connDescriptors, and as many again lead to endpoints; idle ones to endpoints take idleDescriptors
	// and other VMs peerDescriptors.
	otherDescriptors = 200
	connDescriptors  = 0.3
	idleDescriptors  = 0.25
	peerDescriptors  = 0.15
	// MinDescriptors is the least limit on descriptors with which a process serves callers.
	MinDescriptors = 256
	// smallBody is the size up to which a body counts as small, and smallReserve the share of the room
	// that only small bodies may take.
	smallBody    = 64 << 10
	smallReserve = 1.0 / 16
	// largeFactor and smallFactor are how many times the free room an account's bodies may take.
	largeFactor = 8
	smallFactor = 32
)

// Bytes counts the bytes of bodies and answers that a VM holds, and decides which bodies it takes. It is
// safe for concurrent use.
//
// An account that already holds bytes may hold a multiple of what is free (dynamic thresholds, A. Choudhury
// and E. Hahne, "Dynamic queue length thresholds for shared-memory packet switches", 1998): one account
// alone may use most of the room, several busy ones share it equally, and some of it is always free for
// an account that holds nothing.
type Bytes struct {
	limit, alone int64

	mu       sync.Mutex
	held     int64
	accounts map[string]int64
}

// remaining returns the bytes of a process's memory limit that are left beside processBytes.
func remaining(memoryMB int) float64 { return float64(max(int64(memoryMB)<<20-processBytes, 0)) }

// NewBytes returns a counter for a process with the given memory limit.
func NewBytes(memoryMB int) *Bytes {
	limit := max(int64(heldShare*remaining(memoryMB)), minHeldBytes)
	return &Bytes{limit: limit, alone: max(int64(aloneShare*float64(memoryMB)*(1<<20)), limit), accounts: make(map[string]int64)}
}

// MaxConnections returns how many connections of callers a process with the given limits on its memory and its
// descriptors serves; no descriptors for no limit on them.
func MaxConnections(memoryMB, descriptors int) int {
	return withinDescriptors(max(int(connShare*remaining(memoryMB)/connBytes), minConnections), descriptors, connDescriptors)
}

// MaxPeerConnections returns how many connections of other VMs it serves.
func MaxPeerConnections(memoryMB, descriptors int) int {
	return withinDescriptors(MaxConnections(memoryMB, 0), descriptors, peerDescriptors)
}

// MaxIdle returns how many idle connections to endpoints it keeps.
func MaxIdle(memoryMB, descriptors int) int {
	return withinDescriptors(max(int(idleShare*remaining(memoryMB)/idleBytes), minConnections), descriptors, idleDescriptors)
}

// withinDescriptors bounds a number of connections by a share of the descriptors.
func withinDescriptors(n, descriptors int, share float64) int {
	if descriptors <= 0 {
		return n
	}
	return max(min(n, int(share*float64(descriptors-otherDescriptors))), 1)
}

// MaxHeadBytes returns the bytes that the heads of requests may take together, as far as they are longer than
// usual: those of several of the longest ones.
func MaxHeadBytes(memoryMB int) int64 {
	return max(int64(headShare*remaining(memoryMB)), MinHeadBytes)
}

// MaxLongHeads returns how many heads of answers beyond the usual length it holds.
func MaxLongHeads(memoryMB int) int {
	return max(int(longHeadShare*remaining(memoryMB)/longHeadBytes), minLongHeads)
}

// Take reports whether the VM has room for n more bytes of bodies of an account's requests, and counts
// them if so. Large bodies of accounts that hold much are refused first, small ones of accounts that hold
// nothing last. A body that is larger than all of the room is taken if nothing else is held and half of
// the process's memory is enough for it.
func (b *Bytes) Take(account string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > 0 && !b.fits(b.accounts[account], n) {
		return false
	}
	b.add(account, n)
	return true
}

// fits decides on n bytes of an account that holds own already. Callers hold b.mu.
func (b *Bytes) fits(own, n int64) bool {
	if b.held == 0 {
		return n <= b.alone
	}
	free, factor := b.limit-b.held-n, int64(smallFactor)
	if n > smallBody {
		free -= int64(smallReserve * float64(b.limit))
		factor = largeFactor
	}
	return free >= 0 && (own == 0 || own+n <= factor*free)
}

// TakeAnswer reports whether the VM has room for n more bytes of an answer to an account's request, and
// counts them if so. Without room an answer is passed on as it arrives.
func (b *Bytes) TakeAnswer(account string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+n > b.limit-int64(smallReserve*float64(b.limit)) {
		return false
	}
	b.add(account, n)
	return true
}

// add counts n bytes of an account. Callers hold b.mu.
func (b *Bytes) add(account string, n int64) {
	b.held += n
	if b.accounts[account] += n; b.accounts[account] == 0 {
		delete(b.accounts, account)
	}
}

// Release counts n bytes of an account as no longer held.
func (b *Bytes) Release(account string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(account, -n)
}

// Held returns the number of bytes held.
func (b *Bytes) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}
