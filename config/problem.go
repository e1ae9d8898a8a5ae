package config

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with an object, in words an operator can act on.
type Problem struct {
	// File and Line say where it was read; empty for an object that came in over the API.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Kind and Name say which object.
	Kind Kind   `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Field is the path of the field within the object.
	Field string `json:"field,omitempty"`
	// Got is what was found; empty when nothing was.
	Got string `json:"got,omitempty"`
	// Want is what is expected there.
	Want string `json:"want"`
}

// String gives the problem on one line: place, object, field, what is expected.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	} else if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Kind != "" {
		fmt.Fprintf(&b, "%s %q: ", p.Kind, p.Name)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	if p.Got != "" {
		fmt.Fprintf(&b, "%s found; ", p.Got)
	}
	b.WriteString("expected " + p.Want)
	return b.String()
}

// Problems is why a configuration is refused; it is an error when it is not empty.
type Problems []Problem

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// ConflictError tells the loser of a race on one object how that object stands.
type ConflictError struct {
	Kind Kind
	Name string
	// Current is the object now, nil when it does not exist.
	Current Object
	// Revision is the configuration revision at which the condition failed.
	Revision int64
}

func (e *ConflictError) Error() string {
	if e.Current == nil {
		return fmt.Sprintf("%s %q does not exist at revision %d", e.Kind, e.Name, e.Revision)
	}
	return fmt.Sprintf("%s %q was last changed at revision %d", e.Kind, e.Name, e.Current.meta().Revision)
}

// UnknownError says that a change may or may not have been accepted. Sending the
// same change again with the same ID and Since settles it: a repeat returns the
// first result.
type UnknownError struct {
	// ID is the change's id.
	ID string
	// Since is a revision before the first attempt.
	Since int64
	// Cause is why the fate could not be read back.
	Cause error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s was accepted: %v", e.ID, e.Cause)
}

// Unwrap gives the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }
