package node

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/policy/retry"
)

// Guards against VMs that each use the whole slack of the retry budget, or a second time after a start, because they start at the same time.
func TestStartingVMsShareRetrySlack(t *testing.T) {
	const vms, slack, window = 20, 40, 10 * time.Second
	started, alone, together := 0, 0, 0
	for rank := range vms {
		n, members := nodeOfRank(t, vms, rank)
		n.startedAt = bootClock()
		n.currentBounds = new(atomic.Pointer[Bounds])
		n.currentBounds.Store(&Bounds{RetryWindow: window, RetryRatio: 0.9, RetrySlack: slack})
		b := newBudgets(n)
		n.gossip.Table().Learn(bootClock(), members...)
		n.membersRead.Store(true)
		started += takeAll(b)
		b.slack = retry.NewSlackPart(bootClock() - window)
		alone += takeAll(b)
		receiveFrom(n, 1, true, members...)
		together += takeAll(b)
	}
	require.Zero(t, started, "within a window of the start")
	require.Zero(t, alone, "no VM has heard another")
	require.LessOrEqual(t, together, slack)
	require.GreaterOrEqual(t, together, slack-vms, "the VMs hear each other")
}

// Guards against VMs that forget their extra attempts, and make as many again, when settings change.
func TestChangedBoundsKeepExtraAttemptsCounted(t *testing.T) {
	const slack, window = 40, 10 * time.Second
	for name, change := range map[string]func(b *Bounds){
		"another bound": func(b *Bounds) { b.Session++ },
		"ratio":         func(b *Bounds) { b.RetryRatio = 0.1 },
		"slack":         func(b *Bounds) { b.RetrySlack = slack - 1 },
		"window":        func(b *Bounds) { b.RetryWindow = 2 * window },
	} {
		t.Run(name, func(t *testing.T) {
			n, members := nodeOfRank(t, 3, 0)
			bounds := Bounds{RetryWindow: window, RetryRatio: 0.9, RetrySlack: slack}
			n.currentBounds = new(atomic.Pointer[Bounds])
			n.currentBounds.Store(&bounds)
			n.membersRead.Store(true)
			receiveFrom(n, 1, true, members...)
			b := newBudgets(n)
			b.slack = retry.NewSlackPart(bootClock() - 4*window)
			require.NotZero(t, takeAll(b))
			changed := bounds
			change(&changed)
			n.currentBounds.Store(&changed)
			require.Zero(t, takeAll(b))
		})
	}
}

func takeAll(b *budgets) (n int) {
	for granted(b) {
		n++
	}
	return n
}

func granted(b *budgets) bool {
	_, ok := b.TakeExtra("s")
	return ok
}
