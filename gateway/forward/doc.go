// Package forward carries callers' opaque requests to endpoints and the answers
// back: route by host and path, account by key, endpoint by package placement,
// model by package sizing, one more attempt only where the first certainly did not
// run or the request may run again.
//
// Load pattern: endpoints crash, refuse, hang, cut answers off or send bytes of
// another answer, while callers leave, come back and have little time.
//
// Without it: a request that was sent twice books an order twice; an answer that
// breaks off looks complete; a caller waits for its whole time for what was known
// to fail at once.
//
// Lock order: the package holds no locks; each request is one goroutine's.
package forward
