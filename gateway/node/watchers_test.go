package node

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/datagram"
	"goldcrestfork/fleet/gossip"
	"goldcrestfork/fleet/rendezvous"
)

// nodeOfRank returns a VM with the given rank, and the members of its fleet by rank.
func nodeOfRank(t *testing.T, fleet, rank int) (*Node, []gossip.Member) {
	var members []gossip.Member
	for i := range fleet {
		members = append(members, gossip.Member{Name: fmt.Sprint("vm", i), Peer: fmt.Sprint("peer", i)})
	}
	members = rendezvous.RankBy("watchers", members, func(m gossip.Member) string { return m.Name })
	g, err := gossip.Listen(gossip.Config{
		PathsLost: func() bool { return false },
		Self:      gossip.Member{Name: members[rank].Name, Peer: "127.0.0.1:0"}, Clock: bootClock,
		Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(), Traffic: datagram.NewTraffic(prometheus.NewRegistry()),
	})
	require.NoError(t, err)
	n := &Node{s: Settings{VM: members[rank].Name, PortFirst: 1}, gossip: g, log: zerolog.Nop()}
	n.sourcePolicy = newSourcePolicy(n)
	return n, members
}

func receiveFrom(n *Node, incarnation uint64, ready bool, ms ...gossip.Member) {
	for _, m := range ms {
		n.gossip.Table().Apply(bootClock(), &gossip.Message{From: m, Incarnation: incarnation, Sequence: 1, Ready: ready})
	}
}

// Guards against two VMs that read from each other: a VM reads only from VMs ranked before it.
func TestReadersReadFromThoseBeforeThem(t *testing.T) {
	for _, rank := range []int{0, 1, 2, 9, 10, 40, 90} {
		n, members := nodeOfRank(t, 91, rank)
		receiveFrom(n, 1, true, members...)
		sources := n.sourcePolicy.Sources()
		if rank < 2 {
			require.Empty(t, sources)
			continue
		}
		require.NotEmpty(t, sources)
		for _, s := range sources {
			require.Less(t, slices.IndexFunc(members, func(m gossip.Member) bool { return m.Peer == s }), rank)
		}
	}
}

// Guards against a configuration that is already old when the platform fails, since keys are
// then refused that much sooner.
func TestConfigurationIsConfirmedOften(t *testing.T) {
	for bound, wait := range map[time.Duration]time.Duration{2 * time.Second: time.Second, 4 * time.Second: time.Second, time.Second: 500 * time.Millisecond} {
		n := &Node{currentBounds: new(atomic.Pointer[Bounds])}
		n.currentBounds.Store(&Bounds{ConfigInForce: bound, DrainTimeout: bound, Revocation: 5 * time.Second})
		require.Equal(t, wait, n.watchWait(kindConfig))
		require.Equal(t, bound/2, n.watchWait(kindEndpoints))
	}
}
