package node

// sharingVMs returns the names of the VMs among which a bound over the whole fleet is split: those
// that are alive, or all known ones while this VM isn't in touch with most of them, as after its
// start. There are none before the other VMs' entries are read, and then this VM has no part.
func (n *Node) sharingVMs() []string {
	return n.vms.get(bootClock(), func() []string {
		switch now := bootClock(); {
		case n.seesMajority():
			return n.gossip.Table().AliveNames(now)
		case n.membersRead.Load():
			return n.gossip.Table().KnownNames()
		}
		return nil
	})
}
