package vm

import (
	"context"
	"time"

	"goldcrestfork/fleet/rendezvous"
)

const (
	// trimInterval and trimAge control when the tables of shards that this VM has not
	// used recently are freed, for example after another VM took a shard over. A VM that
	// needs a freed table reads it again.
	trimInterval = time.Minute
	trimAge      = 10 * time.Minute
	// sweepInterval is the interval at which one VM deletes ledger segments that no
	// head refers to. They only cost space, and finding them lists all segments.
	sweepInterval = time.Hour
)

// maintainLedger frees unused ledger data in this VM's memory and in the store.
func (v *VM) maintainLedger(ctx context.Context) {
	lastSweep := time.Now()
	for wait(ctx, trimInterval) {
		v.ledger.Trim(time.Now().Add(-trimAge))
		if time.Since(lastSweep) < sweepInterval {
			continue
		}
		lastSweep = time.Now()
		if rendezvous.Best("ledger-sweep", v.fleet.liveIDs()) == v.settings.VM {
			// The next sweep finds what a failed one leaves.
			_, _ = v.ledger.Sweep(ctx)
		}
	}
}
