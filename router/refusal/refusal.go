// Package refusal holds the final answers that are not the result a caller asked
// for. Each has a stable code and says whether the request ran, as far as that
// is known for certain, and when coming back helps.
package refusal

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Ran is what is known about the run of a request.
type Ran string

// What is known about a run.
const (
	// NotRun: no byte of the request left for an endpoint, or the endpoint said that it did not run it.
	NotRun Ran = "not run"
	// DidRun: an endpoint ran the request, at least in part.
	DidRun Ran = "ran"
	// Unknown: it may have run; a request that must not be repeated will not be run again.
	Unknown Ran = "unknown"
)

// Code names the reason; codes are stable over releases.
type Code string

// The codes of refusals.
const (
	BadRequest        Code = "bad-request"
	BodyTooLarge      Code = "body-too-large"
	Unauthorized      Code = "unauthorized"
	NoSuchPath        Code = "no-such-path"
	ModelNotAllowed   Code = "model-not-allowed"
	ServiceNotAllowed Code = "service-not-allowed"
	CallNotDeclared   Code = "call-not-declared"
	NoVersion         Code = "no-version-serving"
	NoEndpoint        Code = "no-endpoint"
	KeyRequired       Code = "idempotency-key-required"
	KeyReused         Code = "idempotency-key-reused"
	InProgress        Code = "in-progress"
	OutcomeUnknown    Code = "outcome-unknown"
	AnswerNotKept     Code = "answer-not-kept"
	Overloaded        Code = "overloaded"
	DeadlineTooShort  Code = "deadline-cannot-be-met"
	Quarantined       Code = "quarantined"
	NotReady          Code = "not-ready"
	Stale             Code = "configuration-stale"
	StoreDown         Code = "store-unavailable"
	Draining          Code = "vm-leaving"
	EndpointFailed    Code = "endpoint-failed"
	AnswerCut         Code = "answer-cut"
	ResumeNotPossible Code = "resume-not-possible"
	SpendCap          Code = "spend-cap-reached"
)

// Refusal is one final answer that is not the result.
type Refusal struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Code is the stable reason.
	Code Code `json:"code"`
	// Detail is for a person.
	Detail string `json:"detail"`
	// Ran is what is known about the run.
	Ran Ran `json:"ran"`
	// RetryAfter is when coming back helps; 0 means that it doesn't.
	RetryAfter time.Duration `json:"-"`
	// RequestID ties the answer to bills, metrics and the state dump.
	RequestID string `json:"requestId,omitempty"`
}

// Error makes a Refusal usable where errors are expected.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s (%s)", r.Code, r.Detail, r.Ran) }

// New returns a refusal of a request that did not run.
func New(status int, code Code, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Detail: fmt.Sprintf(format, args...), Ran: NotRun}
}

// After sets when coming back helps.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WhichRan sets what is known about the run.
func (r *Refusal) WhichRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

// problem is the wire form (RFC 9457).
type problem struct {
	Type  string `json:"type"`
	Title string `json:"title"`
	*Refusal
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// JSON is the problem document.
func (r *Refusal) JSON() []byte {
	p := problem{
		Type:         "urn:goldcrestfork:problem:" + string(r.Code),
		Title:        http.StatusText(r.Status),
		Refusal:      r,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
	// The struct holds only strings and numbers; encoding them cannot fail.
	b, _ := json.Marshal(p)
	return b
}

// Write sends the refusal as the whole response, with when to come back in whole seconds.
func (r *Refusal) Write(w http.ResponseWriter) {
	r.write(w, strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
}

// WriteFine is Write for callers that take fractions of a second: a place that is
// free in 150 ms is otherwise asked for a second later.
func (r *Refusal) WriteFine(w http.ResponseWriter) {
	r.write(w, strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
}

func (r *Refusal) write(w http.ResponseWriter, retryAfter string) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("X-Ran", string(r.Ran))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.JSON())
}
