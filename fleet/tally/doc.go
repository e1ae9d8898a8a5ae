// Package tally adds up the work that all VMs have under way at each endpoint, so that a VM
// places a request by the load of the whole fleet and not only by its own part of it.
//
// Load pattern: dozens of VMs in front of dozens of engines, with requests whose prompts
// differ a hundredfold in size. In a fleet of 88 VMs, each VM sees one in 88 of the requests;
// without the others' load its choice is nearly random, and some engines queue for seconds
// while others are idle. Exchanging loads twice a second is not enough: all VMs then move to
// the same engine.
//
// One VM of each data centre, the keeper, sums the reports of that data centre's VMs. A VM
// queries the keeper just before it places a request; the same datagram reports the VM's own
// work, and the VM reports again when its work changes. Each report is the VM's whole state,
// so that a later report makes up for a lost one. Keepers send their sums to each other
// several times a second, a rate that fits the latency and the traffic between data centres.
//
// A VM also reports the endpoints that recently broke or refused its connections. A crashed
// engine has the least work of all, so each VM would choose it first until its own attempt
// failed, and a request that met several crashed engines in a row would be refused.
//
// Twice a second a VM reports the outcomes of its recent attempts by endpoint, and receives
// the sums over the fleet. In a fleet of hundreds, a VM sends an endpoint only one or two
// requests in that time, too few to detect an endpoint that fails one in three.
//
// At the same times VMs exchange sums (Sum): pairs of figures of other parts of a VM that add up over
// the fleet, such as the work that accounts ask for.
//
// Only the quality of a choice depends on this package: if a VM's keeper is silent, the VM
// waits a few ms once, turns to the next keeper, and chooses by its own work under way.
//
// Lock order: Service.mu, Aggregator.mu; none is held over the network.
package tally
