package node

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against VMs that each use the whole slack of the retry budget because they start at the same time and have heard no others.
func TestStartingVMsShareRetrySlack(t *testing.T) {
	const vms, slack = 20, 40
	before, learnt := 0, 0
	for rank := range vms {
		n, members := nodeOfRank(t, vms, rank)
		n.currentBounds = new(atomic.Pointer[Bounds])
		n.currentBounds.Store(&Bounds{RetryWindow: 10 * time.Second, RetryRatio: 0.9, RetrySlack: slack})
		b := newBudgets(n)
		for granted(b) {
			before++
		}
		n.gossip.Table().Learn(bootClock(), members...)
		n.membersRead.Store(true)
		n.vms = cached[[]string]{}
		for granted(b) {
			learnt++
		}
	}
	require.LessOrEqual(t, before, slack, "before the other VMs' entries are read")
	require.Equal(t, slack, before+learnt, "no VM has heard another")
}

func granted(b *budgets) bool {
	_, ok := b.TakeExtra("s")
	return ok
}
