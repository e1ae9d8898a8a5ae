// Package peer connects entry VMs over QUIC, with calls that have a reply and with
// unreliable datagrams. Both sides authenticate with a certificate of the fleet's CA.
//
// The error of a call says whether the other VM may have run it: ErrNotSent means that
// it did not, ErrOutcomeUnknown that it may have, and *RemoteError that it ran and
// returned an error.
//
// Lock order: Link.mu, conn.mu, Link.tasksMu. None is held during network I/O.
package peer
