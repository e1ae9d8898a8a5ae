// Package refusal holds the final answers other than the result that a caller asked for.
// Each has a stable code and states whether the request ran, as far as this is certain,
// and when a retry helps.
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
	// NotRun: no byte of the request was sent to an endpoint, or the endpoint answered
	// that it did not run the request.
	NotRun Ran = "not run"
	// DidRun: an endpoint ran the request, at least in part.
	DidRun Ran = "ran"
	// Unknown: the request may have run. A request that must not be repeated is not run
	// again.
	Unknown Ran = "unknown"
)

// Code is the reason of a refusal. Codes are stable across releases.
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

// Refusal is a final answer other than the result. It implements error.
type Refusal struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Code is the stable reason.
	Code Code `json:"code"`
	// Detail is a description for a person.
	Detail string `json:"detail"`
	// Ran is what is known about the run.
	Ran Ran `json:"ran"`
	// RetryAfter is the delay after which a retry helps; 0 if a retry does not help.
	RetryAfter time.Duration `json:"-"`
	// RequestID identifies the request in bills, metrics and the state dump.
	RequestID string `json:"requestId,omitempty"`
}

// Error returns the code, the detail and what is known about the run.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s (%s)", r.Code, r.Detail, r.Ran) }

// New returns a refusal of a request that did not run.
func New(status int, code Code, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Detail: fmt.Sprintf(format, args...), Ran: NotRun}
}

// WithRetryAfter sets the delay after which a retry helps, and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithRan sets what is known about the run, and returns r.
func (r *Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

// problem is the problem document sent to the caller (RFC 9457).
type problem struct {
	Type  string `json:"type"`
	Title string `json:"title"`
	*Refusal
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// JSON returns the problem document.
func (r *Refusal) JSON() []byte {
	p := problem{
		Type:         "urn:goldcrestfork:problem:" + string(r.Code),
		Title:        http.StatusText(r.Status),
		Refusal:      r,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
	// The struct holds only strings and numbers, so encoding can't fail.
	b, _ := json.Marshal(p)
	return b
}

// Write sends the refusal as the whole response. Retry-After is rounded up to whole
// seconds.
func (r *Refusal) Write(w http.ResponseWriter) {
	r.write(w, strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
}

// WriteFine is like Write, but sends Retry-After with fractions of a second for callers
// that accept them. Otherwise capacity that is free in 150 ms would only be requested a
// second later.
func (r *Refusal) WriteFine(w http.ResponseWriter) {
	r.write(w, strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
}

func (r *Refusal) write(w http.ResponseWriter, retryAfter string) {
	h, body := w.Header(), r.JSON()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("X-Ran", string(r.Ran))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}
