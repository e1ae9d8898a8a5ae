// Package forward proxies callers' opaque requests to endpoints and passes the answers back. It
// finds the route by host and path, the account by key, the endpoint with package placement and
// the model with package sizing. A request is sent to another endpoint only if the first one
// certainly did not run it or if it may run more than once.
//
// Load pattern: endpoints crash, refuse requests, hang, cut answers off or send bytes of
// another answer, while callers disconnect, reconnect and have short deadlines.
//
// Without it: a request that is sent twice books an order twice; a truncated answer looks
// complete; a caller waits until its deadline for a failure that was known at once.
//
// Lock order: the package holds no locks; each request is handled by one goroutine.
package forward
