package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"goldcrestfork/durable"
)

// attempt is the state of one change between tries.
type attempt struct {
	editor  *Editor
	id      string
	since   int64
	changes []Change
	// restore writes the configuration in force here back instead of making changes.
	restore bool

	// pending is the write whose reply was lost; nil when nothing is in flight.
	pending *pending
	// current is the root object to try on; loaded says that it is known.
	current durable.Object
	loaded  bool
	// floor is the highest revision that this VM had seen before current was read.
	floor int64

	root     *root
	revision int64
}

// pending is a write that may still take effect while the root is at base.
type pending struct {
	base    int64
	encoded []byte
	root    *root
}

// try makes one attempt; done means accepted, an error is final.
func (a *attempt) try(ctx context.Context) (bool, error) {
	if !a.loaded {
		if err := a.load(ctx); err != nil {
			return a.unreadable(err)
		}
	}
	// A delayed write can land only while the root is at its base. There, sending
	// the very same write again is safe: whichever of the two comes second conflicts
	// and finds the id in the root. A change that was built anew could land twice.
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
	floor := a.seen()
	o, err := a.editor.Store.Get(ctx, RootKey)
	if err != nil && !errors.Is(err, durable.ErrNotFound) {
		return err
	}
	a.current, a.loaded, a.floor = o, true, floor
	return nil
}

// seen is the highest revision known here. It is asked before the platform is:
// a change that others make during the call raises it above what the call returns,
// and the editor would take that for a restored backup.
func (a *attempt) seen() int64 {
	if a.editor.Floor == nil {
		return 0
	}
	return a.editor.Floor()
}

// unreadable handles a failed read: with nothing in flight the change has no effect.
func (a *attempt) unreadable(err error) (bool, error) {
	if a.pending != nil {
		return false, nil
	}
	return false, fmt.Errorf("%w: %w", ErrNotAccepted, err)
}

// build makes the next root from the current one; nil means that the change is already in it.
func (a *attempt) build() (*root, error) {
	r := &root{Format: format, Snapshot: &Snapshot{}}
	if a.current.Version != 0 {
		var err error
		if r, err = decodeRoot(a.current.Value); err != nil {
			return nil, a.final(err)
		}
	}
	if revision, ok := r.find(a.id); ok {
		a.revision, a.root = revision, r
		a.tell(a.current.Value)
		return nil, nil
	}
	var err error
	if a.restore {
		r, err = a.restored(r)
	} else {
		err = a.check(r)
	}
	if err != nil {
		return nil, err
	}
	// The id is not among the changes after the base, so the write in flight lost for good.
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
	r.accept(a.id, removed(a.changes))
	return r, nil
}

// check refuses to build on a root that may hide the change or lose others.
func (a *attempt) check(r *root) error {
	if a.since >= 0 && !r.covers(a.since) {
		cause := fmt.Errorf("the root remembers %d changes, revision %d is older", historyLength, a.since)
		return &UnknownError{ID: a.id, Since: a.since, Cause: cause}
	}
	if r.Format > format {
		return a.final(ErrNewer)
	}
	if r.Snapshot.Revision < a.floor {
		return a.final(ErrReverted)
	}
	return nil
}

// final says what an error that ends the attempt means for the change.
func (a *attempt) final(err error) error {
	if a.pending != nil {
		return a.giveUp(err)
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, err)
}

// write sends one conditional write and sorts its outcome.
func (a *attempt) write(ctx context.Context, next *root, encoded []byte) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	base, floor := a.current.Version, a.seen()
	_, err := a.editor.Store.Put(callCtx, RootKey, encoded, base)
	var conflict *durable.ConflictError
	switch {
	case err == nil:
		a.revision, a.root, a.pending = next.Snapshot.Revision, next, nil
		a.tell(encoded)
		return true, nil
	case errors.As(err, &conflict):
		a.current, a.loaded, a.floor = conflict.Current, true, floor
		return false, nil
	case errors.Is(err, durable.ErrTooLarge):
		return false, Problems{{Field: "configuration", Got: fmt.Sprintf("%d bytes", len(encoded)),
			Want: fmt.Sprintf("at most %d bytes encoded", durable.MaxValue)}}
	case errors.Is(err, durable.ErrUnavailable) && a.pending == nil:
		return false, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	case errors.Is(err, durable.ErrUnavailable):
		return false, nil
	}
	// Any other error, a timeout included, may hide an effect: read back before deciding.
	a.pending = &pending{base: base, encoded: encoded, root: next}
	a.loaded = false
	return false, nil
}

// tell hands over a root that holds the change, so that this VM reads its own write at once.
func (a *attempt) tell(encoded []byte) {
	if a.editor.Accepted != nil {
		a.editor.Accepted(encoded)
	}
}

// giveUp names the fate of a change that could not be settled in time.
func (a *attempt) giveUp(cause error) error {
	if a.pending == nil {
		return fmt.Errorf("%w: %w", ErrNotAccepted, cause)
	}
	return &UnknownError{ID: a.id, Since: a.since, Cause: cause}
}

// pause waits between attempts, with jitter so that racing editors part.
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
