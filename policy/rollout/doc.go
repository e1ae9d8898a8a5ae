// Package rollout decides which version a new session or request gets while a
// roll-out is under way, and whether the new version may have more work.
//
// Load pattern: a new version that is worse than the old one in errors, latency
// or ratings, met while both share whatever else goes wrong (a pool that dies, a
// slow store, a caller that repeats a request that crashes endpoints). Without
// it a bad version is found by its callers, and a step is taken back by hand.
//
// Choose is a deterministic function of a key and the roll-out, so that all VMs
// agree without asking each other, and monotone: a key that has the new version
// keeps it when the share rises.
//
// Monitor compares the versions by a sequential test on bad events (see
// evidence.go). Over an epoch the test depends on totals alone, so any VM that
// has the counts comes to the same verdict, also one that takes a roll-out over
// halfway; its windows, for a version that turns bad late, start anew there.
//
// Counts belong to one epoch, the roll-out's configuration revision: within it
// the share is constant, and both versions see the same mix of requests.
//
// The package uses no network and no clock.
//
// Lock order: Recorder.mu is a leaf; no call leaves the package while it is held.
package rollout
