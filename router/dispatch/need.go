package dispatch

import (
	"time"

	"goldcrestfork/config"
	"goldcrestfork/policy/poison"
)

// Need holds what a request requires of an endpoint. It carries state from attempt to
// attempt and belongs to one request.
type Need struct {
	// RequestID is the request's id in the state dump.
	RequestID string
	// Account is the caller's client account.
	Account *config.ClientAccount
	// Class is the request's priority class.
	Class config.Class
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
	// Size is the expected work, in output tokens; a call of a plain service counts as
	// one.
	Size float64
	// Pool is the model version, or the ServicePool of a service.
	Pool string
	// Prefix are the hashes of the prompt's leading blocks; see picker.Request.
	Prefix []uint64
	// Fingerprint is a hash of the request's content, by which requests that crash
	// endpoints are recognised.
	Fingerprint poison.Fingerprint
	// Parts are the parts of the prompt that other requests may hold too. One of them may be what
	// crashes endpoints.
	Parts []poison.Fingerprint
	// Idempotent requests may be attempted again after bytes were sent.
	Idempotent bool
	// OnlyEndpoint binds the next attempt to the endpoint that holds the stream to
	// resume; empty for any endpoint.
	OnlyEndpoint string

	// tried holds the endpoints that the next attempt must avoid, resumedOn is the
	// endpoint on which a cut stream was last resumed, attempts counts the attempts, and
	// counted is set once the request has been added to the retry budget.
	tried     []string
	resumedOn string
	attempts  int
	counted   bool
}

// ServicePool returns the pool name of a plain service. It can't collide with a model
// version, whose name holds no '/'.
func ServicePool(service string) string { return "service/" + service }

// weightOf returns an account's weight; the default is one.
func weightOf(a *config.ClientAccount) float64 {
	if a.Weight > 0 {
		return a.Weight
	}
	return 1
}
