package node

import (
	"errors"
	"slices"
	"time"

	"goldcrestfork/fleet/gossip"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/gateway/view"
	"goldcrestfork/policy/watching"
)

const (
	// firstMeeting is how long a fleet that starts for the first time meets before it
	// reads anything: four rounds of datagrams, in which 91 VMs hear of most others. VMs
	// that read at once each list four kinds and then watch them, since each believes
	// that it ranks first. At any other start a VM asks the platform at once: after a crash
	// of all nobody knows more, and callers are back within ms.
	firstMeeting = 1600 * time.Millisecond
	// firstPatience is how long it then waits for those that read the platform, in a
	// tree of three levels; traffic follows after ten seconds.
	firstPatience = 2 * time.Second
	// settle is how long a VM that starts later waits after its own listing before it
	// follows changes: it greets the others and knows by then whom to read from.
	settle = 300 * time.Millisecond
)

// watchers is this VM's guide: package watching with the fleet as it is heard, a clock and
// log lines.
type watchers struct {
	n      *Node
	peers  *watching.Peers
	outage watching.Outage
	ranked recent[ranking]
}

// ranking is this VM's rank in the fleet, and its place among those to read from.
type ranking struct {
	rank  int
	place watching.Place
}

func newWatchers(n *Node) *watchers { return &watchers{n: n, peers: watching.NewPeers()} }

// ranking ranks the VMs that are heard, this one among them.
func (w *watchers) ranking() ranking {
	now := bootClock()
	return w.ranked.get(now, func() ranking {
		members := append(w.n.gossip.Table().Peers(now), w.n.self())
		ranked := rendezvous.RankBy("watchers", members, func(m gossip.Member) string { return m.Name })
		self := slices.IndexFunc(ranked, func(m gossip.Member) bool { return m.Name == w.n.s.VM })
		vms := make([]watching.VM, len(ranked))
		for i, m := range ranked {
			vms[i] = watching.VM{Address: m.Peer, DataCentre: m.DataCentre}
		}
		return ranking{rank: self, place: watching.PlaceOf(vms, self)}
	})
}

func (w *watchers) rank() int { return w.ranking().rank }

// Sources implements view.Guide.
func (w *watchers) Sources() []string {
	return w.peers.Sources(bootClock(), w.ranking().place)
}

// Read implements view.Guide.
func (w *watchers) Read(peer string) { w.peers.Read(peer) }

// Failed implements view.Guide.
func (w *watchers) Failed(peer string, err error) {
	if w.peers.Failed(bootClock(), peer, errors.Is(err, view.ErrStale)) {
		w.n.log.Info().Str("peer", peer).Err(err).Msg("feed can't be read, asking elsewhere")
	}
}

// MayAsk implements view.Guide.
func (w *watchers) MayAsk(left time.Duration) bool { return watching.MayAsk(w.rank(), left) }

// Claim implements view.Guide.
func (w *watchers) Claim() bool { return w.outage.Claim(bootClock()) }

// Lost implements view.Guide.
func (w *watchers) Lost() { w.outage.Lost(bootClock(), w.rank()) }

// Regained implements view.Guide.
func (w *watchers) Regained() { w.outage.Regained() }

// Turn implements view.Guide.
func (w *watchers) Turn() (time.Duration, bool) {
	t := w.outage.Turn(bootClock(), w.rank)
	return t.Wait, t.Ask
}
