// Package patience decides how long a retryable request waits for the head of its answer at
// one endpoint before that endpoint is asked to stop, so that the request can be sent to another.
//
// Load pattern: an endpoint accepts connections and requests but never answers some of them; it
// is healthy otherwise and answers other requests. At other times an overload delays all
// answers, and sending each request twice delays them further.
//
// Without it: a caller waits until its deadline, or until it disconnects, although other endpoints
// would answer within tens of milliseconds.
//
// The package has no network and no clock.
//
// Lock order: the mutex of the package is a leaf.
package patience
