package config

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"goldcrestfork/durable"
)

// RootKey is the one platform object that carries the whole configuration.
var RootKey = durable.Key{Kind: "configuration", Name: "root"}

// Bounds of an editor's attempts.
const (
	// maxAttempts bounds the retries of one change against racing ones. A write whose
	// reply was lost is read back until the context ends: its fate is worth the wait.
	maxAttempts = 64
	// retryDelay is the mean pause after the first attempt; a write takes the platform milliseconds (users' brief).
	retryDelay = 10 * time.Millisecond
	// retryDoublings bounds the mean pause at 10 ms * 2^5 = 320 ms, well inside an operator's patience.
	retryDoublings = 5
)

// Op is what a change does.
type Op int

// The operations.
const (
	// OpPut creates or replaces the object.
	OpPut Op = iota
	// OpDelete removes it.
	OpDelete
	// OpLabel sets and removes labels and leaves the rest as it stands.
	OpLabel
	// OpEdit changes the object as it stands when the change is accepted.
	OpEdit
)

// Conditions of a change on the object's revision; a positive value is the revision it must be at.
const (
	// IfAny sets no condition.
	IfAny int64 = 0
	// IfAbsent demands that the object does not exist.
	IfAbsent int64 = -1
)

// Change is one operation on one object.
type Change struct {
	Op Op
	// Object is what OpPut stores; its Meta.Revision is passed over.
	Object Object
	// Kind and Name say what the other operations act on.
	Kind Kind
	Name string
	// Labels are set and Unlabel are removed by OpLabel.
	Labels  map[string]string
	Unlabel []string
	// Edit is what OpEdit does to a copy of the object; it may be called several times.
	Edit func(Object) error
	// IfRevision is the condition: IfAny, IfAbsent or a revision.
	IfRevision int64
}

// target returns what the change acts on.
func (c *Change) target() (Kind, string) {
	if c.Op == OpPut {
		return KindOf(c.Object), c.Object.meta().Name
	}
	return c.Kind, c.Name
}

// Errors of an editor besides Problems, *ConflictError and *UnknownError.
var (
	// ErrNotAccepted: the platform did not take the change; it has no effect.
	ErrNotAccepted = errors.New("change not accepted")
	// ErrNewer: the root was written by a newer release; this one would drop its fields.
	ErrNewer = errors.New("configuration was written by a newer release")
	// ErrReverted: the platform holds an older configuration than the one in force, as after a restored backup.
	ErrReverted = errors.New("the platform holds an older configuration than the one in force")
)

// Editor makes accepted changes: each is one conditional write of the root.
type Editor struct {
	Store durable.Store
	// Floor returns the highest revision this VM has seen; nil for none.
	Floor func() int64
	// Accepted is given the encoded root of each accepted change; may be nil.
	Accepted func(encoded []byte)
	// Gate says why this VM may accept no change now, as Cache.MayAccept; nil for none.
	Gate func(context.Context) error
	// held returns the root in force and whether another VM is known to have a later one.
	held func() (*root, bool)
}

// NewEditor returns the editor of a VM whose configuration is in cache.
func NewEditor(store durable.Store, cache *Cache) *Editor {
	return &Editor{
		Store: store,
		Floor: cache.Revision,
		Gate:  cache.MayAccept,
		held:  cache.held,
		// The cache counts what it cannot take; an encoding made here can be decoded here.
		Accepted: func(encoded []byte) { _, _ = cache.Offer(encoded) },
	}
}

// Apply makes the changes as one; see ApplyOnce.
func (e *Editor) Apply(ctx context.Context, changes []Change) (int64, *Snapshot, error) {
	return e.ApplyOnce(ctx, uuid.NewString(), -1, changes)
}

// ApplyOnce makes the changes as one, unless a change with this id was accepted
// after revision since; then it returns that one's revision and the
// configuration as it stands. A negative since says that the id was never used.
//
// Errors: Problems (refused), *ConflictError (lost a race), ErrNotAccepted,
// ErrNewer and ErrReverted (no effect), *UnknownError (the same call again settles it).
func (e *Editor) ApplyOnce(ctx context.Context, id string, since int64, changes []Change) (int64, *Snapshot, error) {
	return e.settle(ctx, attempt{editor: e, id: id, since: since, changes: changes})
}

// settle tries until the change's fate is known or ctx ends.
func (e *Editor) settle(ctx context.Context, a attempt) (int64, *Snapshot, error) {
	if e.Gate != nil {
		if err := e.Gate(ctx); err != nil {
			return 0, nil, a.final(err)
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
			return 0, nil, a.giveUp(err)
		}
	}
	return 0, nil, a.giveUp(errors.New("too many racing changes"))
}
