package node

import (
	"sync"
	"time"

	"goldcrestfork/fleet/gossip"
	"goldcrestfork/fleet/rendezvous"
)

const (
	// readersEach is how many VMs read from one that watches the platform. A large
	// configuration is some 100 KB; eight readers get it over a link of 10 Mbit/s in
	// under a second.
	readersEach = 8
	// leastWatchers keeps a second VM watching when one dies.
	leastWatchers = 2
	// alone is how long a VM that starts asks the platform itself, until it knows the others.
	alone = 4 * time.Second
	// shun is how long a VM whose feed failed isn't read.
	shun = 4 * time.Second
)

// watchers choose which VMs watch the platform and from whom this one reads.
//
// Load pattern: hundreds of VMs that each watch four kinds make calls by the thousand
// a second, and each is billed; with a few watchers the calls stay flat.
//
// Whoever reads from another VM still knows how fresh its word is: the answer carries
// the age of that VM's own proof, counted from the asking. A VM that can't read from
// any watcher asks the platform.
type watchers struct {
	n       *Node
	started time.Duration

	mu     sync.Mutex
	failed map[string]time.Duration // by peer address, until when
}

func newWatchers(n *Node) *watchers {
	return &watchers{n: n, started: bootClock(), failed: make(map[string]time.Duration)}
}

// peer names the VM to read from; empty for the platform.
func (w *watchers) peer() string {
	now := bootClock()
	if now-w.started < alone {
		return ""
	}
	members := append(w.n.gossip.Table().Usable(now, w.n.s.DataCentre), w.n.self())
	ranked := rendezvous.RankBy("watchers", members, func(m gossip.Member) string { return m.Name })
	k := max(leastWatchers, (len(ranked)+readersEach-1)/readersEach)
	ranked = ranked[:min(k, len(ranked))]
	for _, m := range ranked {
		if m.Name == w.n.s.VM {
			return ""
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range rendezvous.RankBy(w.n.s.VM, ranked, func(m gossip.Member) string { return m.Name }) {
		if now >= w.failed[m.Peer] {
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
