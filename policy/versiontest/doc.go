// Package versiontest plays requests against the decisions on versions (cascade,
// roll-out, data centre return) and their plain baselines, with the same seeds,
// and judges them by what callers receive. Its figures stand in
// docs/DECISIONS-versions.md.
//
// The plays are models of one decision each, not of the system: answers have a
// quality drawn from a table, failures are independent draws, a data centre is
// one queue.
package versiontest
