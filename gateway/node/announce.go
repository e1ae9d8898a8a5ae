package node

import (
	"context"
	"time"

	"goldcrestfork/objectstore"
)

// announcePause spaces tries to enter this VM, and to read the others once.
const announcePause = 500 * time.Millisecond

// announce enters this VM in the platform, then reads the others once. Of two VMs
// that start together at least one reads the other's entry, and its datagrams tell
// the other, so that no watch is needed.
func (n *Node) announce(ctx context.Context) {
	n.retry(ctx, "announce", func(c context.Context) error { return n.p.Announce(c, n.self()) })
	n.retry(ctx, "read VMs", func(c context.Context) error {
		l, err := n.p.VMs().List(c)
		if err != nil {
			return err
		}
		for _, it := range l.Items {
			if it.Err != nil {
				n.log.Warn().Str("vm", it.Name).Err(it.Err).Msg("a VM's entry can't be read")
				continue
			}
			n.gossip.Table().Learn(bootClock(), it.Value)
		}
		n.gossip.Nudge()
		return nil
	})
}

func (n *Node) retry(ctx context.Context, what string, call func(context.Context) error) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, objectstore.CallTimeout)
		err := call(c)
		cancel()
		if err == nil {
			return
		}
		n.log.Warn().Str("call", what).Err(err).Msg("platform call failed")
		select {
		case <-ctx.Done():
		case <-time.After(announcePause):
		}
	}
}
