// Package slot enforces a concurrency limit per endpoint exactly across all entry VMs:
// an endpoint in cold start never runs more requests at a time than its cold limit,
// whichever VMs send them.
//
// Load pattern: an endpoint returns cold while hundreds of VMs have queued requests for
// it. Without a common limit each VM would send its share of the endpoint's last known
// capacity, and the cold endpoint would fail again.
//
// Each endpoint has as many slots as its cold limit. Rendezvous hashing over the
// members of an epoch assigns each slot to one process. An epoch is a small object in
// the platform that changes only by conditional writes. A process uses its own slots or
// borrows an idle one from the slot's holder; it never creates slots.
//
// Two processes never use one slot at the same time, for these reasons:
//   - A process uses the slots of an epoch only while its evidence that the epoch is
//     current is younger than Params.MaxEvidenceAge by its own clock. Evidence is dated at
//     the start of the platform read that returned the epoch, so the epoch was current
//     at that time or later.
//   - A process that gains a slot learns of the new epoch after the write, hence after
//     the last moment at which the previous holder's evidence can start. It waits for
//     Params.Wait by its own clock, which covers the validity of the evidence, the time
//     that a grant has to start, and the longest job, extended by the clock drift. The
//     wait ends early if the previous holder hands the slot over: that process has
//     adopted the epoch, was entitled to the slot itself, and runs nothing on it.
//   - A lender reserves a lent slot until it is returned or until the borrower's job
//     must have ended by the lender's clock. The borrower's time to start counts from
//     its request, so it ends before the lender's.
//   - A restarted process is another member. It knows nothing of the jobs of the
//     process before it and waits like any new holder.
//
// Clocks are never compared; only their rates matter, within Params.Drift.
//
// Lock order: Service.mu is a leaf lock that guards the Table. It is not held during a
// call to a peer or the platform.
package slot
