// Package fleet groups the libraries by which the entry VMs act together:
// rendezvous (who is preferred for a key), peer (the link between VMs), member
// (who is there), address (which VM a caller uses) and slot (limits that hold
// over all VMs together).
//
// Lock order, outermost first: member.Service, slot.Service, member.Table,
// slot.Table, peer.Link, peer's connections. No lock is held over a peer call, a
// platform call or a callback.
package fleet
