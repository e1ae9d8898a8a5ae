package node

import (
	"context"
	"time"

	"goldcrestfork/durable"
	"goldcrestfork/fleet/gossip"
	"goldcrestfork/gateway/view"
)

// announcePause is the pause between attempts to write this VM's entry or to read the others.
const announcePause = 500 * time.Millisecond

// announce reads the entries of the VMs and writes this VM's entry if it is missing or
// different; after a restart it is mostly right, which saves the write. After writing, the VM
// reads a list that includes its own entry. Of two VMs that start together at least one then
// reads the other's entry, and its datagrams inform the other, so that no watch is needed. At
// the first start of a fleet there are no entries yet, and the write comes first.
func (n *Node) announce(ctx context.Context) {
	entered := false
	read := func(list func(context.Context) (view.Listing[gossip.Member], error)) func(context.Context) error {
		return func(c context.Context) (err error) {
			entered, err = n.readMembers(c, list)
			return err
		}
	}
	if n.s.FirstStart {
		time.AfterFunc(maxDiscoveryTime, n.startFollowers)
	} else {
		n.startFollowers()
		n.retry(ctx, "read VMs", read(n.p.VMs().Recent))
	}
	if !entered {
		n.retry(ctx, "announce", func(c context.Context) error { return n.p.Announce(c, n.self()) })
		n.retry(ctx, "read VMs", read(n.p.VMs().Recent))
	}
	if !entered {
		// The list is older than this VM's entry and may lack the entries of VMs that started at
		// the same time.
		n.retry(ctx, "read VMs", read(n.p.VMs().List))
	}
	if n.s.FirstStart {
		sleep(ctx, discoveryTime)
	}
	n.startFollowers()
}

// maxDiscoveryTime ends the discovery of other VMs if the platform doesn't return their
// entries: the platform may still serve other calls, and VMs that know this one send it
// datagrams.
const maxDiscoveryTime = discoveryTime + time.Second

// startFollowers lets the followers begin.
func (n *Node) startFollowers() { n.peersKnownOnce.Do(func() { close(n.peersKnown) }) }

// readMembers learns the other VMs from their entries and reports whether this VM's own entry
// is among them with the current values.
func (n *Node) readMembers(ctx context.Context, list func(context.Context) (view.Listing[gossip.Member], error)) (entered bool, err error) {
	l, err := list(ctx)
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
	n.membersRead.Store(true)
	n.gossip.TriggerRound()
	return entered, nil
}

func (n *Node) retry(ctx context.Context, what string, call func(context.Context) error) {
	for ctx.Err() == nil {
		if wait, ask := n.sourcePolicy.Turn(); wait > 0 || !ask {
			sleep(ctx, announcePause)
			continue
		}
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
