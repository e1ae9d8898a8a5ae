package node

import (
	"time"

	"goldcrestfork/fleet/gossip"
)

// knowsFleet reports whether this VM knows how many VMs the fleet has: it has read their entries,
// or, if the platform doesn't return them, exchanged datagrams with others for discoveryTime.
func (n *Node) knowsFleet() bool {
	now := bootClock()
	return n.membersRead.Load() || now-n.startedAt >= discoveryTime && len(n.gossip.Table().Alive(now)) > 1
}

// seesMajority reports whether this VM is in touch with most of the fleet, and wasn't out of touch a
// moment ago.
func (n *Node) seesMajority() bool {
	return n.knowsFleet() && inMajority(bootClock(), n.gossip.Table())
}

func inMajority(now time.Duration, table *gossip.Table) bool {
	return table.SeesMajority(now) && !table.InMinority(now)
}

// sharingVMs returns the names of the VMs among which a bound over the whole fleet is split: those
// that are alive, or all known ones while this VM isn't in touch with most of them, as after its
// start. There are none while it doesn't know the fleet, and then it has no part.
func (n *Node) sharingVMs() []string {
	return n.vms.get(bootClock(), func() []string {
		if !n.knowsFleet() {
			return nil
		}
		return sharingVMs(bootClock(), n.gossip.Table())
	})
}

// sharingVMs returns the names of the VMs among which a VM that knows the fleet splits a bound.
func sharingVMs(now time.Duration, table *gossip.Table) []string {
	if inMajority(now, table) {
		return table.AliveNames(now)
	}
	return table.KnownNames()
}

// slackSharers returns the number of VMs that the slack of a bound is split among: all that this one
// knows, since one that it doesn't hear may run. It is 0 while this VM isn't in touch with most of
// them: others may have joined, and may not count on it.
func (n *Node) slackSharers() int {
	if !n.knowsFleet() {
		return 0
	}
	return slackSharers(bootClock(), n.gossip.Table())
}

// slackSharers is Node.slackSharers for a VM that knows the fleet. After a short split all VMs still count
// each other, so that a VM has its part as soon as it sees the majority again.
func slackSharers(now time.Duration, table *gossip.Table) int {
	if !table.SeesMajority(now) || table.MayBeForgotten(now) {
		return 0
	}
	return len(table.KnownNames())
}
