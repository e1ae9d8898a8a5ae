// Package dispatch holds the shared tables of one VM: for each pool (a model
// version or a plain service) the queue of waiting requests, and the state of
// each endpoint. It turns the decisions of module policy into tickets: a request
// that holds a ticket may be sent to the ticket's endpoint.
//
// Load pattern: many requests for few endpoints, which come, go, slow down, fail
// and start cold. Without it each request would pick an endpoint for itself, and
// limits, fairness and retry budgets would hold for nobody. The figures are those
// of the policy packages; this one only wires them to time and goroutines.
//
// Lock order: Dispatcher.mu, then the policy packages' own mutexes, which are
// leaves. No lock is held while a request waits or runs.
package dispatch
