// Package answer is the transport of the processes' clients that use net/http. It returns an answer only if it is
// the whole answer to a request that was written whole, as far as HTTP tells, and has a valid head.
//
// Failure: a process answers a long request at once and resets the connection while the request is still being
// written. The kernel reports the reset once, to the write or to the read. If the write takes it, the read ends as
// after an orderly close, which is the end of an answer that states neither its length nor chunks: a part of the
// answer passes for all of it.
//
// Lock order: conn.mu is a leaf.
package answer
