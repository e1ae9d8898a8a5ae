// Package member keeps each VM's view of the other entry VMs, from heartbeats between
// the VMs and from the platform's list, which lags.
//
// Load pattern: 400 VMs of which 306 a day fail or are replaced, regions that lose
// contact with each other for minutes, and a store that is unavailable for long
// periods. Without the heartbeats a caller would be sent to dead VMs for as long as the
// list lags, and while the store is down no VM would learn that another one leaves.
//
// Each VM pings a fixed number of others per tick and each ping is answered, so the
// cost per VM doesn't grow with the fleet. Changes are sent first in the messages and
// reach all VMs in about log(n) ticks. The rest of a message cycles through the digests
// of the fleet, so load values are older in a larger fleet.
//
// A view never proves that a VM is alive or dead. Only one question has a reliable
// answer, whether this VM may act on its view: Table.Fresh measures by this VM's own
// monotonic clock from the sending of a ping that was answered. A paused VM therefore
// finds its views outdated, however many old messages wait in its socket.
//
// Lock order: Service.mu is a leaf lock that guards the Table. It is not held during a
// call to the link or the platform.
package member
