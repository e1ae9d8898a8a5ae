// Package cascade decides on which model versions a request is tried, cheapest
// first, and whether an answer is good enough for the account's quality target.
//
// Load pattern: many requests that a cheap version answers well, mixed with some
// that only the best one does, and a rating service that is at times slow or down.
// Without it every request pays the best version's price, or every answer has
// the cheap one's quality.
//
// Nothing of a discarded answer may reach the caller. A step that may still be
// discarded is therefore buffered until Judge accepts it: the caller's first
// token waits for the whole cheap answer and its rating. A plan's last step
// can't be discarded and streams. Requests that can't bear the wait
// (config.ClassImmediate), that may run only once, or whose session is pinned
// to a version get a plan of one step.
//
// The package uses no network and no clock: time and randomness are arguments.
//
// Lock order: Learner.mu is a leaf; no call leaves the package while it is held.
package cascade
