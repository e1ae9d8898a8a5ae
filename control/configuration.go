package control

import (
	"context"
	"errors"

	"goldcrestfork/config"
)

// Configuration gives the control loops access to the operators' configuration.
type Configuration interface {
	// Snapshot returns the configuration in force on this VM; callers must not modify it.
	Snapshot() *config.Snapshot
	// Update changes one object if it is still at ifRevision, and returns the new
	// revision. mutate receives a copy of the object, of the kind's pointer type.
	// The error, to be tested with errors.Is, is ErrConflict if the object is at
	// another revision, durable.ErrUnavailable if the change had no effect,
	// durable.ErrUnknown if the reply was lost, so that the change may take effect
	// now or a little later, or the error that mutate returned.
	Update(ctx context.Context, kind config.Kind, name string, mutate func(obj config.Object) error, ifRevision int64) (int64, error)
}

// ErrConflict means that the object is at another revision, since another VM or an
// operator changed it first.
var ErrConflict = errors.New("object is at another revision")
