package member

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Digest is what a VM says about itself, passed on by others as it is.
type Digest struct {
	_ struct{} `cbor:",toarray"`
	// ID is the platform's name of the VM.
	ID string
	// Address is "ip:port" of its peer link.
	Address string
	// CallerAddress is "ip:port" where callers connect.
	CallerAddress string
	// DataCentre is where it runs.
	DataCentre string
	// Incarnation grows with each start of a process on this VM.
	Incarnation uint64
	// Beat grows each tick of the process.
	Beat uint64
	// Revision is the configuration revision in force on it.
	Revision int64
	// Epoch is the membership epoch its cold-start slots follow.
	Epoch uint64
	// Load is its use, in thousandths of what it bears.
	Load uint16
	// Draining: it serves what it has and takes no new callers.
	Draining bool
	// Left: the last word of this incarnation.
	Left bool
}

// Suspicion says that a VM's pings went unanswered after the beat named.
type Suspicion struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
	Beat        uint64
}

// Message is one heartbeat: a ping, or the answer to one.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Ask wants an answer.
	Ask bool
	// EchoIncarnation and Echo name the ping that this one answers; 0 for a ping.
	EchoIncarnation uint64
	Echo            uint64
	// From is the sender.
	From       Digest
	Digests    []Digest
	Suspicions []Suspicion
}

const (
	// maxMessage is the size a message is filled to, in bytes. 500: eight
	// messages a tick then stay near 4 KB/s each way, under a third of the
	// 14 KB/s that control may take.
	maxMessage = 500
	// maxText bounds an id, address or data centre, in bytes.
	maxText = 64
	// maxItems bounds each list of a received message.
	maxItems = 32
)

// size estimates the encoded size in bytes: texts, a byte of head each, and the numbers.
func (d Digest) size() int {
	return len(d.ID) + len(d.Address) + len(d.CallerAddress) + len(d.DataCentre) + 36
}

const (
	suspicionSize = 16 // without its id
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

// Encode gives the message's bytes.
func (m Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a message and refuses what Encode never gives.
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
