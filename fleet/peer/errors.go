package peer

import (
	"errors"
	"fmt"
)

// Errors of a call; test with errors.Is.
var (
	// ErrNotSent means that the other VM did not run the call, so another VM may be
	// asked.
	ErrNotSent = errors.New("call not run by the peer")
	// ErrOutcomeUnknown means that the call was sent and no complete reply arrived: the
	// call may have run or may still run.
	ErrOutcomeUnknown = errors.New("outcome of the call unknown")
)

// RemoteError is an error returned by a handler, hence the call ran.
type RemoteError struct {
	// VM is the peer that answered.
	VM string
	// Method is the method called.
	Method string
	// Message is the handler's error text.
	Message string
}

// Error returns the method, the VM and the handler's error text.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s on %s: %s", e.Method, e.VM, e.Message)
}

func notSent(err error) error { return fmt.Errorf("%w: %w", ErrNotSent, err) }

func outcomeUnknown(err error) error { return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err) }
