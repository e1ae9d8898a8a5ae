// Package config holds the operators' objects (client accounts, model versions,
// roll-outs, data centres, endpoints, services), their labels and selectors,
// their validation as a whole, and the one root object in the platform that
// carries them all at a revision.
//
// An Editor makes accepted changes, a Cache holds what is in force on a VM. The
// verdict whether a VM may take work under it is in package staleness, which has
// no clock and no network; package exchange carries the configuration between VMs.
//
// Lock order: Cache.mu and the lock of its reports are leaves and never held
// together; nothing but counters is called while one is held.
package config
