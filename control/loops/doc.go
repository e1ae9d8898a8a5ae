// Package loops wires the control loops of one VM: the leases, the controller of
// roll-outs with its counts, the controller of orders.
//
// Every VM runs it. Which VMs are candidates for a lease, and which is the first
// of its data centre, follows from the list of live VMs by rendezvous; VMs that
// know unlike lists may disagree for a while, which costs messages or delays a
// step and is made good by the conditional writes underneath.
//
// Lock order: Loops.mu is a leaf.
package loops
