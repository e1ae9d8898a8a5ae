package node

import (
	"time"

	"goldcrestfork/fleet/gossip"
	"goldcrestfork/fleet/rendezvous"
)

// coldShare returns this VM's part of a cold endpoint's rate. The rate is split among a few VMs
// by rank, so that even one request from each of them at once stays within it; the others get
// none.
func (n *Node) coldShare(endpoint string, rate float64) float64 {
	now, table := bootClock(), n.gossip.Table()
	return coldShare(n.sharingVMs(), n.s.VM, endpoint, rate*splitShare(now, table))
}

// minorityShare is the share of its part that a VM takes while it hears only a minority of VMs that it
// heard before: the others may be a majority, and then split the whole rate among themselves.
const minorityShare = 0.5

// splitShare returns the share of its part that a VM takes.
func splitShare(now time.Duration, table *gossip.Table) float64 {
	if table.InMinority(now) {
		return minorityShare
	}
	return 1
}

// maxColdVMs bounds the VMs that may send to one cold endpoint. Each may send one request at
// once: with six VMs and an endpoint's usual rate of ten a second, at most sixteen requests
// arrive in a second, within the overshoot that endpoints tolerate.
const maxColdVMs = 6

// coldShare returns this VM's part of a cold endpoint's rate, in requests a second.
func coldShare(vms []string, self, endpoint string, rate float64) float64 {
	k := min(maxColdVMs, len(vms))
	if place := rendezvous.Position(endpoint, self, vms); place < 0 || place >= k {
		return 0
	}
	return rate / float64(k)
}
