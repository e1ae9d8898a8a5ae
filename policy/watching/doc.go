// Package watching decides, for one VM of a fleet, whether it watches the platform, which other
// VMs it reads from instead, and how often it calls a platform that does not answer.
//
// Load pattern: up to hundreds of VMs each follow five kinds of objects in a store that bills
// each call, refused ones too. The store is unavailable for all, refuses some VMs, or resets
// connections; VMs that watch it are cut off, stop or crash.
//
// Without it: when the two VMs that watch lose the store, all others call it at once and
// continue for seconds. 91 VMs make 710 calls per second in an outage of eight seconds, with
// each of four kinds calling twice a second, and 88 VMs make 400 per second for four seconds
// after both watchers are cut off.
//
// The VMs are ranked by the hash of their names. The first two watch the platform; each other
// VM reads from one ranked before it, in a tree, so that no VM serves many readers and there
// are no cycles. A VM without current state tries others ranked before it. Only the next two of
// the ranking then call the platform at once; the others wait until their own state is too old.
// Only the number of calls depends on this scheme: a reader learns the age of the state it
// gets, and a VM that alone reaches the platform becomes the source of those ranked after it.
//
// The package has no network and no clock; times are arguments, on a clock that runs while the
// VM is suspended.
//
// Lock order: the mutexes of the package are leaves.
package watching
