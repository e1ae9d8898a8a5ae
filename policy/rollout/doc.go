// Package rollout chooses the model version of each new session or request during a
// roll-out, and decides whether the roll-out may advance.
//
// It protects callers against a new version that is worse than the old one in
// errors, latency or ratings, at the same time as both versions share other faults:
// a pool that goes down, a slow store, or a caller that resends a request that
// crashes endpoints. Without the package, callers would discover a bad version and
// an operator would have to roll it back by hand.
//
// Choose is a deterministic function of a key and the roll-out, so all VMs make the
// same choice without communication. It is monotone: a key that gets the new
// version keeps it when the share rises.
//
// Monitor compares the versions with a sequential test on bad events (see
// evidence.go). For a whole epoch the test depends only on totals, so any VM that
// has the counts reaches the same verdict, including a VM that takes over the
// roll-out midway. The windows, which detect a version that degrades late, restart
// on the VM that takes over.
//
// Counts belong to one epoch, which is the configuration revision of the roll-out.
// Within an epoch the share is constant and both versions receive the same mix of
// requests.
//
// The package uses no network and no clock.
//
// Lock order: Recorder.mu is a leaf; no call leaves the package while it is held.
package rollout
