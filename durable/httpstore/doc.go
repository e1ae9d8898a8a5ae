// Package httpstore is the platform's object API over HTTP: a client that
// implements durable.Store and the messages that it and a server exchange.
//
// Objects live at /objects/{kind}/{name}; the version is the entity tag, so a
// conditional write is a PUT or DELETE with If-Match, and a creation is a PUT
// with If-None-Match: *. /objects/{kind} lists, the same with ?watch=REVISION
// is a stream of JSON lines. /vms is the list of VMs.
//
// The one decision here is which failures had no effect. A write that got no
// connection sent no byte, and 429 and 503 are the platform's own word that it
// did not take the call; both are ErrUnavailable. Every other write without a
// whole reply is ErrUnknown.
package httpstore
