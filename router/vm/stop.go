package vm

import (
	"context"
	"time"
)

const (
	// flushTimeout bounds the time in which a planned stop writes outcomes that the store
	// has not accepted yet. After a longer outage their claims stay "unknown".
	flushTimeout = 20 * time.Second
	// methodBills hands unwritten bills to a VM that keeps running.
	methodBills = "bills.accept"
)

// flushOutstanding writes the outstanding outcomes to the store, and the outstanding
// bills to the store or, while the store is down, to another VM.
func (v *VM) flushOutstanding(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if left := v.claims.Close(ctx); left > 0 {
		v.log.Warn().Int("outcomes", left).Msg("stopped with outcomes unrecorded; their claims stay unknown")
	}
	if v.bills.Flush(ctx) == nil {
		return
	}
	// The flush may have used up the timeout, so the peers get one of their own.
	ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	if held := v.bills.Held(); !v.handOverBills(ctx) {
		v.log.Warn().Int("bills", held).Msg("stopped with bills unwritten; they are lost")
	}
}

// handOverBills sends the unwritten bills to the first VM that accepts them.
func (v *VM) handOverBills(ctx context.Context) bool {
	body, err := v.bills.Handover()
	if err != nil {
		return false
	}
	for _, m := range v.fleet.liveOthers() {
		if _, err := v.fleet.Call(ctx, m.ID, methodBills, body); err == nil {
			return true
		}
	}
	return false
}
