// Package peer is the link between entry VMs: calls with a reply and unreliable
// datagrams over QUIC, both sides proved by a certificate of the fleet's CA.
//
// A call's error says whether the other VM may have run it: ErrNotSent means
// that it did not, ErrOutcomeUnknown that it may have, *RemoteError that it
// ran and answered with an error.
//
// Lock order: Link.mu, conn.mu, Link.tasksMu. None is held over the network.
package peer
