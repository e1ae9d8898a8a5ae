package node

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against VMs that each take the whole rate of a cold endpoint because they start at the same time and have heard no others.
func TestStartingVMsShareColdRate(t *testing.T) {
	const vms, rate = 20, 10.0
	before, learnt := 0.0, 0.0
	for rank := range vms {
		n, members := nodeOfRank(t, vms, rank)
		before += n.coldShare("e", rate)
		n.gossip.Table().Learn(bootClock(), members...)
		n.membersRead.Store(true)
		n.vms = cached[[]string]{}
		learnt += n.coldShare("e", rate)
	}
	require.LessOrEqual(t, before, rate, "before the other VMs' entries are read")
	require.InDelta(t, rate, learnt, 1e-9, "no VM has heard another")
}

// Guards against a VM without parts of any bound because it started while the platform doesn't return the VMs' entries.
func TestVMStartedInAnOutageHasItsPart(t *testing.T) {
	n, members := nodeOfRank(t, 3, 1)
	n.startedAt = bootClock()
	receiveFrom(n, 1, true, members...)
	require.Empty(t, n.sharingVMs(), "just started")
	n.startedAt -= discoveryTime
	n.vms = cached[[]string]{}
	require.Len(t, n.sharingVMs(), 3)
}
