package dispatch

import (
	"time"

	"goldcrestfork/config"
	"goldcrestfork/policy/poison"
)

// Need is what a request needs of an endpoint.
type Need struct {
	// RequestID names the request in the state dump.
	RequestID string
	// Account is the caller's client account.
	Account *config.ClientAccount
	// Class is the request's priority class.
	Class config.Class
	// Deadline is when the answer is worth nothing any more.
	Deadline time.Time
	// Size is the expected work, in output tokens; a plain call counts as one.
	Size float64
	// Pool is the model version, or ServicePool of a service.
	Pool string
	// Prefix are the hashes of the prompt's leading blocks; see picker.Request.
	Prefix []uint64
	// Fingerprint tells a request that crashes endpoints by what it asks.
	Fingerprint poison.Fingerprint
	// Idempotent requests may be attempted again after bytes were sent.
	Idempotent bool
	// Only binds the next attempt to one endpoint, which holds the stream to resume; empty for any.
	Only string

	tried   []string
	resumed string
	made    int
	paid    bool
}

// ServicePool is the pool of a plain service. No version's name holds a '/'.
func ServicePool(service string) string { return "service/" + service }

// weightOf applies the default weight of one.
func weightOf(a *config.ClientAccount) float64 {
	if a.Weight > 0 {
		return a.Weight
	}
	return 1
}
