// Package catalog holds the configuration for opaque requests as one VM knows it: routes by
// host and path prefix, services, client accounts with their keys, roll-outs, and the
// endpoints. Values are immutable once published; a change is a new value.
//
// The package makes no network calls, reads no clock and holds no locks.
package catalog
