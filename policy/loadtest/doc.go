// Package loadtest measures the decisions of policy under load, in virtual time.
//
// It models one pool: callers that come back, a few VMs that decide apart with the
// real modules (or a plain baseline in their place), and endpoints that share their
// time among the requests they run. It is no simulator of the system: there is no
// network, no membership and no store in it, and the slots are dealt to the VMs
// once. Every figure is judged from what callers receive.
//
// One goroutine runs a whole measurement; nothing in it is safe for concurrent use.
package loadtest
