package view

import (
	"context"
	"time"
)

// Item is one object of a kind as read from the platform.
type Item[T any] struct {
	Name string
	// Revision is of the object's last change, Created of its creation.
	Revision, Created int64
	Value             T
	// Err says why the object can't be read; Value is then not set.
	Err error
	// Raw is the object as the platform encoded it, to be passed on to other VMs.
	Raw []byte
}

// Listing is all objects of a kind at a revision.
type Listing[T any] struct {
	Items    []Item[T]
	Revision int64
}

// Change is one change of an object.
type Change[T any] struct {
	Item[T]
	Deleted bool
}

// Changes are what happened after a revision, up to Revision.
type Changes[T any] struct {
	Changes  []Change[T]
	Revision int64
}

// Source reads one kind. Errors are those of package durable; durable.ErrGone
// from Watch asks for a new listing.
type Source[T any] interface {
	List(ctx context.Context) (Listing[T], error)
	// Recent lists the objects as they were up to some seconds ago, at a tenth of the cost.
	Recent(ctx context.Context) (Listing[T], error)
	// Watch waits up to wait for changes after a revision.
	Watch(ctx context.Context, after int64, wait time.Duration) (Changes[T], error)
	// Decode reads an object that another VM passed on.
	Decode(raw []byte) Item[T]
}

// Clock is the time since some start, which goes on while the VM is suspended.
type Clock func() time.Duration

// Update is one step of what is known of a kind.
type Update[T any] struct {
	// All says that Changes are the whole kind; what isn't among them is gone.
	All     bool
	Changes []Change[T]
	// Revision is the platform's, up to which the kind is known now.
	Revision int64
	// Proof is a time at which this was the newest state; 0 for not known.
	Proof time.Duration
	// Outage is how long the kind could not be read before this update; 0 for no outage.
	Outage time.Duration
}

// Guide decides where one VM's word comes from, over all kinds (package watching).
type Guide interface {
	// Sources names the VMs to read from, best first; none for a VM that watches the platform.
	Sources() []string
	// Read and Failed tell what came of reading one.
	Read(peer string)
	Failed(peer string, err error)
	// MayAsk says whether a VM that found no word at others asks the platform; left is
	// how long its own word still holds, negative when it is too old.
	MayAsk(left time.Duration) bool
	// Claim asks for the platform for a VM that found no word at others: one kind at a time.
	Claim() bool
	// Lost notes that the VM has no word of the platform, Regained that it has.
	Lost()
	Regained()
	// Turn asks for a try at getting word: wait is how long until one is due, 0 for now,
	// and ask says that the platform itself may be asked.
	Turn() (wait time.Duration, ask bool)
}

// Reader reads another VM's feed of a kind; Relays is one.
type Reader interface {
	Read(ctx context.Context, peer, kind string, after int64, silence time.Duration) (Step, error)
}
