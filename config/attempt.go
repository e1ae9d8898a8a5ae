package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"goldcrestfork/durable"
)

// attempt is the state of one change across attempts.
type attempt struct {
	editor  *Editor
	id      string
	since   int64
	changes []Change
	// restore says that the configuration in force here is written back, without changes.
	restore bool

	// pending is the write whose reply was lost; nil if there is none.
	pending *pendingWrite
	// current is the root object that the next attempt builds on. loaded says that it has been
	// read.
	current durable.Object
	loaded  bool
	// floor is the highest revision that this VM had before current was read.
	floor int64

	root     *root
	revision int64
}

// pendingWrite is a write that may still take effect while the root is at version base.
type pendingWrite struct {
	base    int64
	encoded []byte
	root    *root
}

// try makes one attempt. It returns true once the change is accepted; an error is final.
func (a *attempt) try(ctx context.Context) (bool, error) {
	if !a.loaded {
		if err := a.load(ctx); err != nil {
			return a.handleReadError(err)
		}
	}
	// A delayed write can take effect only while the root is at the write's base version. At
	// that version it is safe to send the same write again: the second of the two conflicts and
	// the read-back finds the change's id in the root. A newly built change could take effect
	// twice.
	if a.pending != nil && a.pending.base == a.current.Version {
		return a.write(ctx, a.pending.root, a.pending.encoded)
	}
	next, err := a.build()
	if err != nil || next == nil {
		return err == nil, err
	}
	encoded, err := next.encode()
	if err != nil {
		return false, err
	}
	return a.write(ctx, next, encoded)
}

// load reads the root.
func (a *attempt) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	floor := a.highestSeen()
	o, err := a.editor.Store.Get(ctx, RootKey)
	if err != nil && !errors.Is(err, durable.ErrNotFound) {
		return err
	}
	a.current, a.loaded, a.floor = o, true, floor
	return nil
}

// highestSeen returns the highest revision that this VM has. It is called before the platform
// is read: a change of another VM during the read raises it above the root that was read, and
// the editor would take that root for a restored backup.
func (a *attempt) highestSeen() int64 {
	if a.editor.HighestRevision == nil {
		return 0
	}
	return a.editor.HighestRevision()
}

// handleReadError returns ErrNotAccepted for a failed read, unless a write is pending, which
// has to be read back.
func (a *attempt) handleReadError(err error) (bool, error) {
	if a.pending != nil {
		return false, nil
	}
	return false, fmt.Errorf("%w: %w", ErrNotAccepted, err)
}

// build returns the next root, or nil if the change is already in the current one.
func (a *attempt) build() (*root, error) {
	r := &root{Format: formatVersion, Snapshot: &Snapshot{}}
	if a.current.Version != 0 {
		var err error
		if r, err = decodeRoot(a.current.Value); err != nil {
			return nil, a.finalError(err)
		}
	}
	if revision, ok := r.acceptedAt(a.id); ok {
		a.revision, a.root = revision, r
		a.notifyAccepted(a.current.Value)
		return nil, nil
	}
	var err error
	if a.restore {
		r, err = a.restoredRoot(r)
	} else {
		err = a.checkBase(r)
	}
	if err != nil {
		return nil, err
	}
	// The id is not among the changes after the base, so the pending write can no longer take
	// effect.
	a.pending = nil
	if a.since < 0 {
		a.since = r.Snapshot.Revision
	}
	if a.restore {
		r.accept(a.id, nil)
		return r, nil
	}
	if err := applyAll(r.Snapshot, a.changes); err != nil {
		return nil, err
	}
	r.accept(a.id, deletedRefs(a.changes))
	return r, nil
}

// checkBase refuses a root that may already contain the change, that a newer release wrote, or
// that is older than this VM's.
func (a *attempt) checkBase(r *root) error {
	if a.since >= 0 && !r.historyCovers(a.since) {
		cause := fmt.Errorf("the root remembers %d changes, revision %d is older", historyLength, a.since)
		return &UnknownError{ID: a.id, Since: a.since, Cause: cause}
	}
	if r.Format > formatVersion {
		return a.finalError(ErrNewer)
	}
	if r.Snapshot.Revision < a.floor {
		return a.finalError(ErrReverted)
	}
	return nil
}

// finalError wraps an error that ends the attempt with its outcome for the change.
func (a *attempt) finalError(err error) error {
	if a.pending != nil {
		return a.outcomeError(err)
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, err)
}

// write sends one conditional write and records its outcome. It returns true if the change was
// accepted.
func (a *attempt) write(ctx context.Context, next *root, encoded []byte) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	base, floor := a.current.Version, a.highestSeen()
	_, err := a.editor.Store.Put(callCtx, RootKey, encoded, base)
	var conflict *durable.ConflictError
	switch {
	case err == nil:
		a.revision, a.root, a.pending = next.Snapshot.Revision, next, nil
		a.notifyAccepted(encoded)
		return true, nil
	case errors.As(err, &conflict):
		a.current, a.loaded, a.floor = conflict.Current, true, floor
		return false, nil
	case errors.Is(err, durable.ErrTooLarge):
		return false, Problems{{Field: "configuration", Got: fmt.Sprintf("%d bytes", len(encoded)),
			Want: fmt.Sprintf("at most %d bytes encoded", durable.MaxValueBytes)}}
	case errors.Is(err, durable.ErrUnavailable) && a.pending == nil:
		return false, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	case errors.Is(err, durable.ErrUnavailable):
		return false, nil
	}
	// Any other error, timeouts included, may hide an effect, so the root is read back first.
	a.pending = &pendingWrite{base: base, encoded: encoded, root: next}
	a.loaded = false
	return false, nil
}

// notifyAccepted passes a root that contains the change to the editor's callback, so that this
// VM reads its own write at once.
func (a *attempt) notifyAccepted(encoded []byte) {
	if a.editor.OnAccepted != nil {
		a.editor.OnAccepted(encoded)
	}
}

// outcomeError returns ErrNotAccepted, or UnknownError if a write is pending.
func (a *attempt) outcomeError(cause error) error {
	if a.pending == nil {
		return fmt.Errorf("%w: %w", ErrNotAccepted, cause)
	}
	return &UnknownError{ID: a.id, Since: a.since, Cause: cause}
}

// pause waits between attempts. Its jitter separates editors that compete for the root.
func pause(ctx context.Context, attempt int) error {
	mean := retryDelay << min(attempt, retryDoublings)
	t := time.NewTimer(time.Duration(rand.Int64N(int64(2 * mean))))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
