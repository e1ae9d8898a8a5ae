package slot

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Peer methods.
const (
	methodLend     = "slot.lend"
	methodReturn   = "slot.return"
	methodHandOver = "slot.handover"
	methodConfirm  = "slot.confirm"
)

// maxLimit bounds a cold limit in a message: far above any real cold limit, and low
// enough that a wrong value can't keep a VM busy.
const maxLimit = 1024

// maxEndpoint bounds an endpoint name in a message, in bytes.
const maxEndpoint = 256

// lendRequest asks for an idle slot; the reply is yes or no.
type lendRequest struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Limit    int
	Loan     LoanID
}

// returnRequest returns a loan, or reports that its grant did not arrive.
type returnRequest struct {
	_    struct{} `cbor:",toarray"`
	Loan LoanID
}

// handOverRequest asks whether the slot that the sender gained with Epoch is free.
type handOverRequest struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Index    int
	Epoch    uint64
}

// confirmRequest asks a member whether the epoch is the newest that it knows.
type confirmRequest struct {
	_      struct{} `cbor:",toarray"`
	Member Process
	Number uint64
}

func (r lendRequest) check() error {
	if r.Endpoint == "" || len(r.Endpoint) > maxEndpoint || r.Limit < 0 || r.Limit > maxLimit {
		return errors.New("lend request out of bounds")
	}
	return r.Loan.check()
}

func (r returnRequest) check() error { return r.Loan.check() }

func (r handOverRequest) check() error {
	if r.Endpoint == "" || len(r.Endpoint) > maxEndpoint || r.Index < 0 || r.Index >= maxLimit {
		return errors.New("handover request out of bounds")
	}
	return nil
}

func (r confirmRequest) check() error {
	if r.Number == 0 {
		return errors.New("confirm request without an epoch")
	}
	return nil
}

func (l LoanID) check() error {
	if l.Number == 0 || l.Borrower.ID == "" {
		return errors.New("loan without a number or borrower")
	}
	return nil
}

// decode decodes a request and checks its bounds.
func decode[T interface{ check() error }](data []byte) (T, error) {
	var r T
	if err := cbor.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode %T: %w", r, err)
	}
	return r, r.check()
}

var yes, no = []byte{1}, []byte{0}

// answer encodes a boolean reply.
func answer(ok bool) []byte {
	if ok {
		return yes
	}
	return no
}

// isAccepted reports whether a reply is yes.
func isAccepted(data []byte) bool { return len(data) == 1 && data[0] == yes[0] }
