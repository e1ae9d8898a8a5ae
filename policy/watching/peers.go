package watching

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// watchers is the number of VMs that watch the platform; the second one covers a failure of
	// the first.
	watchers = 2
	// backupWatchers is the number of VMs ranked after the watchers that call the platform at
	// once if neither watcher has current state, so that the others find a source within
	// milliseconds.
	backupWatchers = 2
	// takeOverDelay is how long a VM must rank among the first before it watches: among 91 VMs
	// some of those ranked before it seem absent for a moment. If the VM's source fails meanwhile,
	// the VM starts to watch at once.
	takeOverDelay = 2 * time.Second
	// minBackoff is how long a VM is not read after its feed failed; the time doubles with each
	// failure in a row. After a reset connection the next try succeeds, while each try at a VM
	// that is cut off costs a timeout.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// staleBackoff is the same for a VM that answers without current state: a try costs only a
	// round trip, and it may be the first VM that has state again.
	staleBackoff = 200 * time.Millisecond
	// staleGrace is how far a VM's state exceeds its age limit before the VM calls the platform
	// itself. It covers a backup watcher's call, of 4 ms or of 280 ms while the platform is
	// slow, and a try at its feed. The limit is three quarters of the bound on propagating a
	// change, which is two seconds or more.
	staleGrace = 200 * time.Millisecond
)

// Peers selects the VMs that one VM reads from. It is safe for concurrent use.
type Peers struct {
	mu         sync.Mutex
	failed     map[string]failure
	lastParent string        // parent in the tree at the last call with a rank after the watchers
	lastAt     time.Duration // time of that call
}

// failure counts the failures of one VM's feed in a row and says until when it is not read.
type failure struct {
	count int
	until time.Duration
}

// NewPeers returns a selector without failures.
func NewPeers() *Peers { return &Peers{failed: make(map[string]failure)} }

// Sources returns the addresses of the VMs to read from, best first; none for a VM that watches
// the platform.
func (p *Peers) Sources(now time.Duration, place Place) []string {
	ranked, rank := place.Ranked, place.Rank
	p.mu.Lock()
	defer p.mu.Unlock()
	if rank < watchers {
		if p.lastParent != "" && now-p.lastAt < takeOverDelay && now >= p.failed[p.lastParent].until {
			return []string{p.lastParent}
		}
		return nil
	}
	p.lastParent, p.lastAt = ranked[place.parent(rank)], now
	var peers, out []string
	for _, i := range sourceRanks(place.parent(rank), rank) {
		peers = append(peers, ranked[i])
	}
	peers = append(peers, place.Fallback...)
	for _, peer := range peers {
		if now >= p.failed[peer].until && !slices.Contains(out, peer) {
			out = append(out, peer)
		}
	}
	if len(out) == 0 && (rank >= watchers+backupWatchers || len(place.Fallback) > 0) {
		// With no source this VM would watch the platform, which only the watchers and the
		// backup watchers do.
		out = []string{slices.MinFunc(peers, func(a, b string) int { return cmp.Compare(p.failed[a].until, p.failed[b].until) })}
	}
	return out
}

// sourceRanks returns the ranks to read from: the parent in the tree, the watchers and the
// backup watchers. Half of the readers start with either one of each pair.
func sourceRanks(parent, rank int) []int {
	out := []int{parent, rank % watchers, (rank + 1) % watchers}
	for i := range backupWatchers {
		if r := watchers + (rank+i)%backupWatchers; r < rank {
			out = append(out, r)
		}
	}
	return out
}

// Read records that a VM's feed was read.
func (p *Peers) Read(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failed, peer)
}

// Failed records that a VM's feed could not be read; stale says that the VM answered without
// current state. It reports whether this is the first failure in a row.
func (p *Peers) Failed(now time.Duration, peer string, stale bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.failed[peer]
	if stale {
		f.until = now + staleBackoff
	} else {
		f.until = now + min(minBackoff<<min(f.count, 8), maxBackoff)
	}
	f.count++
	p.failed[peer] = f
	for other, o := range p.failed {
		if now >= o.until+maxBackoff {
			delete(p.failed, other)
		}
	}
	return f.count == 1
}

// MayCall reports whether a VM that found no state at other VMs may call the platform. left is
// how long its own state remains valid, negative if it is too old.
func MayCall(rank int, left time.Duration) bool {
	return rank < watchers+backupWatchers || left <= -staleGrace
}
