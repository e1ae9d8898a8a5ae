// Package gossip tracks which VMs are alive without a call to the platform. Each VM
// sends a datagram with its state to other VMs several times a second; the datagram
// also carries the values that are summed over the fleet.
//
// Load pattern: VMs are killed, lose power, are partitioned, restarted in turn and
// added, while callers ask any of them which VMs to use. The platform's entry of a dead
// VM is never removed, so without this package callers would be sent to dead VMs.
//
// Package member serves fleets of hundreds of VMs that have credentials of their own.
// The VMs here have none, and their datagrams stay on the ports between VMs. A datagram
// proves only that its sender was alive a moment ago; no request is run because of it.
//
// This package has no indirect pings and no rotation over all rows as package member
// has: each VM sends its own state, at a rate per receiver that falls as the fleet grows
// (see fanout).
//
// Lock order: Table.mu is a leaf.
package gossip
