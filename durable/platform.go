package durable

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValue is the largest value the platform takes, in bytes (source: the users' brief).
const MaxValue = 1 << 20

// Key names one object.
type Key struct {
	// Kind groups objects that are listed and watched together.
	Kind string
	// Name is unique within its kind.
	Name string
}

// String gives the key as "kind/name".
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Object is one stored value at one version.
type Object struct {
	Key
	// Version is the store-wide revision of the write that made this value.
	// It only grows, over all objects together; zero means "does not exist".
	Version int64
	// Value is opaque to the platform; at most MaxValue bytes.
	Value []byte
}

// Listing is a consistent list of one kind.
type Listing struct {
	// Revision is the store-wide revision the list is true for; a watch from here misses nothing.
	Revision int64
	Objects  []Object
}

// Event is one change seen by a watch.
type Event struct {
	Object
	// Deleted says that the object is gone; Value is then nil and Version is the deletion's revision.
	Deleted bool
}

// Watch delivers changes of one kind in order of version.
type Watch interface {
	// Next waits for the next event. It returns ErrGone when the platform no
	// longer has the events asked for (list again), ErrUnavailable when the
	// stream broke (watch again from the last version seen), or the context's error.
	Next(ctx context.Context) (Event, error)
	// Close ends the watch; a waiting Next returns.
	Close()
}

// VM is one row of the platform's lagging list of entry VMs.
type VM struct {
	// ID is the platform's name for the VM; a replaced VM may take an old address, never an old ID.
	ID string
	// Address is "ip:port" of the VM's peer link.
	Address string
	// DataCentre is where the VM runs.
	DataCentre string
	// Leaving says that the platform is about to take the VM away.
	Leaving bool
}

// Store is the platform's object API.
//
// Every call may fail with ErrUnavailable (the call had no effect) or, for the
// writes, ErrUnknown (the reply was lost: the write may or may not have taken
// effect, now or a little later). A caller of a write must handle both. A call
// whose context ends returns one of the two as well.
type Store interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, key Key) (Object, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (Listing, error)
	// Put writes value if the object is still at ifVersion (0: does not exist).
	// On a mismatch it returns a *ConflictError with the current object.
	Put(ctx context.Context, key Key, value []byte, ifVersion int64) (Object, error)
	// Delete removes the object if it is still at ifVersion; errors as Put's.
	Delete(ctx context.Context, key Key, ifVersion int64) error
	// Watch delivers the changes of a kind after revision. The context bounds
	// the start only; Close ends the watch.
	Watch(ctx context.Context, kind string, revision int64) (Watch, error)
	// VMs returns the list of entry VMs, which lags by seconds.
	VMs(ctx context.Context) ([]VM, error)
}

// Errors of a Store; test with errors.Is.
var (
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict: the object is at another version; errors.As with *ConflictError gives it.
	ErrConflict = errors.New("object is at another version")
	// ErrUnavailable: the platform did not take the call; it had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOverRate: the platform refused the call since too many come; it had no
	// effect. It is an ErrUnavailable too, but no outage: fewer calls cure it.
	ErrOverRate = fmt.Errorf("%w: over its rate", ErrUnavailable)
	// ErrUnknown: the reply to a write was lost; read back before deciding anything.
	ErrUnknown = errors.New("outcome of the write unknown")
	// ErrGone: the watch's start is older than what the platform keeps.
	ErrGone = errors.New("revision no longer kept")
	// ErrTooLarge: the value exceeds MaxValue; no effect.
	ErrTooLarge = errors.New("value too large")
)

// ConflictError carries the object as it stands, so that the loser of a race needs no second read.
type ConflictError struct {
	// Current is the object now; Version 0 when it does not exist.
	Current Object
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at version %d", e.Current.Key, e.Current.Version)
}

// Is makes errors.Is(err, ErrConflict) hold.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// CallTimeout bounds one call to the platform. Grounds: the platform answers in
// milliseconds (brief); two seconds is far beyond that and still short of the
// shortest lease.
const CallTimeout = 2 * time.Second
