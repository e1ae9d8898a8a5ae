// Package durable defines the interface to the platform's object API: versioned
// objects, conditional writes, watches and the list of VMs, which lags. All state that
// must outlive a VM is stored through this interface only.
//
// Lock order: the package holds no lock during a call into another package.
package durable
