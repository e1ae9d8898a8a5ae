// Package lease elects the one VM that runs a control loop.
//
// A lease only saves work. It doesn't guarantee mutual exclusion, because its
// holder may be paused between the check of the lease and the action. An action
// under a lease must therefore also be a conditional write or carry a fencing
// number.
//
// The clocks of two VMs are never compared. The holder measures the lease from
// just before it sends a renewal; the other VMs measure it from just after they
// observe the renewal, and wait longer. As long as both clocks run, the holder's
// lease expires before another VM takes it over.
//
// Lock order: Lease.roundMu, which is held during a round's platform calls, before
// Lease.mu, a leaf that is never held during a call.
package lease
