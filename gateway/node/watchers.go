package node

import (
	"slices"
	"sync"
	"time"

	"goldcrestfork/fleet/gossip"
	"goldcrestfork/fleet/rendezvous"
)

const (
	// readersEach is how many VMs read from one. A large configuration is some 10 KB
	// packed; eight readers get it over a link of 10 Mbit/s in 60 ms.
	readersEach = 8
	// direct is how many VMs watch the platform: a second one for when one dies.
	direct = 2
	// firstMeeting is how long a fleet that starts for the first time meets before it
	// reads anything: four rounds of datagrams, in which 91 VMs hear of most others. VMs
	// that read at once each list four kinds and then watch them, since each believes
	// that it ranks first; that took 1,000 of a calm day's 2,580 calls. At any other start
	// a VM asks the platform at once: after a crash of all nobody knows more, callers come
	// back within ms, and waits of 20 and 150 ms for others lost 0.02 and 0.11 of the
	// worth of a day that ends so (seven VMs, means of four seeds).
	firstMeeting = 1600 * time.Millisecond
	// firstPatience is how long it then waits for those that read the platform, in a
	// tree of three levels; traffic follows after ten seconds.
	firstPatience = 2 * time.Second
	// settle is how long a VM that starts later waits after its own listing before it
	// follows changes: it greets the others and knows by then whom to read from.
	settle = 300 * time.Millisecond
	// takeOver is how long a VM must rank first before it watches: among 91 VMs some of
	// those that rank before it aren't heard for a moment. One whose feed ends is
	// replaced at once.
	takeOver = 2 * time.Second
	// shun is how long a VM whose feed failed isn't read.
	shun = 4 * time.Second
)

// watchers choose which VMs watch the platform and from whom this one reads.
//
// Load pattern: hundreds of VMs that each watch four kinds make calls by the thousand
// a second, and each is billed; with two that watch the calls stay flat.
//
// The VMs are ranked by the hash of their names. The first two watch; the others read
// from one ranked before them, in a tree of readersEach branches, so that no VM feeds
// many. Views of who is there differ for moments, but the order is the same in each: as
// a VM reads only from those before it, none read in a circle.
//
// Whoever reads from another VM still knows how fresh its word is: the answer carries
// the age of the proof, counted from the asking. A VM that can't read from its parent
// in the tree nor from those that watch asks the platform.
type watchers struct {
	n *Node

	mu     sync.Mutex
	failed map[string]time.Duration // by peer address, until when
	last   string                   // the VM read from
	lastAt time.Duration            // when it was right to
}

func newWatchers(n *Node) *watchers {
	return &watchers{n: n, failed: make(map[string]time.Duration)}
}

// peer names the VM to read from; empty for the platform.
func (w *watchers) peer() string {
	now := bootClock()
	members := append(w.n.gossip.Table().Peers(now), w.n.self())
	ranked := rendezvous.RankBy("watchers", members, func(m gossip.Member) string { return m.Name })
	rank := slices.IndexFunc(ranked, func(m gossip.Member) bool { return m.Name == w.n.s.VM })
	w.mu.Lock()
	defer w.mu.Unlock()
	if rank < direct {
		if w.last != "" && now-w.lastAt < takeOver && now >= w.failed[w.last] {
			return w.last
		}
		return ""
	}
	for _, i := range []int{(rank - direct) / readersEach, rank % direct, (rank + 1) % direct} {
		if m := ranked[i]; now >= w.failed[m.Peer] {
			w.last, w.lastAt = m.Peer, now
			return m.Peer
		}
	}
	return ""
}

// fail notes that a VM's feed can't be read.
func (w *watchers) fail(peer string, err error) {
	now := bootClock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if now >= w.failed[peer] {
		w.n.log.Info().Str("peer", peer).Err(err).Msg("feed can't be read, asking elsewhere")
	}
	w.failed[peer] = now + shun
	for p, until := range w.failed {
		if now >= until+shun {
			delete(w.failed, p)
		}
	}
}
