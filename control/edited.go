package control

import (
	"context"
	"errors"
	"fmt"

	"goldcrestfork/config"
	"goldcrestfork/durable"
)

// CachedConfiguration implements Configuration on a VM: it reads the VM's configuration cache and
// writes through the VM's editor.
type CachedConfiguration struct {
	cache  *config.Cache
	editor *config.Editor
}

var _ Configuration = (*CachedConfiguration)(nil)

// NewCachedConfiguration returns a Configuration that uses a cache and the editor that updates it.
func NewCachedConfiguration(cache *config.Cache, editor *config.Editor) *CachedConfiguration {
	return &CachedConfiguration{cache: cache, editor: editor}
}

// Snapshot implements Configuration.
func (e *CachedConfiguration) Snapshot() *config.Snapshot { return e.cache.Snapshot() }

// Update implements Configuration. It also returns ErrConflict if the cache is not at
// ifRevision, since mutate would receive an object that the caller did not evaluate.
func (e *CachedConfiguration) Update(ctx context.Context, kind config.Kind, name string, mutate func(obj config.Object) error, ifRevision int64) (int64, error) {
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
	return revision, translateError(err)
}

// translateError wraps an editor's error in the error that Configuration documents.
func translateError(err error) error {
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
