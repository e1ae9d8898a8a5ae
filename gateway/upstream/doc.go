// Package upstream is the HTTP/1.1 client of endpoints. It sends each request
// exactly as often as it is told to: net/http's own client repeats a request by
// itself when a kept connection turns out closed, which an endpoint may have run.
//
// Load pattern: connections are kept and cost a round trip and a price when made
// anew; endpoints close idle ones, add late second answers to them, or crash.
//
// An error says whether the request may have run (Error.Sent). An answer belongs to
// its request only if it echoes the request's id; others on the connection are read
// past.
//
// Lock order: Pool.mu is a leaf and not held over the network.
package upstream
