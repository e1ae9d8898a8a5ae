package node

import (
	"net"
	"strconv"
	"time"

	"goldcrestfork/fleet/gossip"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/fleet/tally"
)

// tallyOffset is the tally's port from that of the datagrams between VMs; ports are the
// same on all VMs.
const tallyOffset = 1

// newTally opens this VM's part of the fleet's load.
func (n *Node) newTally() (*tally.Service, error) {
	return tally.Listen(tally.Config{
		Self: n.s.VM, Address: net.JoinHostPort(n.s.IP, strconv.Itoa(n.s.PortFirst+tallyOffset)), Clock: bootClock,
		Keepers: func() []tally.Keeper { return n.keepers(n.s.DataCentre) },
		Others:  n.otherKeepers, Work: n.work, Apply: n.applyLoad, Log: n.log, Registerer: n.registry,
	})
}

// keepers ranks the VMs of a data centre that may keep its tally. All VMs that know the
// same ones agree on the order.
func (n *Node) keepers(dataCentre string) []tally.Keeper {
	members := n.gossip.Table().Usable(bootClock(), dataCentre)
	if n.Ready() {
		members = append(members, n.self())
	}
	near := members[:0]
	for _, m := range members {
		if m.DataCentre == dataCentre {
			near = append(near, m)
		}
	}
	var out []tally.Keeper
	for _, m := range rendezvous.RankBy("load", near, func(m gossip.Member) string { return m.Name }) {
		host, port, err := net.SplitHostPort(m.Peer)
		if err != nil {
			continue // its own datagrams named it wrongly; it can't be asked
		}
		first, err := strconv.Atoi(port)
		if err != nil {
			continue
		}
		out = append(out, tally.Keeper{Name: m.Name, Address: net.JoinHostPort(host, strconv.Itoa(first+tallyOffset))})
	}
	return out
}

// otherKeepers are the first keepers of the other data centres.
func (n *Node) otherKeepers() []tally.Keeper {
	var out []tally.Keeper
	for dc := range n.s.Regions {
		if dc == n.s.DataCentre {
			continue
		}
		if ks := n.keepers(dc); len(ks) > 0 {
			out = append(out, ks[0])
		}
	}
	return out
}

// work is what this VM has under way.
func (n *Node) work() []tally.Entry {
	var out []tally.Entry
	for id, w := range n.table.Work() {
		out = append(out, tally.Entry{Endpoint: tally.Mark(id), Work: float32(w)})
	}
	return out
}

// applyLoad takes what the other VMs have under way.
func (n *Node) applyLoad(entries []tally.Entry) {
	byMark := make(map[uint32]float64, len(entries))
	for _, e := range entries {
		byMark[e.Endpoint] = float64(e.Work)
	}
	n.table.SetElsewhere(time.Now(), func(id string) float64 { return byMark[tally.Mark(id)] })
}
