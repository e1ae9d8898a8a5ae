package config

import (
	"fmt"
	"strings"
)

// Problem describes an error in an object, such that an operator can correct it.
type Problem struct {
	// File and Line are the place of the object; empty for an object from the API.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Kind and Name identify the object.
	Kind Kind   `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Field is the path of the field within the object.
	Field string `json:"field,omitempty"`
	// Got is the value that was found; empty if there was none.
	Got string `json:"got,omitempty"`
	// Want describes the expected value.
	Want string `json:"want"`
}

// String returns the problem on one line: place, object, field, found and expected value.
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

// Problems lists why a configuration is refused. It is returned as an error only if it is not
// empty.
type Problems []Problem

// Error returns the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// ConflictError means that the condition of a change was not met, since another change came
// first or the object does not exist.
type ConflictError struct {
	Kind Kind
	Name string
	// Current is the object as it is now; nil if it does not exist.
	Current Object
	// Revision is the configuration revision at which the condition was not met.
	Revision int64
}

// Error says that the object does not exist, or at which revision it last changed.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return fmt.Sprintf("%s %q does not exist at revision %d", e.Kind, e.Name, e.Revision)
	}
	return fmt.Sprintf("%s %q was last changed at revision %d", e.Kind, e.Name, e.Current.meta().Revision)
}

// UnknownError means that it is unknown whether a change was accepted. The same change, sent
// again with the same ID and Since, settles it: a repeat returns the first result.
type UnknownError struct {
	// ID is the change's id.
	ID string
	// Since is a revision from before the first attempt.
	Since int64
	// Cause is the error that prevented the read-back.
	Cause error
}

// Error returns the change's id and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s was accepted: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }
