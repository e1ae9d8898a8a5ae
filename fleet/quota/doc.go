// Package quota shares the request limits of endpoints among all VMs. The VM that ranks first
// for an endpoint, its keeper, grants each request that any VM wants to send there.
//
// Load pattern: seven to hundreds of VMs send to endpoints that each take a few requests a
// second in all. Splitting a limit in equal parts leaves most of it unused in a large fleet,
// and a VM without a part refuses requests that others could send.
//
// A VM asks the keeper just before it sends a request, with one datagram. The keeper is in the
// endpoint's region, so that the question takes no longer than the request itself. If the keeper
// is silent, the VM asks the one that ranks second, its deputy, which grants a small part of the
// limit. If that one is silent too, the request isn't sent to the endpoint.
//
// A VM that isn't in touch with most of the VMs that it knows, as after its start or in a
// partition, decides as a deputy: others may rank first without its knowledge.
//
// A keeper keeps nothing beyond its process: one that takes over begins with a full bucket.
//
// Lock order: Service.mu is a leaf and isn't held over the network.
package quota
