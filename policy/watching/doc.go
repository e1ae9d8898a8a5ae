// Package watching decides, for one VM of a fleet, whether it watches the platform, which
// other VMs it reads from instead, and how often it asks a platform that doesn't answer.
//
// Load pattern: some to hundreds of VMs that each follow four kinds of objects, before a
// store that bills each call, refused ones too. The store is away for all, turns some
// VMs away, or resets connections; VMs that watch it are cut off, stop or crash.
//
// Without it: when the two VMs that watch lose the store, all others ask it at once and
// go on for seconds. 91 VMs made 710 calls a second in an outage of eight seconds, each of
// four kinds asking twice a second, and 88 VMs made 400 a second for four seconds after
// both watchers had been cut off.
//
// The VMs are ranked by the hash of their names. The first two watch; the others read
// from one ranked before them, in a tree, so that no VM feeds many and none read in a
// circle. A VM without word tries others ranked before it; only the next two of the
// ranking ask the platform at once, the others when their own word is too old. Nothing
// rests on it but the number of calls: whoever reads from another VM is told how old the
// word is, and a VM that is served alone becomes the source of those ranked after it.
//
// The package has no network and no clock; times are arguments, on a clock that goes on
// while the VM is suspended.
//
// Lock order: the mutexes of Peers and Outage are leaves.
package watching
