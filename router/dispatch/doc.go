// Package dispatch holds the shared tables of one VM: for each pool (a model version or
// a plain service) the queue of waiting requests, and for each endpoint its state. It
// turns the decisions of module policy into tickets: a request that holds a ticket may
// be sent to the ticket's endpoint.
//
// Load pattern: many requests compete for few endpoints, which are added, removed, slow
// down, fail and start cold. If each request picked an endpoint on its own, limits,
// fairness and retry budgets could not be enforced. The constants that govern these
// decisions are in the policy packages; this package only connects them to time and
// goroutines.
//
// Lock order: Dispatcher.mu, then the policy packages' own mutexes, which are leaves. No
// lock is held while a request waits or runs.
package dispatch
