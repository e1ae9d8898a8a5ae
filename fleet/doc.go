// Package fleet groups the libraries by which the entry VMs act together:
// rendezvous (ranks ids for a key), peer (the connection between VMs), member
// (membership), address (the VMs that a caller should use) and slot (limits that
// hold over all VMs together).
//
// Lock order, outermost first: member.Service, slot.Service, member.Table,
// slot.Table, peer.Link, peer's connections. No lock is held over a peer call, a
// platform call or a callback.
package fleet
