package peer

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the largest body of a call or reply, in bytes. The platform's values are
// limited to 1 MB, and nothing larger is passed between VMs.
const MaxBody = 1 << 20

// maxFrame bounds an encoded message: MaxBody plus the envelope.
const maxFrame = MaxBody + 4096

// maxMethod bounds a method name, in bytes.
const maxMethod = 128

// request is one call on the wire; it ends with the send side of the stream.
type request struct {
	Method string `cbor:"1,keyasint"`
	// Budget is how long the caller will still wait. It is a duration and not a time,
	// since the clocks of two VMs are never compared.
	Budget time.Duration `cbor:"2,keyasint"`
	Body   []byte        `cbor:"3,keyasint"`
}

// status says whether a call ran and succeeded.
type status uint8

const (
	statusOK status = iota
	// statusFailed means that the handler ran and returned an error.
	statusFailed
	// statusNotRun means that no handler was started (unknown method, too many calls,
	// closing).
	statusNotRun
)

// reply answers one request; it ends with the stream.
type reply struct {
	Status status `cbor:"1,keyasint"`
	Error  string `cbor:"2,keyasint,omitempty"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
}

// decoding rejects what this package's encoder never writes, so that a faulty peer is
// detected at the envelope and can't make a VM allocate without bound.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   8,
		MaxArrayElements:  1024,
		MaxMapPairs:       64,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func decodeRequest(data []byte) (request, error) {
	var r request
	if err := decoding.Unmarshal(data, &r); err != nil {
		return request{}, fmt.Errorf("decode request: %w", err)
	}
	switch {
	case r.Method == "" || len(r.Method) > maxMethod:
		return request{}, errors.New("request without a proper method")
	case r.Budget <= 0:
		return request{}, errors.New("request without time left")
	case len(r.Body) > MaxBody:
		return request{}, errors.New("request body too large")
	}
	return r, nil
}

func decodeReply(data []byte) (reply, error) {
	var r reply
	if err := decoding.Unmarshal(data, &r); err != nil {
		return reply{}, fmt.Errorf("decode reply: %w", err)
	}
	switch {
	case r.Status > statusNotRun:
		return reply{}, fmt.Errorf("reply with unknown status %d", r.Status)
	case len(r.Body) > MaxBody:
		return reply{}, errors.New("reply body too large")
	}
	return r, nil
}

// readFrame reads to the end of the stream. A stream that was reset gives an error and
// never a shorter message.
func readFrame(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxFrame+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxFrame {
		return nil, errors.New("message too large")
	}
	return data, nil
}
