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
