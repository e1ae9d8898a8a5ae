package node

import (
	"context"
	"time"

	"goldcrestfork/durable"
)

// announcePause spaces tries to enter this VM, and to read the others.
const announcePause = 500 * time.Millisecond

// announce reads which VMs there are, and enters this one if it isn't there as it is:
// after a restart it mostly is, which saves the write. A VM that entered itself reads
// once more: of two that start together at least one then reads the other's entry,
// and its datagrams tell the other, so that no watch is needed.
func (n *Node) announce(ctx context.Context) {
	entered := false
	n.retry(ctx, "read VMs", func(c context.Context) (err error) {
		entered, err = n.meet(c)
		return err
	})
	if entered {
		return
	}
	n.retry(ctx, "announce", func(c context.Context) error { return n.p.Announce(c, n.self()) })
	n.retry(ctx, "read VMs", func(c context.Context) error {
		_, err := n.meet(c)
		return err
	})
}

// meet learns the other VMs from their entries, and says whether this VM's is right.
func (n *Node) meet(ctx context.Context) (entered bool, err error) {
	l, err := n.p.VMs().List(ctx)
	if err != nil {
		return false, err
	}
	for _, it := range l.Items {
		if it.Err != nil {
			n.log.Warn().Str("vm", it.Name).Err(it.Err).Msg("a VM's entry can't be read")
			continue
		}
		entered = entered || it.Value == n.self()
		n.gossip.Table().Learn(bootClock(), it.Value)
	}
	n.gossip.Nudge()
	return entered, nil
}

func (n *Node) retry(ctx context.Context, what string, call func(context.Context) error) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, durable.CallTimeout)
		err := call(c)
		cancel()
		if err == nil {
			return
		}
		n.log.Warn().Str("call", what).Err(err).Msg("platform call failed")
		sleep(ctx, announcePause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
