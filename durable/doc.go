// Package durable is the project's view of the platform's object API: versioned
// objects, conditional writes, watches and the lagging list of VMs. Everything
// that must outlive a VM is kept through this interface and nowhere else.
//
// Lock order: the package holds no lock across a call into another package.
package durable
