// Package ledger decides the value of a key once for the whole fleet and keeps the decision in
// the platform's object API. Its uses are claims of requests that may run at most once, and
// session pins. Bills are in package bill, pin tokens in package pin.
//
// The digest of a key selects one of ShardCount shards. A shard consists of a head object,
// which every write replaces conditionally, and of immutable segments that the head refers to.
// All operations that wait for a shard are committed in one write (group commit). The VM that a
// Forwarder names as a shard's owner batches the operations of the other VMs; this only reduces
// write conflicts. Correctness depends on the conditional write alone: any VM may commit to any
// shard at any time.
//
// Lock order: Ledger.mu, then shard.mu; the other mutexes are leaves. No lock is held during a
// call to the platform, to a peer or to a caller.
package ledger
