package orders

import (
	"context"
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"goldcrestfork/config"
	"goldcrestfork/durable"
)

// Kind is the kind of placement records in the platform's store. A record has the name
// of its endpoint.
const Kind = "placement"

// RoleLabel is the endpoint label that holds the engine's role; without it the role is
// empty.
const RoleLabel = "role"

// Placement holds the model versions and the role that an endpoint has or should have.
type Placement struct {
	// Versions lists the loaded model versions in ascending order.
	Versions []string `cbor:"1,keyasint" json:"versions"`
	// Role is the engine's role.
	Role string `cbor:"2,keyasint" json:"role,omitempty"`
}

// Equal reports whether two placements are the same.
func (p Placement) Equal(o Placement) bool {
	return p.Role == o.Role && slices.Equal(p.Versions, o.Versions)
}

// Wanted returns the placement that a configuration specifies for an endpoint. It
// includes the versions that the endpoint may serve and that are not withdrawn.
func Wanted(s *config.Snapshot, e *config.Endpoint) Placement {
	p := Placement{Role: e.Labels[RoleLabel], Versions: []string{}}
	for _, name := range e.Versions {
		if v, ok := s.Versions[name]; ok && v.State != config.VersionWithdrawn {
			p.Versions = append(p.Versions, name)
		}
	}
	slices.Sort(p.Versions)
	return p
}

// Order lists the versions and the role that an endpoint is to have.
type Order struct {
	Placement
	// Fence is the fencing number: the version of the endpoint's record.
	Fence int64
}

// Report holds an endpoint's state as the endpoint reports it.
type Report struct {
	Placement
	// Incarnation changes with each restart of the endpoint.
	Incarnation int64
}

// Endpoints sends orders to the endpoints and reads their reports.
type Endpoints interface {
	// Order sends an order. A nil error means that the order took effect, ErrFenced
	// that it had no effect. After any other error the order may still take effect
	// until Settings.MaxOrderDelay after ctx ended.
	Order(ctx context.Context, e *config.Endpoint, o Order) error
	// Report returns the endpoint's state.
	Report(ctx context.Context, e *config.Endpoint) (Report, error)
}

// ErrFenced means that the endpoint has already applied an order with a higher fencing
// number.
var ErrFenced = errors.New("order refused for its old fencing number")

// record is a placement record's value.
type record struct {
	Placement
	// Revision is the configuration revision that the placement follows from.
	Revision int64 `cbor:"3,keyasint"`
}

// storedRecord is a record with its version in the store, which is the fencing number.
type storedRecord struct {
	record
	version int64
}

func decodeRecord(o durable.Object) (storedRecord, error) {
	r := storedRecord{version: o.Version}
	if err := cbor.Unmarshal(o.Value, &r.record); err != nil {
		return r, trace.Wrap(err, "placement record %s", o.Key)
	}
	return r, nil
}

// readRecord returns an endpoint's record, with version zero if there is none.
func readRecord(ctx context.Context, s durable.Store, name string) (storedRecord, error) {
	o, err := s.Get(ctx, durable.Key{Kind: Kind, Name: name})
	if errors.Is(err, durable.ErrNotFound) {
		return storedRecord{}, nil
	}
	if err != nil {
		return storedRecord{}, err
	}
	return decodeRecord(o)
}

// errOutdated means that the record follows from a later configuration than this VM has.
var errOutdated = errors.New("placement recorded from a later configuration")

// writeRecord records a placement that follows from revision, unless the record already
// holds it, and returns the record that the order is based on. After a conflict or a
// lost reply it returns an error and no order is sent; the next attempt reads the
// record again.
//
// It refuses to replace a record of the same or a later revision. Otherwise two holders,
// one with an old and one with a new configuration, would overwrite each other's
// records in turn, each with a higher fencing number.
func writeRecord(ctx context.Context, s durable.Store, name string, current storedRecord, p Placement, revision int64) (storedRecord, error) {
	if current.version != 0 && current.Equal(p) {
		return current, nil
	}
	if current.version != 0 && current.Revision >= revision {
		return current, errOutdated
	}
	next := record{Placement: p, Revision: revision}
	value, err := cbor.Marshal(next)
	if err != nil {
		return current, trace.Wrap(err)
	}
	o, err := s.Put(ctx, durable.Key{Kind: Kind, Name: name}, value, current.version)
	if err != nil {
		return current, err
	}
	return storedRecord{next, o.Version}, nil
}
