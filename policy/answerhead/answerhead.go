// Package answerhead says whether the head of an HTTP answer is a valid one.
//
// Load pattern: endpoints in trouble send heads with a status that no answer can have.
//
// Without it: net/http takes any three digits for a status. Callers get such an answer, and what its head states
// of the endpoint or of the request counts.
//
// The package has no network and no clock.
package answerhead

import "fmt"

// Error says which part of a head isn't valid.
type Error struct{ Part, Value string }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("the head of the answer has the invalid %s %q", e.Part, e.Value)
}

// The statuses of answers (RFC 9110, section 15). switchingProtocols answers only a request that asks for another
// protocol, which none does.
const (
	minStatus, maxStatus = 100, 599
	switchingProtocols   = 101
)

// Check returns an *Error if the head of an answer, interim or final, isn't valid.
func Check(status int) error {
	if status < minStatus || status > maxStatus || status == switchingProtocols {
		return &Error{Part: "status", Value: fmt.Sprintf("%03d", status)}
	}
	return nil
}
