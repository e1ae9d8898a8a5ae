// Package gossip is how the VMs of a small deployment hear of each other without a
// call to the platform: each sends a datagram with its state to the others some times
// a second, and what they need to add up over the fleet travels in it.
//
// Load pattern: VMs are killed, lose power, are cut off, stopped in turn and added,
// while callers ask any of them which to use. Without it a caller is sent to a dead
// VM for as long as the platform's entry stays, which is for ever.
//
// It differs from package member, which serves fleets of hundreds with credentials
// of their own: these machines bring no credentials, and datagrams stay on the ports
// between them. Nothing that is heard is proof of anything but that a VM lived a
// moment ago; no request runs because of it.
//
// Package member's indirect pings and turns over all rows aren't needed either: each
// VM is heard by itself, at a rate that falls as the fleet grows (fanout).
//
// Lock order: Table.mu is a leaf.
package gossip
