package watching

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// direct is how many VMs watch the platform: a second one for when one dies.
	direct = 2
	// standIns are the ranks after them that ask the platform at once when neither
	// watcher has word, so that the others find a source within some ms.
	standIns = 2
	// takeOver is how long a VM must rank first before it watches: among 91 VMs some of
	// those that rank before it aren't heard for a moment. One whose feed ends is
	// replaced at once.
	takeOver = 2 * time.Second
	// firstShun is how long a VM whose feed failed isn't read; it doubles with each
	// failure in a row. A reset connection is replaced by the next try, a VM that is cut
	// off costs a timeout each time.
	firstShun = 250 * time.Millisecond
	lastShun  = 4 * time.Second
	// staleShun is the same for a VM that answers without word of the platform: asking
	// it costs a round trip, and it may be the first that has word again.
	staleShun = 200 * time.Millisecond
	// grace is how much older than its limit a VM's word gets before the VM asks the
	// platform itself: a stand-in's call of 4 ms, or 280 ms while the platform is slow, and
	// a try at its feed. The limit is three quarters of the bound on a change, of two
	// seconds and more.
	grace = 200 * time.Millisecond
)

// Peers are the VMs that one VM reads from. It is safe for concurrent use.
type Peers struct {
	mu     sync.Mutex
	failed map[string]failure
	last   string        // the VM to read from by rank
	lastAt time.Duration // when it was that
}

type failure struct {
	row   int
	until time.Duration
}

// NewPeers returns peers of which none has failed.
func NewPeers() *Peers { return &Peers{failed: make(map[string]failure)} }

// Sources names the VMs to read from, best first. None for a VM that watches the platform.
func (p *Peers) Sources(now time.Duration, place Place) []string {
	ranked, rank := place.Ranked, place.Rank
	p.mu.Lock()
	defer p.mu.Unlock()
	if rank < direct {
		if p.last != "" && now-p.lastAt < takeOver && now >= p.failed[p.last].until {
			return []string{p.last}
		}
		return nil
	}
	p.last, p.lastAt = ranked[place.parent(rank)], now
	var peers, out []string
	for _, i := range candidates(place.parent(rank), rank) {
		peers = append(peers, ranked[i])
	}
	peers = append(peers, place.Last...)
	for _, peer := range peers {
		if now >= p.failed[peer].until && !slices.Contains(out, peer) {
			out = append(out, peer)
		}
	}
	if len(out) == 0 && (rank >= direct+standIns || len(place.Last) > 0) {
		// None would have this VM watch the platform, as those do that stand in.
		out = []string{slices.MinFunc(peers, func(a, b string) int { return cmp.Compare(p.failed[a].until, p.failed[b].until) })}
	}
	return out
}

// candidates are the ranks to read from: the parent in the tree, the watchers, and those
// that stand in for them; half of the readers begin with either of each two.
func candidates(parent, rank int) []int {
	out := []int{parent, rank % direct, (rank + 1) % direct}
	for i := range standIns {
		if r := direct + (rank+i)%standIns; r < rank {
			out = append(out, r)
		}
	}
	return out
}

// Read notes that a VM's feed was read.
func (p *Peers) Read(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failed, peer)
}

// Failed notes that a VM's feed could not be read; stale says that it answered that it
// has no word of the platform. It returns whether this is the first failure in a row.
func (p *Peers) Failed(now time.Duration, peer string, stale bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.failed[peer]
	if stale {
		f.until = now + staleShun
	} else {
		f.until = now + min(firstShun<<min(f.row, 8), lastShun)
	}
	f.row++
	p.failed[peer] = f
	for other, o := range p.failed {
		if now >= o.until+lastShun {
			delete(p.failed, other)
		}
	}
	return f.row == 1
}

// MayAsk says whether a VM that found no word at others asks the platform; left is how
// long its own word still holds, negative when it is too old.
func MayAsk(rank int, left time.Duration) bool {
	return rank < direct+standIns || left <= -grace
}
