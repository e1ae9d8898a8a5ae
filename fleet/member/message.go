package member

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Digest is the state that a VM publishes about itself. Other VMs pass it on unchanged.
type Digest struct {
	_ struct{} `cbor:",toarray"`
	// ID is the platform's name of the VM.
	ID string
	// Address is "ip:port" of its peer link.
	Address string
	// CallerAddress is "ip:port" where callers connect.
	CallerAddress string
	// DataCentre is the data centre of the VM.
	DataCentre string
	// Incarnation grows with each start of a process on this VM.
	Incarnation uint64
	// Beat grows by one with each tick of the process.
	Beat uint64
	// Revision is the configuration revision in force on the VM.
	Revision int64
	// Epoch is the membership epoch that assigns the VM's cold-start slots.
	Epoch uint64
	// Load is the VM's utilisation, in thousandths of its capacity.
	Load uint16
	// Draining is true while the VM serves its current callers and accepts no new ones.
	Draining bool
	// Left is true in the last digest of this incarnation.
	Left bool
}

// Suspicion reports that a VM's pings went unanswered after the given beat.
type Suspicion struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
	Beat        uint64
}

// Message is one heartbeat: a ping or the answer to one.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Ask requests an answer.
	Ask bool
	// EchoIncarnation and Echo identify the ping that this message answers; both are 0
	// in a ping.
	EchoIncarnation uint64
	Echo            uint64
	// From is the sender's digest.
	From       Digest
	Digests    []Digest
	Suspicions []Suspicion
}

const (
	// maxMessage is the size to which a message is filled, in bytes. Eight messages of
	// 500 bytes a tick stay near 4 KB/s in each direction, under a third of the 14 KB/s
	// budget for control traffic.
	maxMessage = 500
	// maxText bounds an id, address or data centre, in bytes.
	maxText = 64
	// maxItems bounds each list of a received message.
	maxItems = 32
)

// size estimates the encoded size in bytes: the texts plus 36 for their headers and the
// numbers.
func (d Digest) size() int {
	return len(d.ID) + len(d.Address) + len(d.CallerAddress) + len(d.DataCentre) + 36
}

const (
	suspicionSize = 16 // encoded size in bytes, without the id
)

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  5,
		MaxArrayElements: maxItems,
		MaxMapPairs:      16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the CBOR encoding of the message.
func (m Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode decodes a message. It returns an error for data that Encode never produces.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := decoding.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("decode heartbeat: %w", err)
	}
	if err := m.From.check(); err != nil {
		return Message{}, err
	}
	for _, d := range m.Digests {
		if err := d.check(); err != nil {
			return Message{}, err
		}
	}
	for _, s := range m.Suspicions {
		if s.ID == "" || len(s.ID) > maxText {
			return Message{}, errors.New("suspicion without a proper id")
		}
	}
	return m, nil
}

func (d Digest) check() error {
	switch {
	case d.ID == "" || d.Incarnation == 0:
		return errors.New("digest without id or incarnation")
	case max(len(d.ID), len(d.Address), len(d.CallerAddress), len(d.DataCentre)) > maxText:
		return errors.New("digest with a text too long")
	}
	return nil
}
