package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"goldcrestfork/config"
	"goldcrestfork/config/staleness"
)

// Code is the stable reason of an answer other than a success.
type Code string

// The codes of the API's answers.
const (
	CodeUnauthorized       Code = "unauthorized"
	CodeNoSuchPath         Code = "no-such-path"
	CodeNotFound           Code = "not-found"
	CodeBadRequest         Code = "bad-request"
	CodeBodyTooLarge       Code = "body-too-large"
	CodeOverloaded         Code = "overloaded"
	CodeInvalid            Code = "invalid"
	CodeConflict           Code = "conflict"
	CodeStoreDown          Code = "store-unavailable"
	CodeTooFewDataCentres  Code = "too-few-data-centres"
	CodePlatformHoldsOlder Code = "platform-holds-older-configuration"
	CodeNewerRelease       Code = "configuration-of-newer-release"
	CodeNothingToRestore   Code = "nothing-to-restore"
	CodeAnotherVMAhead     Code = "another-vm-is-ahead"
	CodeUnknown            Code = "unknown"
	CodeRevisionNotHere    Code = "revision-not-here"
	CodeBillsNotRead       Code = "bills-not-read"
	codeOK                 Code = "ok"
	problemType                 = "application/problem+json"
	storeRetrySeconds           = "5"
)

// Accepted reports whether a change was accepted.
type Accepted string

// The outcomes of a change.
const (
	AcceptedYes     Accepted = "yes"
	AcceptedNo      Accepted = "no"
	AcceptedUnknown Accepted = "unknown"
)

// Answer is the body of a successful answer.
type Answer struct {
	// Revision is the revision at which a change was accepted, or that a read returned.
	Revision int64 `json:"revision"`
	// Accepted is set only in the answer to a change.
	Accepted Accepted `json:"accepted,omitempty"`
	// Objects are the objects that were read or changed, in the form of configuration files.
	Objects []json.RawMessage `json:"objects,omitempty"`
	// Warnings are the warnings about the configuration after the change.
	Warnings []config.Problem `json:"warnings,omitempty"`
}

// Problem is the body of an answer other than a success (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Status int    `json:"status"`
	Code   Code   `json:"code"`
	Detail string `json:"detail"`
	// Accepted is set only in the answer to a change.
	Accepted Accepted `json:"accepted,omitempty"`
	// Problems are the faults found in the objects.
	Problems []config.Problem `json:"problems,omitempty"`
	// Current is the stored object if a condition on its revision failed.
	Current json.RawMessage `json:"current,omitempty"`
	// ChangeID and Since are the headers with which the change is resent to settle an
	// unknown outcome.
	ChangeID string `json:"changeId,omitempty"`
	Since    int64  `json:"since,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }

func (h *handler) refuse(w http.ResponseWriter, p Problem) {
	p.Type = "urn:goldcrestfork:operator:" + string(p.Code)
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", storeRetrySeconds)
	}
	h.write(w, p.Status, p.Code, problemType, p)
}

func (h *handler) write(w http.ResponseWriter, status int, code Code, contentType string, body any) {
	h.answers.WithLabelValues(string(code)).Inc()
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// An operator that closed the connection is no error of this VM.
	_ = json.NewEncoder(w).Encode(body)
}

// answer writes a success with the revision as a header.
func (h *handler) answer(w http.ResponseWriter, a Answer) {
	w.Header().Set(HeaderRevision, strconv.FormatInt(a.Revision, 10))
	h.write(w, http.StatusOK, codeOK, "application/json", a)
}

// changeProblem maps an error of the editor to the Problem that the operator gets.
func changeProblem(err error) Problem {
	var conflict *config.ConflictError
	var unknown *config.UnknownError
	var problems config.Problems
	p := Problem{Status: http.StatusServiceUnavailable, Code: CodeStoreDown, Detail: err.Error(), Accepted: AcceptedNo}
	switch {
	case errors.As(err, &unknown):
		p.Status, p.Code, p.Accepted = http.StatusGatewayTimeout, CodeUnknown, AcceptedUnknown
		p.Detail += "; send the same change again with " + HeaderChangeID + " and " + HeaderChangeSince + " as given here, to any VM"
		p.ChangeID, p.Since = unknown.ID, unknown.Since
	case errors.As(err, &conflict):
		p.Status, p.Code = http.StatusPreconditionFailed, CodeConflict
		if conflict.Current == nil {
			p.Status, p.Code = http.StatusNotFound, CodeNotFound
		} else {
			p.Current = mustMarshal(conflict.Current)
		}
	case errors.As(err, &problems):
		p.Status, p.Code, p.Problems = http.StatusUnprocessableEntity, CodeInvalid, problems
	case errors.Is(err, staleness.ErrMinority):
		p.Code = CodeTooFewDataCentres
	case errors.Is(err, config.ErrReverted):
		p.Status, p.Code = http.StatusConflict, CodePlatformHoldsOlder
	case errors.Is(err, config.ErrNothingToRestore):
		p.Status, p.Code = http.StatusConflict, CodeNothingToRestore
	case errors.Is(err, config.ErrAhead):
		p.Status, p.Code = http.StatusConflict, CodeAnotherVMAhead
	case errors.Is(err, config.ErrNewer):
		p.Status, p.Code = http.StatusConflict, CodeNewerRelease
	}
	return p
}

// mustMarshal encodes an object that was decoded before, so that a failure is a
// programming error.
func mustMarshal(o config.Object) json.RawMessage {
	text, err := config.Marshal(o)
	if err != nil {
		panic(err)
	}
	return text
}
