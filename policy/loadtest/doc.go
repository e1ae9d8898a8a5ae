// Package loadtest measures the decisions of the policy packages under load, in
// virtual time.
//
// It models one pool: callers that resend requests, a few VMs that decide
// independently with the real modules (or with a plain baseline in their place),
// and endpoints that share their processing time among the requests they run. It
// does not simulate the whole system: it has no network, no membership and no
// store, and the endpoints' slots are divided among the VMs once. All results are
// measured from what callers receive.
//
// A run uses one goroutine; nothing in it is safe for concurrent use.
package loadtest
