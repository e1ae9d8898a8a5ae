// Package exchange transfers the configuration and the evidence about it between VMs, over any
// link that carries a method and a body.
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
	// MethodFetch takes a fetchRequest and returns an encoded configuration or delta, or
	// nothing.
	MethodFetch = "config.fetch"
	// MethodEvidence takes no body and returns an evidence.
	MethodEvidence = "config.evidence"
	// MethodChanged takes a changedNotice and returns nothing.
	MethodChanged = "config.changed"
)

// watchersPerDataCentre is the number of VMs in a data centre that hold a watch on the
// platform. With two, the loss of one delays no change. Each further one costs the platform an
// open watch and a third of a call a second.
const watchersPerDataCentre = 2

// VM is another VM of the fleet.
type VM struct {
	ID         string
	DataCentre string
	// Revision is the configuration revision in the VM's last heartbeat; 0 for none.
	Revision int64
}

// Fleet lists the other VMs that are believed to be alive.
type Fleet interface {
	// Others returns the other VMs of the fleet, without this one.
	Others() []VM
}

// Link calls a method of another VM.
type Link interface {
	// Call calls a method of the VM with the body and returns the answer's body.
	Call(ctx context.Context, vm, method string, body []byte) ([]byte, error)
}

// fetchRequest asks for the bytes that bring the caller from revision Have to the callee's
// revision.
type fetchRequest struct {
	Have int64 `cbor:"1,keyasint"`
}

// changedNotice carries the caller's revision.
type changedNotice struct {
	Revision int64 `cbor:"1,keyasint"`
}

// evidence is staleness.Evidence on the wire. It is an array, so that no element can be left
// out: an absent age would be decoded as zero, the most recent confirmation.
type evidence struct {
	_            struct{} `cbor:",toarray"`
	Revision     int64
	ConfirmedAge time.Duration
	StoreFailing bool
}

// Options configure an Exchange.
type Options struct {
	// Self and DataCentre are the names of this VM and of its data centre.
	Self       string
	DataCentre string
	Fleet      Fleet
	Link       Link
	// Rank orders ids by rendezvous hashing with a key. The order is the same on all VMs.
	Rank func(key string, ids []string) []string
}

// Exchange implements config.Peers and config.Contacts over a Link.
type Exchange struct{ Options }

var (
	_ config.Peers    = (*Exchange)(nil)
	_ config.Contacts = (*Exchange)(nil)
)

// New returns the Exchange of one VM.
func New(o Options) *Exchange { return &Exchange{o} }

// Watcher implements config.Peers. While VMs see different fleets, a data centre may have more
// or fewer watchers than two, which costs calls but loses no change.
func (e *Exchange) Watcher() bool {
	return e.rankedWatchers(e.DataCentre, e.Fleet.Others())[e.Self]
}

// rankedWatchers returns the ids of the watchers of a data centre.
func (e *Exchange) rankedWatchers(dataCentre string, others []VM) map[string]bool {
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
	chosen := make(map[string]bool, watchersPerDataCentre)
	for _, id := range ranked[:min(watchersPerDataCentre, len(ranked))] {
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

// Members implements config.Contacts. Watchers are marked only in this VM's own data centre,
// where they are asked first.
func (e *Exchange) Members() []config.Member {
	others := e.Fleet.Others()
	chosen := e.rankedWatchers(e.DataCentre, others)
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
	// With an age below Never, the confirmation would lie in the future.
	if answer.Revision < 0 || answer.ConfirmedAge < staleness.Never {
		return staleness.Evidence{}, fmt.Errorf("evidence of %s: %w", vm, ErrMalformed)
	}
	return staleness.Evidence{Revision: answer.Revision, ConfirmedAge: answer.ConfirmedAge, StoreFailing: answer.StoreFailing}, nil
}

// Notify implements config.Contacts.
func (e *Exchange) Notify(ctx context.Context, vm string, revision int64) error {
	body, err := cbor.Marshal(changedNotice{Revision: revision})
	if err != nil {
		return err
	}
	_, err = e.Link.Call(ctx, vm, MethodChanged, body)
	return err
}

// ErrMalformed means that a peer's message can't be decoded or has a value out of range.
var ErrMalformed = errors.New("malformed message")

// Cache is the part of config.Cache that the handlers use.
type Cache interface {
	// Encoded returns the bytes that bring a VM from revision have to the one in force, or nil.
	Encoded(have int64) []byte
	// Evidence returns this VM's evidence at the time now.
	Evidence(now time.Time) staleness.Evidence
	// Hint records that a VM has a revision.
	Hint(vm string, revision int64)
}

// Handler answers the calls of one method. from is the calling VM.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Handlers returns the handlers, by method, that answer other VMs from the cache. The caller
// registers them at its link.
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
			var c changedNotice
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
