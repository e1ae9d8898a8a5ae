// Package ledger decides a key once for the whole fleet and keeps the decision
// in the platform's object API: claims of requests that may run at most once,
// and session pins. Bills are in package bill, pin tokens in package pin.
//
// A key's digest picks one of ShardCount shards. A shard is a head object, which
// every write replaces conditionally, and immutable segments that the head
// names. All operations that wait for a shard go into one write (group commit).
// The VM that a Forwarder names gathers for a shard; that only saves conflicts.
// Correctness is the conditional write: a VM may commit to any shard at any time.
//
// Lock order: Ledger.mu, then shard.mu; the others are leaves. No lock is held across a call to the
// platform, a peer or a caller.
package ledger
