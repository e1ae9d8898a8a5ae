package node

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/gossip"
	"goldcrestfork/gateway/view"
)

// directory holds the VMs' entries on a platform and an older state of them.
type directory struct {
	Platform
	view.Source[gossip.Member]
	now, old []gossip.Member
	lists    []string
}

func (d *directory) VMs() view.Source[gossip.Member] { return d }

func (d *directory) Announce(_ context.Context, m gossip.Member) error {
	d.now = append(d.now, m)
	d.lists = append(d.lists, "enter")
	return nil
}

func (d *directory) List(context.Context) (view.Listing[gossip.Member], error) {
	d.lists = append(d.lists, "new")
	return listing(d.now), nil
}

func (d *directory) Recent(context.Context) (view.Listing[gossip.Member], error) {
	d.lists = append(d.lists, "old")
	if d.old == nil {
		return listing(d.now), nil
	}
	return listing(d.old), nil
}

func listing(ms []gossip.Member) (out view.Listing[gossip.Member]) {
	for _, m := range ms {
		out.Items = append(out.Items, view.Item[gossip.Member]{Name: m.Name, Value: m})
	}
	return out
}

// Guards against two VMs that start together and don't learn of each other, also if lists may
// be old.
func TestVMsThatStartTogetherFindEachOther(t *testing.T) {
	for name, c := range map[string]struct {
		first bool
		entry bool // the VM's own entry exists already
		old   []gossip.Member
		lists []string
	}{
		"first start":                {first: true, lists: []string{"enter", "old"}},
		"first start, an old list":   {first: true, old: []gossip.Member{}, lists: []string{"enter", "old", "new"}},
		"restart":                    {entry: true, lists: []string{"old"}},
		"replaced VM":                {lists: []string{"old", "enter", "old"}},
		"replaced VM, lists are old": {old: []gossip.Member{}, lists: []string{"old", "enter", "old", "new"}},
	} {
		t.Run(name, func(t *testing.T) {
			n, members := nodeOfRank(t, 2, 0)
			d := &directory{now: []gossip.Member{members[1]}, old: c.old}
			if c.entry {
				d.now = append(d.now, n.self())
			}
			n.s.FirstStart, n.p, n.peersKnown = c.first, d, make(chan struct{})
			n.announce(t.Context())
			require.Equal(t, c.lists, d.lists)
			require.Contains(t, known(n), members[1].Peer)
		})
	}
}

// known returns the addresses of the VMs that get the next round of datagrams.
func known(n *Node) (out []string) {
	for _, b := range n.gossip.Table().Round(bootClock(), rand.New(rand.NewPCG(1, 1)), false) {
		out = append(out, b.To...)
	}
	return out
}
