// Package gather brings the counts of all VMs to the controller of roll-outs.
//
// Each VM sends its counts to one VM of its data centre, the one that rendezvous
// hashing ranks first; that one adds them up and sends a digest to the few VMs
// that may hold the controller's lease. So no VM hears from more than the VMs
// of its data centre or one VM of each data centre, the platform's store carries
// none of it, and a VM that takes the lease over has the counts already.
//
// Digests add up by data centre, and of one data centre's the larger counts win.
// While two VMs both take themselves for the first of their data centre, or
// after one was replaced, requests may be missing from the sum for a while; none
// is ever counted twice.
//
// The package sends nothing; the peer link does.
//
// Lock order: Site.mu and Collector.mu are leaves.
package gather
