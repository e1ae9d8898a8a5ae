package control

import (
	"context"
	"errors"

	"goldcrestfork/config"
)

// Configuration is the operators' configuration as the control loops use it.
type Configuration interface {
	// Snapshot returns the configuration in force on this VM; callers don't change it.
	Snapshot() *config.Snapshot
	// Update changes one object if it is still at ifRevision, and returns the new
	// revision. mutate gets a copy, of the kind's pointer type. Errors: ErrConflict
	// for another revision; durable.ErrUnavailable for no effect;
	// durable.ErrUnknown where the reply was lost, so that the change may be in
	// force now or a little later; what mutate returns. Test with errors.Is.
	Update(ctx context.Context, kind config.Kind, name string, mutate func(obj config.Object) error, ifRevision int64) (int64, error)
}

// ErrConflict says that the object is at another revision: somebody else changed it first.
var ErrConflict = errors.New("object is at another revision")
