package node

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"time"

	"goldcrestfork/fleet/gossip"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/fleet/tally"
	"goldcrestfork/policy/placement"
)

// tallyOffset is the tally's port, as an offset from the port of the datagrams between VMs;
// ports are the same on all VMs.
const tallyOffset = 1

// newTally opens this VM's part of the fleet's load reports.
func (n *Node) newTally() (*tally.Service, error) {
	return tally.Listen(tally.Config{
		Self: n.s.VM, Address: net.JoinHostPort(n.s.IP, strconv.Itoa(n.s.PortFirst+tallyOffset)), Clock: bootClock,
		Keepers: func() []tally.Keeper {
			return n.localKeepers.get(bootClock(), func() []tally.Keeper { return n.keepers(n.s.DataCentre) })
		},
		RemoteKeepers: func() []tally.Keeper { return n.remoteKeepers.get(bootClock(), n.otherKeepers) }, State: n.load, Apply: n.applyLoad,
		Outcomes: n.outcomes, ApplyOutcomes: n.applyOutcomes, Sums: n.collectSums, ApplySums: n.applySums, Log: n.log, Registerer: n.registry, Traffic: n.traffic,
	})
}

// keepers returns the VMs of a data centre that may keep its tally, in the order of their rank.
// VMs that know the same members compute the same order.
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
	for _, m := range rankKeepers(near, n.table.AnyManaged()) {
		host, port, err := net.SplitHostPort(m.Peer)
		if err != nil {
			continue // the member announced a malformed address and can't be asked
		}
		first, err := strconv.Atoi(port)
		if err != nil {
			continue
		}
		out = append(out, tally.Keeper{Name: m.Name, Address: net.JoinHostPort(host, strconv.Itoa(first+tallyOffset))})
	}
	return out
}

// rankKeepers returns the members in the order in which they keep the tally; byLink puts those with the
// fastest links first. A keeper answers a query of its data centre's VMs for each attempt, which in an
// overload of 140 endpoints is more than a link of 10 Mbit/s carries.
func rankKeepers(members []gossip.Member, byLink bool) []gossip.Member {
	ranked := rendezvous.RankBy("load", members, func(m gossip.Member) string { return m.Name })
	if byLink {
		slices.SortStableFunc(ranked, func(a, b gossip.Member) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
	}
	return ranked
}

// otherKeepers returns the first keeper of each other data centre.
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

// load returns the state of the endpoints that this VM reports to the others.
func (n *Node) load() tally.State {
	var out tally.State
	for id, s := range n.table.LocalLoad(time.Now()) {
		if s.Work > 0 {
			out.Work = append(out.Work, tally.Entry{Endpoint: tally.EndpointHash(id), Work: float32(s.Work)})
		}
		if s.Avoided {
			out.Avoided = append(out.Avoided, tally.EndpointHash(id))
		}
	}
	return out
}

// applyLoad applies the load that the other VMs report.
func (n *Node) applyLoad(s tally.State) {
	byHash := make(map[uint32]placement.EndpointLoad, len(s.Work)+len(s.Avoided))
	for _, e := range s.Work {
		byHash[e.Endpoint] = placement.EndpointLoad{Work: float64(e.Work)}
	}
	for _, m := range s.Avoided {
		share := byHash[m]
		share.Avoided = true
		byHash[m] = share
	}
	n.table.SetPeerLoad(time.Now(), byHash)
}

// outcomes returns the results of this VM's attempts at the endpoints.
func (n *Node) outcomes() []tally.Outcomes {
	records := n.table.Records(time.Now())
	out := make([]tally.Outcomes, 0, len(records))
	for id, r := range records {
		out = append(out, tally.NewOutcomes(tally.EndpointHash(id), r.Failed, r.Runs, r.OtherLife))
	}
	return out
}

// applyOutcomes applies the results of the attempts of all VMs.
func (n *Node) applyOutcomes(list []tally.Outcomes) {
	records := make(map[uint32]placement.Record, len(list))
	for _, o := range list {
		failed, runs := o.Weights()
		records[o.Endpoint] = placement.Record{Failed: failed, Runs: runs, OtherLife: o.OtherLife}
	}
	for _, j := range n.table.SetRecords(time.Now(), records) {
		n.log.Info().Str("endpoint", j.ID).Float64("failing", j.Failing).Bool("other_life", j.OtherLife).Msg("endpoint judged by the fleet")
	}
}
