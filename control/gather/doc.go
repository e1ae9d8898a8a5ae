// Package gather aggregates the request counts of all VMs for the roll-out controller.
//
// Each VM sends its counts to the aggregating VM of its data centre, which is the one
// that rendezvous hashing ranks first. That VM adds them up and sends a digest to the
// few candidates for the controller's lease. A VM therefore receives messages only
// from the VMs of its data centre or from one VM of each data centre, none of this
// traffic goes through the platform's store, and a VM that takes the lease over
// already has the counts.
//
// The controller adds up the digests of different data centres; of several digests of
// one data centre, the larger counts replace the smaller ones. While two VMs both act
// as the aggregating VM of a data centre, or after an aggregating VM was replaced,
// requests may be missing from the sum for a while; no request is ever counted twice.
//
// The package sends nothing; control/loops sends the messages over the peer link.
//
// Lock order: Aggregator.mu and Collector.mu are leaves.
package gather
