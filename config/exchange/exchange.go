// Package exchange is how VMs give each other the configuration and their
// evidence about it, over whatever link carries a method and a body.
//
// The package has no locks.
package exchange

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/config"
	"goldcrestfork/config/staleness"
)

// The methods that a VM serves.
const (
	// MethodFetch takes a fetchRequest and returns an encoded configuration or delta, or nothing.
	MethodFetch = "config.fetch"
	// MethodEvidence takes nothing and returns an evidence.
	MethodEvidence = "config.evidence"
	// MethodChanged takes a changed and returns nothing.
	MethodChanged = "config.changed"
)

// watchers is how many VMs of a data centre hold the platform's watch: two, so that
// the loss of one delays no change; each further one costs the platform a waiting
// watch and a third of a call a second.
const watchers = 2

// VM is one row of the fleet as this VM sees it.
type VM struct {
	ID         string
	DataCentre string
	// Revision is the one heard in its last heartbeat; 0 for none.
	Revision int64
}

// Fleet is the other VMs that are thought to live.
type Fleet interface {
	Others() []VM
}

// Link calls another VM.
type Link interface {
	Call(ctx context.Context, vm, method string, body []byte) ([]byte, error)
}

// fetchRequest asks for what brings the caller from revision Have to the callee's.
type fetchRequest struct {
	Have int64 `cbor:"1,keyasint"`
}

// changed says which revision the caller has.
type changed struct {
	Revision int64 `cbor:"1,keyasint"`
}

// evidence is staleness.Evidence on the wire. An array, since all its elements must
// be there: an age that is left out would be nought and read as the freshest proof.
type evidence struct {
	_            struct{} `cbor:",toarray"`
	Revision     int64
	ConfirmedAge time.Duration
	StoreFailing bool
}

// Options of an exchange.
type Options struct {
	// Self and DataCentre name this VM and where it is.
	Self       string
	DataCentre string
	Fleet      Fleet
	Link       Link
	// Rank orders ids by rendezvous with a key, the same on all VMs.
	Rank func(key string, ids []string) []string
}

// Exchange is the other VMs as a cache sees them.
type Exchange struct{ Options }

var (
	_ config.Peers    = (*Exchange)(nil)
	_ config.Contacts = (*Exchange)(nil)
)

// New returns the exchange of one VM.
func New(o Options) *Exchange { return &Exchange{o} }

// Watcher implements config.Peers. VMs that see different fleets may for a while
// make one or three watchers of a data centre, which costs calls and loses nothing.
func (e *Exchange) Watcher() bool {
	return e.watchersOf(e.DataCentre, e.Fleet.Others())[e.Self]
}

// watchersOf names the watchers of a data centre.
func (e *Exchange) watchersOf(dataCentre string, others []VM) map[string]bool {
	var ids []string
	if dataCentre == e.DataCentre {
		ids = append(ids, e.Self)
	}
	for _, vm := range others {
		if vm.DataCentre == dataCentre {
			ids = append(ids, vm.ID)
		}
	}
	ranked := e.Rank("configuration-watch/"+dataCentre, ids)
	chosen := make(map[string]bool, watchers)
	for _, id := range ranked[:min(watchers, len(ranked))] {
		chosen[id] = true
	}
	return chosen
}

// Revisions implements config.Peers.
func (e *Exchange) Revisions() map[string]int64 {
	revisions := make(map[string]int64)
	for _, vm := range e.Fleet.Others() {
		revisions[vm.ID] = vm.Revision
	}
	return revisions
}

// Members implements config.Contacts. Watchers are marked in this VM's own data
// centre only, where they are asked first.
func (e *Exchange) Members() []config.Member {
	others := e.Fleet.Others()
	chosen := e.watchersOf(e.DataCentre, others)
	members := make([]config.Member, len(others))
	for i, vm := range others {
		members[i] = config.Member{VM: vm.ID, DataCentre: vm.DataCentre, Watcher: chosen[vm.ID]}
	}
	return members
}

// Fetch implements config.Peers.
func (e *Exchange) Fetch(ctx context.Context, vm string, have int64) ([]byte, error) {
	body, err := cbor.Marshal(fetchRequest{Have: have})
	if err != nil {
		return nil, err
	}
	return e.Link.Call(ctx, vm, MethodFetch, body)
}

// Ask implements config.Contacts.
func (e *Exchange) Ask(ctx context.Context, vm string) (staleness.Evidence, error) {
	body, err := e.Link.Call(ctx, vm, MethodEvidence, nil)
	if err != nil {
		return staleness.Evidence{}, err
	}
	var answer evidence
	if err := cbor.Unmarshal(body, &answer); err != nil {
		return staleness.Evidence{}, fmt.Errorf("evidence of %s: %w", vm, err)
	}
	// An age below "never" would date a proof into the future.
	if answer.Revision < 0 || answer.ConfirmedAge < staleness.Never {
		return staleness.Evidence{}, fmt.Errorf("evidence of %s: %w", vm, ErrMalformed)
	}
	return staleness.Evidence{Revision: answer.Revision, ConfirmedAge: answer.ConfirmedAge, StoreFailing: answer.StoreFailing}, nil
}

// Tell implements config.Contacts.
func (e *Exchange) Tell(ctx context.Context, vm string, revision int64) error {
	body, err := cbor.Marshal(changed{Revision: revision})
	if err != nil {
		return err
	}
	_, err = e.Link.Call(ctx, vm, MethodChanged, body)
	return err
}

// ErrMalformed: a peer sent what no VM sends.
var ErrMalformed = errors.New("malformed message")

// Cache is the part of config.Cache that answers others.
type Cache interface {
	Encoded(have int64) []byte
	Evidence(now time.Time) staleness.Evidence
	Hint(vm string, revision int64)
}

// Handler answers one method.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Handlers answers the other VMs from a cache; register them at the link by method.
func Handlers(cache Cache) map[string]Handler {
	return map[string]Handler{
		MethodFetch: func(_ context.Context, _ string, body []byte) ([]byte, error) {
			var r fetchRequest
			if err := cbor.Unmarshal(body, &r); err != nil || r.Have < 0 {
				return nil, ErrMalformed
			}
			return cache.Encoded(r.Have), nil
		},
		MethodChanged: func(_ context.Context, from string, body []byte) ([]byte, error) {
			var c changed
			if err := cbor.Unmarshal(body, &c); err != nil {
				return nil, ErrMalformed
			}
			cache.Hint(from, c.Revision)
			return nil, nil
		},
		MethodEvidence: func(context.Context, string, []byte) ([]byte, error) {
			e := cache.Evidence(time.Now())
			return cbor.Marshal(evidence{Revision: e.Revision, ConfirmedAge: e.ConfirmedAge, StoreFailing: e.StoreFailing})
		},
	}
}
