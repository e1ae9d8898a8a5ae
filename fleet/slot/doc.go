// Package slot keeps a limit exact over all entry VMs together: an endpoint in
// cold start gets no more requests at a time than it bears, whoever sends them.
//
// Load pattern: an endpoint comes back cold while hundreds of VMs have work for
// it. Without a common limit each VM would send its share of what it last knew
// the endpoint to bear, and the cold endpoint would fall over again.
//
// Each endpoint has as many slots as it bears cold. A slot belongs to one process
// by rendezvous over the members of an epoch, a small object in the platform that
// changes only by conditional writes. A process uses its own slots, or borrows an
// idle one from its holder; it never makes one up.
//
// Why two processes never use one slot at once:
//   - A process uses slots of an epoch only while it has evidence, not older than
//     Params.Evidence by its own clock, that the epoch is current. Evidence dates
//     from the asking of a read of the platform that returned it, so it was true then.
//   - Whoever gains a slot learnt of the new epoch after the write, hence after the
//     last moment at which the loser's evidence can start. It waits Params.Wait by
//     its own clock: the evidence's life, the time a grant has to start, and the
//     longest job, stretched by the clocks' drift. Or the loser tells it that the
//     slot is free: it has taken up the epoch, was entitled to the slot itself, and runs nothing on it.
//   - A lender holds a lent slot until its return or until the borrower's job must
//     be over by the lender's clock; the borrower's time to start counts from its
//     asking, so it ends before the lender's.
//   - A restarted process is another member. It knows nothing of the jobs of the
//     one before it and waits like any gainer.
//
// Clocks are never compared; only their rates matter, within Params.Drift.
//
// Lock order: Service.mu is a leaf and guards the Table; it isn't held over a
// call to a peer or the platform.
package slot
