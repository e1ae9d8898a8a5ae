// Package view is what one VM believes of the operators' objects and the endpoints:
// it lists each kind once, follows its changes, and says how fresh that is.
//
// Load pattern: the platform's store is away, slow, forgets its history, or turns
// some VMs away while it serves others and the operators; endpoints' entries lapse
// in the store while it is away and come back with it.
//
// Without it: a VM that can't see a key taken away goes on honouring it; when the
// store returns without the endpoints' entries, all requests are refused for seconds
// while every endpoint lives.
//
// Ages are measured by a clock that runs while the VM is suspended: a VM that slept
// for some seconds must not take its old proof for a fresh one.
//
// Lock order: View.mu, then the table of package placement, which is a leaf.
package view
