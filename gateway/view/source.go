package view

import (
	"context"
	"time"
)

// Item is one object of a kind as read from the platform.
type Item[T any] struct {
	Name string
	// Revision is the platform's revision of the object's last change, Created that of its
	// creation.
	Revision, Created int64
	Value             T
	// Err is the reason why the object can't be decoded; Value is then not set.
	Err error
	// Raw is the object in the platform's encoding, to be passed on to other VMs.
	Raw []byte
}

// Listing holds all objects of a kind at a revision.
type Listing[T any] struct {
	Items    []Item[T]
	Revision int64
}

// Change is one change of an object.
type Change[T any] struct {
	Item[T]
	Deleted bool
}

// Changes holds the changes after a revision, up to Revision.
type Changes[T any] struct {
	Changes  []Change[T]
	Revision int64
}

// Source reads one kind. Its errors are those of package durable; durable.ErrGone from Watch
// means that the history is missing and the kind must be listed again.
type Source[T any] interface {
	// List returns the current objects.
	List(ctx context.Context) (Listing[T], error)
	// Recent returns the objects as they were up to some seconds ago, at a tenth of the cost of
	// List.
	Recent(ctx context.Context) (Listing[T], error)
	// Watch waits up to wait for changes after the revision after.
	Watch(ctx context.Context, after int64, wait time.Duration) (Changes[T], error)
	// Decode decodes an object that another VM passed on.
	Decode(raw []byte) Item[T]
}

// Clock returns the time since a fixed start, including the time in which the VM is suspended.
type Clock func() time.Duration

// Update is one step in the known state of a kind.
type Update[T any] struct {
	// All says that Changes are the whole kind; objects that are not among them are deleted.
	All     bool
	Changes []Change[T]
	// Revision is the platform's revision up to which the kind is known.
	Revision int64
	// ConfirmedAt is the latest Clock time at which this was confirmed as the newest state; 0 for
	// unknown.
	ConfirmedAt time.Duration
	// Outage is how long the kind could not be read before this update; 0 for no outage.
	Outage time.Duration
	// PlatformAnswered says that the platform answered other VMs all that time, so that no entry
	// expired because of it.
	PlatformAnswered bool
}

// SourcePolicy decides from where a VM reads, over all its kinds. The decisions are those of
// package watching.
type SourcePolicy interface {
	// Sources returns the addresses of the VMs to read from, best first; none for a VM that
	// watches the platform.
	Sources() []string
	// Read and Failed report the result of reading the feed of the VM at peer.
	Read(peer string)
	Failed(peer string, err error)
	// MayAsk reports whether a VM that could read from no other VM may call the platform; left
	// is the time for which its own state is still valid, negative if it is too old.
	MayAsk(left time.Duration) bool
	// Claim reserves the next call to the platform for one kind of a VM that could read from no
	// other VM. It reports whether the caller may call.
	Claim() bool
	// Lost records that the VM can't reach the platform, Regained that it can.
	Lost()
	Regained()
	// Turn returns when the next attempt to reach a source is due: wait is the time until then,
	// 0 for now, and ask reports whether the platform itself may be called.
	Turn() (wait time.Duration, ask bool)
}

// Reader reads another VM's feed of a kind; FeedTransport implements it.
type Reader interface {
	Read(ctx context.Context, peer, kind string, after int64, silence time.Duration) (Step, error)
}
