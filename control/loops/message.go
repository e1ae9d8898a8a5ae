package loops

import (
	"context"

	"goldcrestfork/control/gather"
)

// VM identifies a live VM.
type VM struct {
	// ID identifies this incarnation of the VM.
	ID string
	// DataCentre is the data centre in which the VM runs.
	DataCentre string
}

// Peers lists the live VMs and sends messages to them.
type Peers interface {
	// VMs returns the live VMs, including this one.
	VMs() []VM
	// Send sends a message to a VM and returns without waiting for its delivery.
	// Messages may be lost; the loops repeat them.
	Send(ctx context.Context, to string, m Message)
}

// Message is one message between VMs; exactly one field is set.
type Message struct {
	// Report is sent to the aggregating VM of the sender's data centre.
	Report *gather.Report `cbor:"1,keyasint,omitempty"`
	// Digest is sent by an aggregating VM to the candidates for the roll-out lease.
	Digest *gather.Digest `cbor:"2,keyasint,omitempty"`
	// Brake is sent by a candidate to the aggregating VM of each data centre, which
	// relays it to the VMs there.
	Brake *Brake `cbor:"3,keyasint,omitempty"`
	// Suspect is the name of an endpoint that answered with a wrong version; it is
	// sent to the candidates for the order lease.
	Suspect string `cbor:"4,keyasint,omitempty"`
}

// Brake asks VMs to stop sending new work to the new version of a roll-out that should
// be rolled back but can't be changed at present; see rollout.Brakes.
type Brake struct {
	RollOut string `cbor:"1,keyasint"`
	Epoch   int64  `cbor:"2,keyasint"`
	// Relayed is true in messages that an aggregating VM relays to its data centre.
	Relayed bool `cbor:"3,keyasint,omitempty"`
}
