// Package config holds the operators' objects (client accounts, model versions,
// roll-outs, data centres, endpoints, services), their labels and selectors,
// their validation as a whole, and the one root object in the platform that
// carries them all at a revision.
//
// Lock order: Cache.mu is a leaf; no call leaves the package while it is held.
package config
