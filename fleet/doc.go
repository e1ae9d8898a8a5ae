// Package fleet groups the libraries by which the entry VMs act together:
//
//	rendezvous  ranks ids for a key
//	peer        calls and datagrams between VMs with credentials, over QUIC
//	datagram    packets between VMs over UDP
//	member      membership of VMs with credentials
//	gossip      membership of VMs without credentials, over datagrams
//	address     the VMs that a caller should use
//	slot        exact concurrency limits over all VMs
//	tally       sums of the endpoints' load over all VMs
//	sticky      small values shared by all VMs for a limited time
//
// Lock order, outermost first: member.Service, slot.Service, member.Table,
// slot.Table, peer.Link, peer's connections. No lock is held over a peer call, a
// platform call or a callback.
package fleet
