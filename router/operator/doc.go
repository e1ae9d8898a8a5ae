// Package operator serves the operators' API on each VM: objects with labels and
// selectors, changes that are accepted whole or not at all, the revision in each
// answer, and how far a revision is in force.
//
// An answer to a change says what became of it: accepted (with its revision), not
// accepted, or unknown. Unknown is settled by sending the same change again with
// its Change-Id and Change-Since, to any VM: a repeat returns the first result.
//
// The package has no locks.
package operator
