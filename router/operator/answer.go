package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"goldcrestfork/config"
	"goldcrestfork/config/staleness"
)

// Code is the stable reason of an answer that is no success.
type Code string

// The codes.
const (
	CodeUnauthorized  Code = "unauthorized"
	CodeNoSuchPath    Code = "no-such-path"
	CodeNotFound      Code = "not-found"
	CodeBadRequest    Code = "bad-request"
	CodeTooLarge      Code = "body-too-large"
	CodeInvalid       Code = "invalid"
	CodeConflict      Code = "conflict"
	CodeStoreDown     Code = "store-unavailable"
	CodeMinority      Code = "too-few-data-centres"
	CodeReverted      Code = "platform-holds-older-configuration"
	CodeNewer         Code = "configuration-of-newer-release"
	CodeNoRestore     Code = "nothing-to-restore"
	CodeAhead         Code = "another-vm-is-ahead"
	CodeUnknown       Code = "unknown"
	CodeNotHere       Code = "revision-not-here"
	CodeBillsNotRead  Code = "bills-not-read"
	codeOK            Code = "ok"
	problemType            = "application/problem+json"
	storeRetrySeconds      = "5"
)

// Accepted says what became of a change.
type Accepted string

// What became of a change.
const (
	AcceptedYes     Accepted = "yes"
	AcceptedNo      Accepted = "no"
	AcceptedUnknown Accepted = "unknown"
)

// Answer is the body of a success.
type Answer struct {
	// Revision is the one at which a change was accepted, or which a read saw.
	Revision int64 `json:"revision"`
	// Accepted is set in the answer to a change.
	Accepted Accepted `json:"accepted,omitempty"`
	// Objects are what was read or changed, as they are written in files.
	Objects []json.RawMessage `json:"objects,omitempty"`
	// Warnings are what an operator should know about the configuration now.
	Warnings []config.Problem `json:"warnings,omitempty"`
}

// Problem is the body of an answer that is no success (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Status int    `json:"status"`
	Code   Code   `json:"code"`
	Detail string `json:"detail"`
	// Accepted is set in the answer to a change.
	Accepted Accepted `json:"accepted,omitempty"`
	// Problems are what is wrong with the objects.
	Problems []config.Problem `json:"problems,omitempty"`
	// Current is the object as it stands, for the loser of a race.
	Current json.RawMessage `json:"current,omitempty"`
	// ChangeID and Since are to be sent again, as headers, to settle an unknown change.
	ChangeID string `json:"changeId,omitempty"`
	Since    int64  `json:"since,omitempty"`
}

// Error makes a Problem usable where errors are expected.
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
	// An operator that has gone is no error of ours.
	_ = json.NewEncoder(w).Encode(body)
}

// answer writes a success at a revision.
func (h *handler) answer(w http.ResponseWriter, a Answer) {
	w.Header().Set(HeaderRevision, strconv.FormatInt(a.Revision, 10))
	h.write(w, http.StatusOK, codeOK, "application/json", a)
}

// changeProblem says what an editor's error means for the operator.
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
		p.Code = CodeMinority
	case errors.Is(err, config.ErrReverted):
		p.Status, p.Code = http.StatusConflict, CodeReverted
	case errors.Is(err, config.ErrNothingToRestore):
		p.Status, p.Code = http.StatusConflict, CodeNoRestore
	case errors.Is(err, config.ErrAhead):
		p.Status, p.Code = http.StatusConflict, CodeAhead
	case errors.Is(err, config.ErrNewer):
		p.Status, p.Code = http.StatusConflict, CodeNewer
	}
	return p
}

// mustMarshal writes an object that was decoded before, and so can be encoded.
func mustMarshal(o config.Object) json.RawMessage {
	text, err := config.Marshal(o)
	if err != nil {
		panic(err)
	}
	return text
}
