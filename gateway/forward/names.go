package forward

import (
	"net/http"
	"strings"
)

// HeaderNames are the HTTP headers that carry a request's metadata. The package that defines the
// protocol with callers and endpoints sets them.
type HeaderNames struct {
	// RequestID is the caller's id of this attempt; endpoints echo it in the answer.
	RequestID string
	// Deadline is the time in ms that the caller waits for the answer; towards an endpoint, the
	// time that the VM waits.
	Deadline string
	// Key is the caller's API key, which is never sent to an endpoint. Account is the account
	// name that is sent instead.
	Key, Account string
	// ExpectInstance is the id of the incarnation that the request is meant for; another
	// incarnation at the same address refuses the request.
	ExpectInstance string
	// Load is an endpoint's load as "running,waiting,slots", or "running,waiting,slots,slowdown" with
	// the time that work takes on its machine, in percent of the usual.
	Load string
	// RateLimit is the number of requests a second that an endpoint takes from all VMs together,
	// a decimal number; it applies until an answer comes without it.
	RateLimit string
	// Rest is the time in seconds, a decimal number, for which an endpoint that refuses a request
	// with 503 wants nothing more from this VM.
	Rest string
	// Leaving is set in all answers of an endpoint that is about to stop.
	Leaving string
	// Brittle is the number of requests that an endpoint can turn away in a second for want of room
	// without falling over, set in all its answers while it is brittle.
	Brittle string
	// NotRun marks an endpoint's refusal of a request that it did not run.
	NotRun string
	// Signature is the endpoint's signature of an answer; a success without it is not accepted.
	Signature string
	// Confidence is the model's confidence in its answer, 0 to 100.
	Confidence string
	// Model is the model that the caller asks for; towards an endpoint, the model that must run
	// the request. PromptParts are the prompt's parts as a list of ID:TOKENS.
	Model, PromptParts string
	// TokenCounts are a request's prompt tokens and the most output tokens, as "PROMPT,OUTPUT", and
	// LengthHint is the caller's estimate of its output tokens.
	TokenCounts, LengthHint string
	// Priority is the urgency of a request towards an endpoint, 0 (first) to 9.
	Priority string
	// Session identifies the conversation that a request belongs to.
	Session string
	// LastEventID is the id of the last event that the caller has received of a stream.
	LastEventID string
	// ColdRemaining is the time in ms that an endpoint remains in cold start.
	ColdRemaining string
	// Forwarded is set on a request that a VM without paths to endpoints sends to another VM.
	Forwarded string
	// Counted is set on a request that a VM sends to another one, and on that one's refusal of it, if a
	// VM has counted the request's first attempt: an endpoint may have received it.
	Counted string
	// OtherAnswer are further headers of endpoints' answers, which are passed on as they are.
	OtherAnswer []string
	// Owned are the headers that only the system sets; they are removed from a caller's
	// request.
	Owned []string
}

// hopHeaders apply to a single connection and are not forwarded (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// endToEnd returns a copy of the headers without those that apply to a single connection.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for k, v := range h {
		out[k] = v
	}
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}
