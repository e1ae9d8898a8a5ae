// Package loops wires up the control loops of one VM: the leases, the roll-out
// controller with its counts, and the order controller.
//
// Every VM runs the loops. Rendezvous hashing over the list of live VMs determines the
// candidates for each lease and the aggregating VM of each data centre. VMs whose
// lists differ may disagree for a while. That only costs messages or delays a step,
// since every step is a conditional write.
//
// Lock order: Loops.mu is a leaf.
package loops
