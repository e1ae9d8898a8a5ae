// Package catalog holds the operators' wishes for opaque requests as one VM knows
// them: routes by host and path prefix, services, client accounts with their keys,
// roll-outs, data centres that are out, and the endpoints that serve. Values are
// immutable once published; a change is a new value.
//
// It has no network, no clock and no locks.
package catalog
