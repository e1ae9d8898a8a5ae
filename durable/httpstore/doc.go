// Package httpstore implements the platform's object API over HTTP: a client that
// implements durable.Store, and the messages that a client and a server exchange.
//
// An object has the path /objects/{kind}/{name} and its version as the entity tag. A
// conditional write is a PUT or DELETE with If-Match, and a creation is a PUT with
// If-None-Match: *. GET /objects/{kind} returns a listing; with ?watch=REVISION it
// returns a stream of JSON lines. GET /vms returns the list of VMs.
//
// The client decides which failed writes had no effect. A write that got no connection
// sent no byte, and the status 429 or 503 states that the platform did not accept the
// call; both give ErrUnavailable (ErrOverRate wraps it). A write with another server
// error or without a complete reply gives ErrUnknown.
package httpstore
