// Package tally adds up, at one VM of each data centre, the work that all VMs have under
// way at each endpoint, so that whoever places a request knows the load of the fleet and
// not only its own part of it.
//
// Load pattern: some dozens of VMs before some dozens of engines, requests whose prompts
// differ a hundredfold in size. Without it each VM sees one in 88 of the requests and
// chooses nearly at random: engines queue for seconds beside others that are idle.
// Load passed on twice a second doesn't do: all VMs then move to the same engine.
//
// A VM asks the keeper of its data centre just before it places a request, tells it what
// it has under way in the same datagram, and tells it again when that changes. Each
// report is the VM's whole state, so that a lost one is made good by the next. Keepers
// tell each other their sums some times a second, which the data centres' distance and
// the bytes between them allow.
//
// A VM also says which endpoints broke or refused its connections a moment ago. A
// crashed engine has the least work of all and would be the first choice of each of 88
// VMs until it had learnt for itself, and requests that found several dead ones in a row
// were refused.
//
// Twice a second a VM tells what became of its attempts lately, by endpoint, and is answered
// with the sums over the fleet. An endpoint that fails one in three of its requests is met by
// each of hundreds of VMs once or twice in that time, which tells none of them anything.
//
// Nothing rests on it but the quality of a choice: a VM whose keeper is silent waits a
// few ms once, goes to the next keeper, and chooses by what it has itself under way.
//
// Lock order: Service.mu, Board.mu; none is held over the network.
package tally
