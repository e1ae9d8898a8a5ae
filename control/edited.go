package control

import (
	"context"
	"errors"
	"fmt"

	"goldcrestfork/config"
	"goldcrestfork/durable"
)

// Edited is the Configuration of a VM: it reads its cache and writes by its editor.
type Edited struct {
	cache  *config.Cache
	editor *config.Editor
}

var _ Configuration = (*Edited)(nil)

// NewEdited returns the Configuration over a cache and the editor that fills it.
func NewEdited(cache *config.Cache, editor *config.Editor) *Edited {
	return &Edited{cache: cache, editor: editor}
}

// Snapshot implements Configuration.
func (e *Edited) Snapshot() *config.Snapshot { return e.cache.Snapshot() }

// Update implements Configuration. A cache that isn't at ifRevision is a
// conflict too: mutate would be given an object that the caller never judged.
func (e *Edited) Update(ctx context.Context, kind config.Kind, name string, mutate func(obj config.Object) error, ifRevision int64) (int64, error) {
	current := e.cache.Snapshot().Get(kind, name)
	if current == nil || config.MetaOf(current).Revision != ifRevision {
		return 0, fmt.Errorf("%w: %s %s is not at %d", ErrConflict, kind, name, ifRevision)
	}
	next := config.Clone(current)
	if err := mutate(next); err != nil {
		return 0, err
	}
	change := config.Change{Op: config.OpPut, Object: next, IfRevision: ifRevision}
	revision, _, err := e.editor.Apply(ctx, []config.Change{change})
	return revision, translate(err)
}

// translate turns the editor's errors into Configuration's, and keeps the cause.
func translate(err error) error {
	var conflict *config.ConflictError
	var unknown *config.UnknownError
	switch {
	case errors.As(err, &conflict):
		return fmt.Errorf("%w: %w", ErrConflict, err)
	case errors.As(err, &unknown):
		return fmt.Errorf("%w: %w", durable.ErrUnknown, err)
	case errors.Is(err, config.ErrNotAccepted):
		return fmt.Errorf("%w: %w", durable.ErrUnavailable, err)
	}
	return err
}
