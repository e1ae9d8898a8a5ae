package node

import (
	"goldcrestfork/fleet/datagram"
	"goldcrestfork/fleet/sticky"
)

// stickyTag marks the datagrams of package sticky between VMs.
const stickyTag = 1

// newSticky returns this VM's part of the sessions' store; its datagrams use gossip's socket.
func (n *Node) newSticky() *sticky.Service {
	var channel datagram.Channel
	s := sticky.New(sticky.Config{
		Self: n.s.VM, Clock: bootClock, Log: n.log, Registerer: n.registry,
		Ring: func() *sticky.Ring { return n.ring.get(bootClock(), n.newRing) },
		Send: func(b []byte, to string) error { return channel.Send(b, to) },
	})
	channel = n.gossip.Channel(stickyTag, "sessions", s.Receive)
	return s
}

// newRing returns the ring of the VMs that keep sessions: those that are ready, including this
// VM.
func (n *Node) newRing() *sticky.Ring {
	members := n.gossip.Table().Usable(bootClock(), "")
	if n.Ready() {
		members = append(members, n.self())
	}
	keepers := make([]sticky.Keeper, 0, len(members))
	for _, m := range members {
		keepers = append(keepers, sticky.Keeper{Name: m.Name, Address: m.Peer})
	}
	return sticky.NewRing(keepers...)
}

// handOverSessions transfers the sessions that this VM keeps to other VMs. It is called when
// the VM is no longer ready.
func (n *Node) handOverSessions() {
	if keys := n.sticky.HandOver(n.newRing()); keys > 0 {
		n.log.Info().Int("keys", keys).Msg("sessions handed over")
	}
}
