package loops

import (
	"context"

	"goldcrestfork/control/gather"
)

// VM is a live VM.
type VM struct {
	// ID names this incarnation of the VM.
	ID string
	// DataCentre is where it runs.
	DataCentre string
}

// Peers reaches the other VMs.
type Peers interface {
	// VMs returns the live VMs, this one included.
	VMs() []VM
	// Send gives a message to a VM and returns without waiting for its arrival. A
	// lost message is made up for by the next.
	Send(ctx context.Context, to string, m Message)
}

// Message goes between VMs; one field is set.
type Message struct {
	// Report goes to the first VM of the sender's data centre.
	Report *gather.Report `cbor:"1,keyasint,omitempty"`
	// Digest goes from there to the candidates for the roll-outs' lease.
	Digest *gather.Digest `cbor:"2,keyasint,omitempty"`
	// Brake goes from a candidate to the first VM of each data centre, and from there to its VMs.
	Brake *Brake `cbor:"3,keyasint,omitempty"`
	// Suspect names an endpoint whose answer came from a wrong version; it goes to
	// the candidates for the orders' lease.
	Suspect string `cbor:"4,keyasint,omitempty"`
}

// Brake tells that a new version is bad while the roll-out can't be changed; see rollout.Brakes.
type Brake struct {
	RollOut string `cbor:"1,keyasint"`
	Epoch   int64  `cbor:"2,keyasint"`
	// Relayed says that it comes from the first VM of the data centre.
	Relayed bool `cbor:"3,keyasint,omitempty"`
}
