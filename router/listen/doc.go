// Package listen bounds what clients take of a process before a handler sees their requests: connections, the
// memory of requests' heads, and the time for which they keep a connection in use. It reads bodies into buffers
// that the process counts.
//
// Failure: net/http bounds the bytes of one head, not the memory that its fields take. 64 KB of fields of a few
// bytes each take over a megabyte as a map, and a process that serves some hundred connections ends.
//
// A head of the usual size costs nothing here, it is in what a connection counts for. What a larger one takes is
// estimated from its bytes and lines while it arrives, and taken from one bound for all connections of the
// process until its request ends. Without room a head waits for a short time and is then refused with 503: no
// part of the request has run, and none will.
//
// net/http waits without end for a body that a handler doesn't read, and for a client that doesn't read its answer.
// Such clients would keep all connections of a listener.
//
// Lock order: Connections.mu, conn.mu and Guard.mu are leaves.
package listen
