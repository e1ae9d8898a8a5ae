package vm

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"goldcrestfork/config"
	"goldcrestfork/config/exchange"
	"goldcrestfork/fleet/address"
	"goldcrestfork/fleet/member"
	"goldcrestfork/fleet/peer"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/router/entry"
)

// methodLedger sends a ledger operation to the VM that batches the writes of its shard.
const methodLedger = "ledger.do"

// fleet is this VM's view of the other VMs.
type fleet struct {
	link    *peer.Link
	members *member.Service
	self    string
	// revision returns the configuration revision in force on this VM.
	revision func() int64
}

// newFleet opens the peer link and starts to receive heartbeats.
func (v *VM) newFleet(callers string) (*fleet, error) {
	s := v.settings
	credentials, err := peer.LoadCredentials(s.Peers.CA, s.Peers.Certificate, s.Peers.Key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if credentials.ID() != s.VM {
		return nil, trace.BadParameter("the peer certificate names %q, the settings name %q", credentials.ID(), s.VM)
	}
	link, err := peer.Listen(peer.Options{Listen: s.Peers.Address, Credentials: credentials, Registerer: v.registry})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	self := member.Self{
		ID: s.VM, Address: link.Addr(), CallerAddress: callers, DataCentre: s.DataCentre, Incarnation: v.incarnation,
	}
	for _, seed := range s.Peers.Seeds {
		self.Seeds = append(self.Seeds, peer.Target{Address: seed})
	}
	members := member.NewService(member.Options{Self: self, Link: link, Store: v.store, Registerer: v.registry, Log: v.log})
	return &fleet{link: link, members: members, self: s.VM}, nil
}

// liveOthers returns the other VMs in state alive or suspect, including those that are leaving.
func (f *fleet) liveOthers() []member.Member {
	return slices.DeleteFunc(f.members.Members(time.Now()), func(m member.Member) bool {
		return m.State != member.Alive && m.State != member.Suspect
	})
}

// Call calls a method of another VM by the VM's name. It returns peer.ErrNotSent for an
// unknown VM.
func (f *fleet) Call(ctx context.Context, vm, method string, body []byte) ([]byte, error) {
	for _, m := range f.liveOthers() {
		if m.ID == vm {
			return f.link.Call(ctx, peer.Target{ID: vm, Address: m.Address}, method, body)
		}
	}
	return nil, fmt.Errorf("%w: %s is not known to live", peer.ErrNotSent, vm)
}

// Others implements exchange.Fleet.
func (f *fleet) Others() []exchange.VM {
	live := f.liveOthers()
	out := make([]exchange.VM, len(live))
	for i, m := range live {
		out[i] = exchange.VM{ID: m.ID, DataCentre: m.DataCentre, Revision: m.Revision}
	}
	return out
}

// VMs implements operator.Fleet. The list includes VMs that are down, since operators must
// see them.
func (f *fleet) VMs() []string {
	out := []string{f.self}
	for _, m := range f.members.Members(time.Now()) {
		if m.State != member.Left {
			out = append(out, m.ID)
		}
	}
	return out
}

// Revisions implements operator.Fleet.
func (f *fleet) Revisions() map[string]int64 {
	out := map[string]int64{f.self: f.revision()}
	for _, m := range f.liveOthers() {
		out[m.ID] = m.Revision
	}
	return out
}

// liveIDs returns the sorted names of the live VMs, this one included.
func (f *fleet) liveIDs() []string {
	out := []string{f.self}
	for _, m := range f.liveOthers() {
		out = append(out, m.ID)
	}
	slices.Sort(out)
	return out
}

// countPerDataCentre returns the number of VMs in each data centre, including those that
// are down.
func (f *fleet) countPerDataCentre() map[string]int {
	out := map[string]int{f.members.Self().DataCentre: 1}
	for _, m := range f.members.Members(time.Now()) {
		if m.State != member.Left {
			out[m.DataCentre]++
		}
	}
	return out
}

// Owner implements ledger.Forwarder.
func (f *fleet) Owner(shard int) (string, bool) {
	owner := rendezvous.Best(fmt.Sprintf("ledger/%d", shard), f.liveIDs())
	return owner, owner == f.self
}

// Forward implements ledger.Forwarder.
func (f *fleet) Forward(ctx context.Context, vm string, body []byte) ([]byte, error) {
	return f.Call(ctx, vm, methodLedger, body)
}

// isLive implements ledger.IsAlive: it reports whether the VM still runs as the given
// incarnation.
func (f *fleet) isLive(vm string, incarnation uint64) bool {
	for _, m := range f.liveOthers() {
		if m.ID == vm {
			return m.Incarnation == incarnation
		}
	}
	return false
}

// addresses chooses the VMs that callers should use.
type addresses struct{ v *VM }

// Addresses implements entry.Addresses.
func (a addresses) Addresses(account, dataCentre string) ([]entry.Address, time.Duration) {
	v := a.v
	self := v.fleet.members.Self()
	view := address.View{IsOut: dataCentreOut(v.cache.Snapshot())}
	if !self.Draining {
		view.Candidates = append(view.Candidates, address.Candidate{
			ID: self.ID, Address: self.CallerAddress, DataCentre: self.DataCentre, Load: self.Load,
		})
	}
	dataCentres := map[string]string{self.CallerAddress: self.DataCentre}
	for _, m := range v.fleet.liveOthers() {
		dataCentres[m.CallerAddress] = m.DataCentre
		view.Candidates = append(view.Candidates, address.Candidate{
			ID: m.ID, Address: m.CallerAddress, DataCentre: m.DataCentre, Load: m.Load,
			Leaving: m.Leaving, Suspected: m.State == member.Suspect,
		})
	}
	chosen := address.Choose(address.Query{Caller: account, DataCentre: dataCentre}, view)
	out := make([]entry.Address, len(chosen.Addresses))
	for i, at := range chosen.Addresses {
		out[i] = entry.Address{Address: at, DataCentre: dataCentres[at]}
	}
	return out, time.Duration(v.settings.KeepAddresses)
}

// dataCentreOut returns a predicate for the data centres that operators took out of service.
func dataCentreOut(s *config.Snapshot) func(string) bool {
	return func(dataCentre string) bool {
		dc := s.DataCentres[dataCentre]
		return dc != nil && dc.State == config.DataCentreOut
	}
}

// registerHandlers registers the handlers of the methods that other VMs call.
func (v *VM) registerHandlers() {
	for method, h := range exchange.Handlers(v.cache) {
		v.fleet.link.Register(method, peer.Handler(h))
	}
	v.fleet.link.Register(methodLedger, func(ctx context.Context, _ string, body []byte) ([]byte, error) {
		return v.ledger.HandlePeer(ctx, body)
	})
	v.fleet.link.Register(methodBills, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		return nil, v.bills.Accept(body)
	})
	v.fleet.link.Register(methodControl, v.handleControl)
	v.fleet.link.Register(methodPoison, v.handlePoison)
}

// fleetUpdateInterval is the interval at which heartbeats and slots are updated with
// this VM's state.
const fleetUpdateInterval = 200 * time.Millisecond

// updateFleet keeps the state in this VM's heartbeats current, and reassigns the slots
// when the set of live VMs changes.
func (v *VM) updateFleet(ctx context.Context) {
	var last []string
	for wait(ctx, fleetUpdateInterval) {
		v.fleet.members.Update(v.cache.Revision(), v.slots.cold.Epoch(), v.dispatch.Load())
		if ids := v.fleet.liveIDs(); !slices.Equal(ids, last) {
			last = ids
			v.slots.setLive(ids)
			v.dispatch.Rebalance()
		}
	}
}
