// Package operator serves the operator API of a VM. It reads objects by kind, name and
// label selector, applies changes atomically, returns the configuration revision with each
// answer, and reports on how many VMs a revision is in force.
//
// The answer to a change states its outcome: accepted (with the revision), not accepted,
// or unknown. An unknown outcome is settled by resending the same change with its Change-Id
// and Change-Since to any VM, since a repeat returns the first result.
//
// The package has no locks.
package operator
