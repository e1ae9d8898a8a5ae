package config

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"goldcrestfork/durable"
)

// RootKey is the key of the platform object that holds the whole configuration.
var RootKey = durable.Key{Kind: "configuration", Name: "root"}

// Limits of an editor's attempts.
const (
	// maxAttempts bounds the retries of a change that conflicts with others. A write whose reply
	// was lost is read back until the context ends, since only the read-back settles its
	// outcome.
	maxAttempts = 64
	// retryDelay is the mean pause after the first attempt; a write takes the platform
	// milliseconds.
	retryDelay = 10 * time.Millisecond
	// retryDoublings limits the mean pause to 10 ms * 2^5 = 320 ms, well within an operator's
	// timeout.
	retryDoublings = 5
)

// Op is the operation of a change.
type Op int

// The operations.
const (
	// OpPut creates or replaces the object.
	OpPut Op = iota
	// OpDelete deletes the object.
	OpDelete
	// OpLabel sets and removes labels and leaves the rest of the object unchanged.
	OpLabel
	// OpEdit edits the object as it is when the change is accepted.
	OpEdit
)

// Conditions of a change on the object's revision. A positive value is the revision that the
// object must have.
const (
	// IfAny sets no condition.
	IfAny int64 = 0
	// IfAbsent requires that the object does not exist.
	IfAbsent int64 = -1
)

// Change is one operation on one object.
type Change struct {
	Op Op
	// Object is what OpPut stores. Its Meta.Revision is ignored.
	Object Object
	// Kind and Name identify the object of the other operations.
	Kind Kind
	Name string
	// Labels are the labels that OpLabel sets, RemoveLabels the keys that it removes.
	Labels       map[string]string
	RemoveLabels []string
	// Edit modifies a copy of the object for OpEdit. It may be called several times.
	Edit func(Object) error
	// IfRevision is the condition: IfAny, IfAbsent or a revision.
	IfRevision int64
}

// target returns the kind and name of the object that the change affects.
func (c *Change) target() (Kind, string) {
	if c.Op == OpPut {
		return KindOf(c.Object), c.Object.meta().Name
	}
	return c.Kind, c.Name
}

// Errors of an editor besides Problems, *ConflictError and *UnknownError.
var (
	// ErrNotAccepted means that the platform did not accept the change, which has no effect.
	ErrNotAccepted = errors.New("change not accepted")
	// ErrNewer means that a newer release wrote the root; a write of this release would lose its
	// fields.
	ErrNewer = errors.New("configuration was written by a newer release")
	// ErrReverted means that the platform holds an older configuration than the one in force,
	// for example after a backup was restored.
	ErrReverted = errors.New("the platform holds an older configuration than the one in force")
)

// Editor applies changes to the configuration. Each change is one conditional write of the
// root.
type Editor struct {
	// Store is the platform's store.
	Store durable.Store
	// HighestRevision returns the highest revision that this VM has; nil for none.
	HighestRevision func() int64
	// OnAccepted is called with the encoded root of each accepted change; may be nil.
	OnAccepted func(encoded []byte)
	// MayAccept returns an error if this VM may not accept a change at present, as Cache.MayAccept
	// does; nil for no check.
	MayAccept func(context.Context) error
	// rootInForce returns the root in force and whether another VM is known to have a later one.
	rootInForce func() (*root, bool)
}

// NewEditor returns an editor for the VM that has this cache.
func NewEditor(store durable.Store, cache *Cache) *Editor {
	return &Editor{
		Store:           store,
		HighestRevision: cache.Revision,
		MayAccept:       cache.MayAccept,
		rootInForce:     cache.rootInForce,
		// The error needs no handling: the cache counts it, and an encoding of this VM is always
		// decodable.
		OnAccepted: func(encoded []byte) { _, _ = cache.Offer(encoded) },
	}
}

// Apply applies the changes as one change with a new id; see ApplyOnce.
func (e *Editor) Apply(ctx context.Context, changes []Change) (int64, *Snapshot, error) {
	return e.ApplyOnce(ctx, uuid.NewString(), -1, changes)
}

// ApplyOnce applies the changes as one change with this id. If such a change was already
// accepted after revision since, ApplyOnce returns its revision and the present configuration.
// A negative since says that the id has never been used.
//
// The errors are Problems (refused), *ConflictError (another change came first),
// ErrNotAccepted, ErrNewer and ErrReverted (no effect), and *UnknownError (the same call again
// settles the outcome).
func (e *Editor) ApplyOnce(ctx context.Context, id string, since int64, changes []Change) (int64, *Snapshot, error) {
	return e.settle(ctx, attempt{editor: e, id: id, since: since, changes: changes})
}

// settle makes attempts until the outcome of the change is known or ctx ends.
func (e *Editor) settle(ctx context.Context, a attempt) (int64, *Snapshot, error) {
	if e.MayAccept != nil {
		if err := e.MayAccept(ctx); err != nil {
			return 0, nil, a.finalError(err)
		}
	}
	for n := 0; n < maxAttempts || a.pending != nil; n++ {
		done, err := a.try(ctx)
		if err != nil {
			return 0, nil, err
		}
		if done {
			return a.revision, a.root.Snapshot, nil
		}
		if err := pause(ctx, n); err != nil {
			return 0, nil, a.outcomeError(err)
		}
	}
	return 0, nil, a.outcomeError(errors.New("too many racing changes"))
}
