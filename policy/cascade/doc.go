// Package cascade chooses the model versions that a request is tried on, cheapest
// first, and decides whether an answer reaches the account's quality target.
//
// It serves a mix of requests: a cheap version answers many of them well, others
// need the best version, and the rating service is slow or down at times. Without
// the package, every request would cost as much as the best version, or every
// answer would have the quality of the cheapest one.
//
// No part of a discarded answer may reach the caller. The answer of a step that may
// still be discarded is therefore buffered until it is accepted, so the caller's
// first token waits for the whole answer and its rating. The answer of a plan's
// last step can't be discarded and is streamed. A request gets a plan of one step
// if its class does not tolerate the wait (config.ClassImmediate), if it may run
// only once, or if its session is pinned to a version.
//
// The package uses no network and no clock: time and randomness are arguments.
//
// Lock order: Learner.mu is a leaf; no call leaves the package while it is held.
package cascade
