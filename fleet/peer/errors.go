package peer

import (
	"errors"
	"fmt"
)

// Errors of a call; test with errors.Is.
var (
	// ErrNotSent: the other VM did not run the call; another VM may be asked.
	ErrNotSent = errors.New("call not run by the peer")
	// ErrOutcomeUnknown: the call was sent and no whole reply came; it may have run, or may still run.
	ErrOutcomeUnknown = errors.New("outcome of the call unknown")
)

// RemoteError is a handler's error: the call ran.
type RemoteError struct {
	// VM is the peer that answered.
	VM string
	// Method is what was called.
	Method string
	// Message is the handler's error text.
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s on %s: %s", e.Method, e.VM, e.Message)
}

func notSent(err error) error { return fmt.Errorf("%w: %w", ErrNotSent, err) }

func outcomeUnknown(err error) error { return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err) }
