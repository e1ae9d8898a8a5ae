// Package sticky keeps, for a while, which of a few values a key has, over all VMs: which
// version serves a session, for instance. The two VMs that rank first for a key keep it.
//
// Load pattern: hundreds of VMs, requests of one key some seconds apart or at the same time,
// at any VM. Word that VMs pass on by themselves comes seconds late in a large fleet, and a
// VM that has not heard of a key yet decides anew.
//
// A VM asks both keepers before it decides, in one datagram each; a keeper that does not know
// the key takes the value that the VM proposes, so that of two VMs that ask at the same time
// one decides for both. A key is kept while requests hold it and for a rest after the last
// one's end. Keepers that come, go or lose their memory are made good by the other one's
// answer; one that stops hands its keys over first.
//
// Nothing is proof here: a VM that gets no answer must have a value that is safe for a key
// that nobody knows, and tells the keepers what became of it.
//
// Lock order: Service.mu and Board.mu are leaves; none is held over the network.
package sticky
