// Package pace tells slow answers from usual ones by the times that the same kind of answer takes.
//
// Load pattern: answers of one route differ in the length of their prompts and in their number of
// events by more than a slow version differs from a good one. A version may give its events several
// times as slowly as usual although its heads come in time, and callers give such answers up before
// they end.
//
// Without it: the time to the head alone, against a mean that long prompts raise, takes a version
// for good that slows half of its answers eight times.
//
// The package has no network and no clock.
package pace
