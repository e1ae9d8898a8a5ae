package node

import (
	"context"
	"time"

	"goldcrestfork/durable"
	"goldcrestfork/fleet/gossip"
	"goldcrestfork/gateway/view"
)

// announcePause spaces tries to enter this VM, and to read the others.
const announcePause = 500 * time.Millisecond

// announce reads which VMs there are, and enters this one if it isn't there as it is:
// after a restart it mostly is, which saves the write. A VM that entered itself reads
// once more, a list that has its own entry: of two that start together at least one then
// reads the other's, and its datagrams tell the other, so that no watch is needed. When a
// fleet starts for the first time nobody is there, and entering comes first.
func (n *Node) announce(ctx context.Context) {
	entered := false
	read := func(list func(context.Context) (view.Listing[gossip.Member], error)) func(context.Context) error {
		return func(c context.Context) (err error) {
			entered, err = n.meet(c, list)
			return err
		}
	}
	if n.s.FirstStart {
		time.AfterFunc(longestMeeting, n.meetingOver)
	} else {
		n.meetingOver()
		n.retry(ctx, "read VMs", read(n.p.VMs().Recent))
	}
	if !entered {
		n.retry(ctx, "announce", func(c context.Context) error { return n.p.Announce(c, n.self()) })
		n.retry(ctx, "read VMs", read(n.p.VMs().Recent))
	}
	if !entered {
		// The list is older than this VM's entry, and may lack those of VMs that started with it.
		n.retry(ctx, "read VMs", read(n.p.VMs().List))
	}
	if n.s.FirstStart {
		sleep(ctx, firstMeeting)
	}
	n.meetingOver()
}

// longestMeeting ends the wait for others when the platform doesn't say who there is: it
// may serve other calls, and VMs that know this one send it datagrams.
const longestMeeting = firstMeeting + time.Second

// meetingOver lets the followers begin.
func (n *Node) meetingOver() { n.metOnce.Do(func() { close(n.met) }) }

// meet learns the other VMs from their entries, and says whether this VM's is right.
func (n *Node) meet(ctx context.Context, list func(context.Context) (view.Listing[gossip.Member], error)) (entered bool, err error) {
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
	n.gossip.Nudge()
	return entered, nil
}

func (n *Node) retry(ctx context.Context, what string, call func(context.Context) error) {
	for ctx.Err() == nil {
		if wait, ask := n.watchers.Turn(); wait > 0 || !ask {
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
