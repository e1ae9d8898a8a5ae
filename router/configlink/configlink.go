// Package configlink joins the configuration's exchange to the fleet: membership
// says who is there and at which revision, the peer link carries the calls.
//
// The package has no locks.
package configlink

import (
	"context"
	"time"

	"goldcrestfork/config/exchange"
	"goldcrestfork/fleet/member"
	"goldcrestfork/fleet/peer"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/router/operator"
)

// Membership is the part of member.Service that is used.
type Membership interface {
	Members(now time.Time) []member.Member
}

// Link is the part of peer.Link that is used.
type Link interface {
	Call(ctx context.Context, t peer.Target, method string, body []byte) ([]byte, error)
	Register(method string, h peer.Handler)
}

// Fleet is the other VMs as the configuration and the operators' API see them.
type Fleet struct {
	self, dataCentre string
	members          Membership
	link             Link
}

var _ operator.Fleet = (*View)(nil)

// New returns the fleet of the VM self.
func New(self, dataCentre string, members Membership, link Link) *Fleet {
	return &Fleet{self: self, dataCentre: dataCentre, members: members, link: link}
}

// Exchange returns what a cache takes as Peers and Contacts.
func (f *Fleet) Exchange() *exchange.Exchange {
	return exchange.New(exchange.Options{Self: f.self, DataCentre: f.dataCentre, Fleet: f, Link: f, Rank: rendezvous.Rank})
}

// Serve answers the other VMs from a cache.
func (f *Fleet) Serve(cache exchange.Cache) {
	for method, handler := range exchange.Handlers(cache) {
		f.link.Register(method, peer.Handler(handler))
	}
}

// Others implements exchange.Fleet. A VM that is down or has left is not asked.
func (f *Fleet) Others() []exchange.VM {
	var others []exchange.VM
	for _, m := range f.members.Members(time.Now()) {
		if m.State != member.Down && m.State != member.Left {
			others = append(others, exchange.VM{ID: m.ID, DataCentre: m.DataCentre, Revision: m.Revision})
		}
	}
	return others
}

// Call implements exchange.Link.
func (f *Fleet) Call(ctx context.Context, vm, method string, body []byte) ([]byte, error) {
	for _, m := range f.members.Members(time.Now()) {
		if m.ID == vm {
			return f.link.Call(ctx, peer.Target{ID: m.ID, Address: m.Address}, method, body)
		}
	}
	return nil, peer.ErrNotSent
}

// Places counts the VMs of each data centre, this one included: those of the
// platform's list and those heard of, also while they are down, since a VM that
// looks down may be on the other side of a cut.
func (f *Fleet) Places() map[string]int {
	places := map[string]int{f.dataCentre: 1}
	for _, m := range f.members.Members(time.Now()) {
		if m.State != member.Left {
			places[m.DataCentre]++
		}
	}
	return places
}

// View is the fleet for the operators' API.
type View struct {
	*Fleet
	// Revision returns the one in force on this VM.
	Revision func() int64
}

// VMs implements operator.Fleet.
func (v *View) VMs() []string {
	names := []string{v.self}
	for _, m := range v.members.Members(time.Now()) {
		if m.State != member.Left {
			names = append(names, m.ID)
		}
	}
	return names
}

// Revisions implements operator.Fleet.
func (v *View) Revisions() map[string]int64 {
	revisions := map[string]int64{v.self: v.Revision()}
	for _, m := range v.members.Members(time.Now()) {
		if m.State == member.Alive || m.State == member.Suspect {
			revisions[m.ID] = m.Revision
		}
	}
	return revisions
}
