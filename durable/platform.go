package durable

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueBytes is the size of the largest value that the platform accepts, in bytes.
const MaxValueBytes = 1 << 20

// Key identifies one object.
type Key struct {
	// Kind groups objects that are listed and watched together.
	Kind string
	// Name is unique within its kind.
	Name string
}

// String returns the key as "kind/name".
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Object is one stored value at one version.
type Object struct {
	Key
	// Version is the store-wide revision of the write that stored this value. Versions
	// increase over all objects together; zero means that the object does not exist.
	Version int64
	// Value holds at most MaxValueBytes bytes and is opaque to the platform.
	Value []byte
}

// Listing is a consistent list of the objects of one kind.
type Listing struct {
	// Revision is the store-wide revision of the list; a watch that starts there misses
	// no change.
	Revision int64
	Objects  []Object
}

// Event is one change that a watch delivers.
type Event struct {
	Object
	// Deleted is true if the object was deleted; Value is then nil and Version is the
	// revision of the deletion.
	Deleted bool
}

// Watch delivers changes of one kind in order of version.
type Watch interface {
	// Next waits for the next event. It returns ErrGone if the platform no longer has
	// the requested events, so that the caller must list the objects again;
	// ErrUnavailable if the stream broke, so that the caller must watch again from the
	// last version it received; or the context's error.
	Next(ctx context.Context) (Event, error)
	// Close ends the watch and makes a waiting Next return.
	Close()
}

// VM is one entry of the platform's list of entry VMs.
type VM struct {
	// ID is the platform's name for the VM. A new VM may reuse an old address, but never
	// an old ID.
	ID string
	// Address is the address of the VM's peer link as "ip:port".
	Address string
	// DataCentre is the data centre in which the VM runs.
	DataCentre string
	// Leaving is true if the platform is about to remove the VM.
	Leaving bool
}

// Store is the platform's object API.
//
// Every call may fail with ErrUnavailable, which means that it had no effect. A write
// may also fail with ErrUnknown, which means that its reply was lost, and that it may
// have taken effect, may take effect a little later, or never. A caller of a write must
// handle both errors. A call whose context ends returns one of the two as well.
type Store interface {
	// Get returns an object, or ErrNotFound if it does not exist.
	Get(ctx context.Context, key Key) (Object, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (Listing, error)
	// Put writes value if the object is still at ifVersion; zero means that it must not
	// exist yet. On a mismatch Put returns a *ConflictError with the current object.
	Put(ctx context.Context, key Key, value []byte, ifVersion int64) (Object, error)
	// Delete removes the object if it is still at ifVersion, and returns a
	// *ConflictError otherwise, or ErrNotFound if the object does not exist.
	Delete(ctx context.Context, key Key, ifVersion int64) error
	// Watch delivers the changes of a kind after revision. The context bounds only the
	// start of the watch; Close ends it.
	Watch(ctx context.Context, kind string, revision int64) (Watch, error)
	// VMs returns the list of entry VMs, which lags by seconds.
	VMs(ctx context.Context) ([]VM, error)
}

// Errors of a Store, to be tested with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object is at another version; errors.As with a
	// *ConflictError yields the current object.
	ErrConflict = errors.New("object is at another version")
	// ErrUnavailable means that the platform did not accept the call, which had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOverRate means that the platform refused the call because of its rate limit; the
	// call had no effect. It wraps ErrUnavailable but is no outage: fewer calls succeed.
	ErrOverRate = fmt.Errorf("%w: over its rate", ErrUnavailable)
	// ErrUnknown means that the reply to a write was lost; the caller must read the
	// object before it decides anything.
	ErrUnknown = errors.New("outcome of the write unknown")
	// ErrGone means that a watch started at a revision older than the history that the
	// platform keeps.
	ErrGone = errors.New("revision no longer kept")
	// ErrTooLarge means that the value exceeds MaxValueBytes; the write had no effect.
	ErrTooLarge = errors.New("value too large")
)

// ConflictError holds the current object, so that a caller whose write conflicted needs
// no further read.
type ConflictError struct {
	// Current is the current object; its Version is 0 if the object does not exist.
	Current Object
}

// Error returns the object's key and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at version %d", e.Current.Key, e.Current.Version)
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// CallTimeout bounds one call to the platform. The platform answers in milliseconds;
// two seconds is far more than that and still shorter than the shortest lease.
const CallTimeout = 2 * time.Second
