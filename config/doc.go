// Package config holds the operators' objects (client accounts, model versions, roll-outs, data
// centres, endpoints, services) with their labels and selectors, validates them as a whole, and
// stores them in one root object in the platform, which has a revision.
//
// An Editor applies changes, and a Cache holds the configuration in force on a VM. Package
// staleness decides whether a VM may take work under its configuration; package exchange
// transfers the configuration between VMs.
//
// Lock order: no two of the locks in this package (Cache.mu, poller.mu) are held together, and
// only counters are called while one is held.
package config
