// Package upstream is the HTTP/1.1 client for endpoints. It sends each request exactly as often
// as its caller asks for: the client of net/http repeats a request by itself when a kept
// connection turns out to be closed, and the endpoint may already have run that request.
//
// Load pattern: connections are kept open, because a new one costs a round trip and a charge.
// Endpoints close idle connections, send a late second answer on them, or crash.
//
// An error states whether the request may have run (Error.Sent). An answer belongs to a request
// only if its head stands between a status line and an empty line without a second status line, is valid, and
// echoes the request's id alone; all other bytes on the same connection are skipped. A connection carries a
// request once, since a late copy of the answer to an earlier sending bears the same id.
//
// Lock order: Pool.mu is a leaf and is not held during network calls.
package upstream
