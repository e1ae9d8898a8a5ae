// Package control holds what the control loops share: their interface to the
// configuration that they read and change.
//
// Every VM may run the loops. control/lease lets one VM at a time act, which only
// saves work; no step takes effect twice because each step is a conditional write on
// the object that it changes. control/rollouts advances and rolls back roll-outs,
// control/orders sends endpoints their orders, and control/gather aggregates the
// counts of all VMs.
//
// Lock order: the package has no locks. Each package of the loops documents its own;
// none calls another of these packages while it holds a lock.
package control
