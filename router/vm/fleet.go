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

// methodLedger carries an operation to the VM that gathers for its shard.
const methodLedger = "ledger.do"

// fleet is the other VMs as this one sees them.
type fleet struct {
	link    *peer.Link
	members *member.Service
	self    string
	// revision is the configuration revision in force here.
	revision func() int64
}

// newFleet opens the peer link and starts to listen to heartbeats.
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

// live are the other VMs that are thought to live, those that leave included.
func (f *fleet) live() []member.Member {
	return slices.DeleteFunc(f.members.Members(time.Now()), func(m member.Member) bool {
		return m.State != member.Alive && m.State != member.Suspect
	})
}

// Call calls another VM by its name.
func (f *fleet) Call(ctx context.Context, vm, method string, body []byte) ([]byte, error) {
	for _, m := range f.live() {
		if m.ID == vm {
			return f.link.Call(ctx, peer.Target{ID: vm, Address: m.Address}, method, body)
		}
	}
	return nil, fmt.Errorf("%w: %s is not known to live", peer.ErrNotSent, vm)
}

// Others implements exchange.Fleet.
func (f *fleet) Others() []exchange.VM {
	live := f.live()
	out := make([]exchange.VM, len(live))
	for i, m := range live {
		out[i] = exchange.VM{ID: m.ID, DataCentre: m.DataCentre, Revision: m.Revision}
	}
	return out
}

// VMs implements operator.Fleet: also those that are down, which operators must see.
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
	for _, m := range f.live() {
		out[m.ID] = m.Revision
	}
	return out
}

// ids names the live VMs, this one included, sorted.
func (f *fleet) ids() []string {
	out := []string{f.self}
	for _, m := range f.live() {
		out = append(out, m.ID)
	}
	slices.Sort(out)
	return out
}

// perDataCentre counts the VMs that the fleet has in each data centre.
func (f *fleet) perDataCentre() map[string]int {
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
	owner := rendezvous.Best(fmt.Sprintf("ledger/%d", shard), f.ids())
	return owner, owner == f.self
}

// Forward implements ledger.Forwarder.
func (f *fleet) Forward(ctx context.Context, vm string, body []byte) ([]byte, error) {
	return f.Call(ctx, vm, methodLedger, body)
}

// living implements ledger.IsAlive.
func (f *fleet) living(vm string, incarnation uint64) bool {
	for _, m := range f.live() {
		if m.ID == vm {
			return m.Incarnation == incarnation
		}
	}
	return false
}

// answers says which VMs callers should use.
type answers struct{ v *VM }

// Addresses implements entry.Addresses.
func (a answers) Addresses(account, dataCentre string) ([]entry.Address, time.Duration) {
	v := a.v
	self := v.fleet.members.Self()
	view := address.View{IsOut: outOf(v.cache.Snapshot())}
	if !self.Draining {
		view.Candidates = append(view.Candidates, address.Candidate{
			ID: self.ID, Address: self.CallerAddress, DataCentre: self.DataCentre, Load: self.Load,
		})
	}
	places := map[string]string{self.CallerAddress: self.DataCentre}
	for _, m := range v.fleet.live() {
		places[m.CallerAddress] = m.DataCentre
		view.Candidates = append(view.Candidates, address.Candidate{
			ID: m.ID, Address: m.CallerAddress, DataCentre: m.DataCentre, Load: m.Load,
			Leaving: m.Leaving, Suspected: m.State == member.Suspect,
		})
	}
	got := address.Choose(address.Query{Caller: account, DataCentre: dataCentre}, view)
	out := make([]entry.Address, len(got.Addresses))
	for i, at := range got.Addresses {
		out[i] = entry.Address{Address: at, DataCentre: places[at]}
	}
	return out, time.Duration(v.settings.KeepAddresses)
}

// outOf tells which data centres operators took out.
func outOf(s *config.Snapshot) func(string) bool {
	return func(dataCentre string) bool {
		dc := s.DataCentres[dataCentre]
		return dc != nil && dc.State == config.DataCentreOut
	}
}

// handlers registers what this VM answers its peers.
func (v *VM) handlers() {
	for method, h := range exchange.Handlers(v.cache) {
		v.fleet.link.Register(method, peer.Handler(h))
	}
	v.fleet.link.Register(methodLedger, func(ctx context.Context, _ string, body []byte) ([]byte, error) {
		return v.ledger.HandlePeer(ctx, body)
	})
	v.fleet.link.Register(methodBills, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		return nil, v.bills.Accept(body)
	})
	v.fleet.link.Register(methodControl, v.takeControl)
	v.fleet.link.Register(methodPoison, v.takePoison)
}

// telling is how often heartbeats and slots are brought up to this VM's state.
const telling = 200 * time.Millisecond

// tell keeps the fleet's view of this VM, and this VM's part of the slots, current.
func (v *VM) tell(ctx context.Context) {
	var last []string
	for wait(ctx, telling) {
		v.fleet.members.Update(v.cache.Revision(), v.slots.cold.Epoch(), v.dispatch.Load())
		if ids := v.fleet.ids(); !slices.Equal(ids, last) {
			last = ids
			v.slots.deal(ids)
			v.dispatch.Rebalance()
		}
	}
}
