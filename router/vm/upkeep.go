package vm

import (
	"context"
	"time"

	"goldcrestfork/fleet/rendezvous"
)

const (
	// trimEvery and trimAfter free the tables of shards that this VM has not used for
	// a while, as after another VM took the shard over; any VM reads them again.
	trimEvery = time.Minute
	trimAfter = 10 * time.Minute
	// sweepEvery is how often one VM looks for segments that no head names: they cost
	// space alone, and a look lists all of them.
	sweepEvery = time.Hour
)

// upkeep frees what the ledger needs no more, here and in the store.
func (v *VM) upkeep(ctx context.Context) {
	swept := time.Now()
	for wait(ctx, trimEvery) {
		v.ledger.Trim(time.Now().Add(-trimAfter))
		if time.Since(swept) < sweepEvery {
			continue
		}
		swept = time.Now()
		if rendezvous.Best("ledger-sweep", v.fleet.ids()) == v.settings.VM {
			// What a failed sweep leaves, the next one finds.
			_, _ = v.ledger.Sweep(ctx)
		}
	}
}
