// Package sticky stores a small value for a key for a limited time, shared by all VMs: for
// instance the version that serves a session. The two VMs that rank first for a key, its
// keepers, store it.
//
// Load pattern: hundreds of VMs, and requests of one key that arrive seconds apart or at the
// same time at any VM. Gossip takes seconds to reach all VMs of a large fleet, and a VM that
// doesn't know the key's value yet would decide differently.
//
// A VM asks both keepers before it decides, with one datagram each. A keeper that doesn't know
// the key stores the value that the VM proposes, so that of two VMs that ask at the same time
// one decides for both. A key is kept while requests hold it and for a retention time after
// the last one's end. If a keeper joins, leaves or loses its memory, the other keeper's answer
// restores the key; a keeper that stops hands its keys over first.
//
// The store is best effort: a VM that gets no answer must fall back on a value that is safe for
// an unknown key, and then sends the keepers the outcome.
//
// Lock order: Service.mu and Store.mu are leaves; none is held over the network.
package sticky
