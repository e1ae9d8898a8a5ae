// Package versiontest simulates the decisions on model versions (cascade, roll-out,
// data centre return) and their plain baselines with the same seeds, and compares
// them by what callers receive. The results are recorded in
// docs/DECISIONS-versions.md.
//
// Each simulation models one decision and not the whole system: the quality of an
// answer is drawn around a value from a table, failures are independent draws, and
// a data centre is a single queue.
package versiontest
