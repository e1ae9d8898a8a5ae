package config

import (
	"context"
	"errors"

	"github.com/google/uuid"
)

// ErrNothingToRestore: the platform's configuration is not older than the one in force here.
var ErrNothingToRestore = errors.New("the platform's configuration is not older than the one in force here")

// ErrAhead: another VM has a later configuration, which must be the one restored.
var ErrAhead = errors.New("another VM has a later configuration in force")

// Restore writes the configuration in force on this VM back to a platform that
// holds an older one, as after a restored backup or the loss of the object. It
// takes the next revision, so that all VMs move on to it. An operator asks for
// it: no VM can know by itself whether the backup was meant. The id makes a repeat
// return the first result; empty for a new one.
//
// Errors: ErrNothingToRestore and ErrAhead besides those of Apply.
func (e *Editor) Restore(ctx context.Context, id string) (int64, *Snapshot, error) {
	if e.held == nil {
		return 0, nil, ErrNothingToRestore
	}
	if id == "" {
		id = uuid.NewString()
	}
	return e.settle(ctx, attempt{editor: e, id: id, since: -1, restore: true})
}

// restored returns the root to write in place of an older one.
func (a *attempt) restored(old *root) (*root, error) {
	held, ahead := a.editor.held()
	switch {
	case ahead:
		return nil, a.final(ErrAhead)
	case old.Snapshot.Revision >= held.Snapshot.Revision:
		return nil, a.final(ErrNothingToRestore)
	}
	return &root{Format: held.Format, Snapshot: held.Snapshot.shallow(), History: append([]accepted(nil), held.History...)}, nil
}
