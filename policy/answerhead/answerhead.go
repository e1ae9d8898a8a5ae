// Package answerhead says whether the head of an HTTP answer is a valid one.
//
// Load pattern: endpoints in trouble send heads with a status that no answer can have, with a field whose name
// holds a byte that no name can hold, or with chunks in an answer of HTTP/1.0.
//
// Without it: net/http takes any three digits for a status, and keeps a blank in a name as a part of it. Callers get
// such an answer, and what its head states of the endpoint or of the request counts. Framing whose name has a blank
// behind it, and chunks of HTTP/1.0, are not seen: a part of an answer passes for all of it, or the framing of chunks
// for its body.
//
// The package has no network and no clock.
package answerhead

import (
	"bytes"
	"fmt"
	"strings"
)

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
func Check(status int, header map[string][]string) error {
	if status < minStatus || status > maxStatus || status == switchingProtocols {
		return &Error{Part: "status", Value: fmt.Sprintf("%03d", status)}
	}
	for name := range header {
		if !isToken(name) {
			return &Error{Part: "field name", Value: name}
		}
	}
	return nil
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// CheckBytes returns an *Error if the bytes of a head, from its status line to its empty line, hold framing that
// net/http ignores: chunks came with HTTP/1.1, and an older answer that names them has no known end.
func CheckBytes(head []byte) error {
	if !bytes.HasPrefix(head, []byte(oldVersion)) {
		return nil
	}
	if codings := Values(head, "Transfer-Encoding"); len(codings) > 0 {
		return &Error{Part: "transfer encoding of " + oldVersion, Value: codings[0]}
	}
	return nil
}

const oldVersion = "HTTP/1.0"

// Values returns the values of a field in the bytes of a head, which needn't be valid.
func Values(head []byte, field string) (values []string) {
	for line := range bytes.Lines(head) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if ok && strings.EqualFold(string(bytes.TrimSpace(name)), field) {
			values = append(values, string(bytes.TrimSpace(value)))
		}
	}
	return values
}
