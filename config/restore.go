package config

import (
	"context"
	"errors"

	"github.com/google/uuid"
)

// ErrNothingToRestore means that the platform's configuration is not older than the one in
// force on this VM.
var ErrNothingToRestore = errors.New("the platform's configuration is not older than the one in force here")

// ErrAhead means that another VM has a later configuration, which is the one to restore.
var ErrAhead = errors.New("another VM has a later configuration in force")

// Restore writes the configuration in force on this VM back to a platform that holds an older
// one, for example after a backup was restored or the object was lost. It uses the next
// revision, so that all VMs take it. Only an operator calls it, since a VM can't know whether
// the backup was restored on purpose. A repeat with the same id returns the first result; an
// empty id stands for a new one.
//
// The errors are ErrNothingToRestore, ErrAhead and those of Apply.
func (e *Editor) Restore(ctx context.Context, id string) (int64, *Snapshot, error) {
	if e.rootInForce == nil {
		return 0, nil, ErrNothingToRestore
	}
	if id == "" {
		id = uuid.NewString()
	}
	return e.settle(ctx, attempt{editor: e, id: id, since: -1, restore: true})
}

// restoredRoot returns the root that replaces an older one.
func (a *attempt) restoredRoot(old *root) (*root, error) {
	held, ahead := a.editor.rootInForce()
	switch {
	case ahead:
		return nil, a.finalError(ErrAhead)
	case old.Snapshot.Revision >= held.Snapshot.Revision:
		return nil, a.finalError(ErrNothingToRestore)
	}
	return &root{Format: held.Format, Snapshot: held.Snapshot.shallowCopy(), History: append([]acceptedChange(nil), held.History...)}, nil
}
