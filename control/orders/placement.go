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

// Kind is the platform's kind of placement records; a record has its endpoint's name.
const Kind = "placement"

// RoleLabel is the endpoint label that names the engine's role; without it the role is empty.
const RoleLabel = "role"

// Placement is what an endpoint should have, or has.
type Placement struct {
	// Versions are the model versions loaded, ascending.
	Versions []string `cbor:"1,keyasint" json:"versions"`
	// Role is the engine's role.
	Role string `cbor:"2,keyasint" json:"role,omitempty"`
}

// Equal says whether two placements are the same.
func (p Placement) Equal(o Placement) bool {
	return p.Role == o.Role && slices.Equal(p.Versions, o.Versions)
}

// Wanted is the placement that a configuration gives an endpoint: of the
// versions it may serve, those that are not withdrawn.
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

// Order is sent to an endpoint.
type Order struct {
	Placement
	// Fence is the fencing number: the version of the endpoint's record.
	Fence int64
}

// Report is what an endpoint says of itself.
type Report struct {
	Placement
	// Incarnation changes with each restart.
	Incarnation int64
}

// Endpoints reaches the endpoints.
type Endpoints interface {
	// Order sends an order. A nil error means that it took effect. ErrFenced means
	// that it had none. After any other error it may take effect until
	// Settings.Flight after ctx ended.
	Order(ctx context.Context, e *config.Endpoint, o Order) error
	// Report asks for the endpoint's state.
	Report(ctx context.Context, e *config.Endpoint) (Report, error)
}

// ErrFenced: the endpoint has obeyed an order with a higher fencing number.
var ErrFenced = errors.New("order refused for its old fencing number")

// record is a placement record's value.
type record struct {
	Placement
	// Revision is the configuration revision it follows from.
	Revision int64 `cbor:"3,keyasint"`
}

// recorded is a record and its version, which is the fencing number.
type recorded struct {
	record
	version int64
}

func decode(o durable.Object) (recorded, error) {
	r := recorded{version: o.Version}
	if err := cbor.Unmarshal(o.Value, &r.record); err != nil {
		return r, trace.Wrap(err, "placement record %s", o.Key)
	}
	return r, nil
}

// read returns an endpoint's record; version zero where there is none.
func read(ctx context.Context, s durable.Store, name string) (recorded, error) {
	o, err := s.Get(ctx, durable.Key{Kind: Kind, Name: name})
	if errors.Is(err, durable.ErrNotFound) {
		return recorded{}, nil
	}
	if err != nil {
		return recorded{}, err
	}
	return decode(o)
}

// errOutdated: the record follows from a later configuration than this VM has.
var errOutdated = errors.New("placement recorded from a later configuration")

// put records a placement that follows from revision, unless the record already
// says so, and returns the record to send orders by. After a conflict or a lost
// reply nothing is sent: the next try reads what is there.
//
// Without the rule on revisions a holder with an old configuration and one with
// a new one would overwrite each other's records in turn, each with a higher
// fencing number than the last.
func put(ctx context.Context, s durable.Store, name string, now recorded, p Placement, revision int64) (recorded, error) {
	if now.version != 0 && now.Equal(p) {
		return now, nil
	}
	if now.version != 0 && now.Revision >= revision {
		return now, errOutdated
	}
	next := record{Placement: p, Revision: revision}
	value, err := cbor.Marshal(next)
	if err != nil {
		return now, trace.Wrap(err)
	}
	o, err := s.Put(ctx, durable.Key{Kind: Kind, Name: name}, value, now.version)
	if err != nil {
		return now, err
	}
	return recorded{next, o.Version}, nil
}
