// Package member keeps each VM's view of the other entry VMs, from heartbeats
// between them and the platform's lagging list.
//
// Load pattern: 400 VMs of which 306 a day fail or are replaced, regions that
// lose each other for minutes, a store that is away for long. Without it a
// caller would be sent to dead VMs for as long as the list lags, and with the
// store away nobody would learn of a leaving VM at all.
//
// Each VM pings a fixed number of others a tick and each ping is answered, so
// the cost of a VM doesn't grow with the fleet. Changes travel first in the
// messages and reach all VMs in about log(n) ticks; the rest of a message turns
// through the fleet, so that loads get older as it grows.
//
// A view is never proof that a VM is alive or dead. Only the answer to the
// question "may I act on my view" is safe: Table.Fresh measures by this VM's own
// monotonic clock from the sending of a ping that was answered, so a paused VM
// finds its views old however many stale messages wait in its socket.
//
// Lock order: Service.mu is a leaf and guards the Table; it isn't held over a
// call to the link or the platform.
package member
