// Package admission decides which requests of a pool run now, which wait in a queue
// and which are refused. A pool is the set of endpoints of one model version or one
// service.
//
// The queue is designed for bursts of ten times the usual load for some seconds, one
// account that sends twenty times its share, long jobs mixed with short ones, an
// overload of twice the capacity that lasts minutes and then ends, and a pool that
// loses its endpoints.
//
// A first-in-first-out queue fails under these loads: it fills until every request
// waits for longer than a short deadline. At twice the capacity all endpoints are busy
// with requests that have long deadlines, only 7% of the immediate requests complete,
// and the callers of the others get no answer, time out and send them again
// (docs/DECISIONS.md). The flood of one account delays all accounts, and short
// lookups wait behind long reports.
//
// The queue follows these rules:
//
//   - An item that cannot complete by its deadline is refused as soon as this is known:
//     on arrival, from the backlog ahead of it, or while it waits, when the estimate
//     shows it. The refusal contains the time after which the caller may retry.
//   - Classes are served in order, immediate first. Lower classes leave some slots free
//     for immediate requests. A class whose items would miss their deadlines first gets
//     its guaranteed minimum share of the work.
//   - Within a class, accounts share the work by weight (start-time fair queueing on
//     the expected work). While other accounts are active, an account above its share
//     leaves some slots free, so that the others do not wait behind its backlog. An
//     account that is active alone may use all slots.
//   - Within an account, a shorter item overtakes an item if it arrives within the
//     expected service time of that item.
//
// The queue counts slots (SetCapacity, Next, Release) and has no knowledge of endpoints.
//
// A Gate decides for the whole fleet instead, without a queue: on each VM it admits the requests of
// one service or refuses them at once, by fair shares that all VMs compute from the same sums of
// demand (docs/design/fleet-admission.md).
//
// Lock order: Queue.mu and Gate.mu are leaves.
package admission
