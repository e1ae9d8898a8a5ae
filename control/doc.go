// Package control holds what the control loops share: the view of the
// configuration that they read and change.
//
// Every VM may run the loops. control/lease keeps most of them idle, which only
// saves work; what keeps a step from being taken twice is that each is a
// conditional write on the object it changes. control/rollouts moves roll-outs,
// control/orders gives endpoints their orders, control/gather brings the counts
// of all VMs together.
//
// Lock order: the package has no locks. The loops' packages name theirs; none
// calls another of them while it holds one.
package control
