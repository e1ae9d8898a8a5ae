// Package lease keeps all but one VM from running a control loop.
//
// A lease only saves work. It can't keep two VMs apart: its holder may be paused
// between the check and the act. What it guards must also be a conditional
// write, or carry a fencing number.
//
// Two clocks are never compared. The holder counts from the moment before it
// sent the renewal; the others count from the moment after they saw it, and
// wait longer. So, where both clocks run, the holder gives up first.
//
// Lock order: Lease.tick, which is held over a round's platform calls, before
// Lease.mu, a leaf that is never held over a call.
package lease
