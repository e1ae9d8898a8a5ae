// Package view holds one VM's copy of the operators' objects and of the endpoints' entries. It
// lists each kind of object once, follows its changes, and tracks when the copy was last known
// to be the newest.
//
// Load pattern: the platform's store is unavailable or slow, drops its history, or refuses some
// VMs while it serves others and the operators. Endpoints' entries expire in the store during
// an outage and reappear after it.
//
// Without this package, a VM that can't read the revocation of a key keeps accepting that key,
// and when the store returns without the endpoints' entries, all requests are refused for
// seconds although every endpoint is up.
//
// Ages are measured with a clock that includes the time in which the VM is suspended, so that a
// resumed VM does not take an old copy for a fresh one.
//
// Lock order: View.mu, then the mutex of the table in package placement, which is a leaf.
package view
