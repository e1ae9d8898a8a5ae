// Package admission decides which requests of a pool (a model version's or a
// service's endpoints) run now, which wait, and which are refused.
//
// Load patterns: a burst of ten times the usual load for some seconds; one account
// that sends twenty times its share; long jobs among short ones; an overload of
// twice the capacity for minutes, and its end; a pool that loses its endpoints.
//
// Without it: a first-in-first-out queue fills until each request waits for longer
// than a short deadline. At twice the capacity every endpoint is busy, but with
// requests whose deadlines are long: 7% of immediate ones are completed, the others
// are told nothing until they hang up, and their callers send them again
// (docs/DECISIONS.md). One account's flood is everybody's queue, and a till lookup
// waits for reports.
//
// How it decides:
//
//   - An item is refused when it can't be done by its deadline, at the moment that is
//     known: on arrival from the backlog before it, in the queue as soon as the
//     estimate says so. The refusal carries when to come back.
//   - Classes are served in order, immediate first, and lower ones leave some slots
//     free for it. A class whose items would miss their deadlines gets its floor of
//     the work first.
//   - Within a class, accounts share by weight (start-time fair queueing on expected
//     work). An account that has more than its share leaves some slots free while
//     others are active, so that theirs need not wait for its flood; with nobody else
//     active it gets all there is.
//   - Within an account, an item lets shorter ones pass that come within its own
//     expected length.
//
// The queue counts slots (SetCapacity, Next, Done) but doesn't know endpoints.
//
// Lock order: Queue.mu is a leaf.
package admission
