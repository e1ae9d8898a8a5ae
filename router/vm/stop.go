package vm

import (
	"context"
	"time"
)

const (
	// settleTimeout bounds how long a planned stop keeps at the outcomes that the store
	// has not taken yet; an outage that is longer leaves their claims "unknown".
	settleTimeout = 20 * time.Second
	// methodBills hands bills over to a VM that goes on.
	methodBills = "bills.accept"
)

// settle hands over what this VM still owes: outcomes to the store, bills to the
// store or, while that is down, to another VM.
func (v *VM) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if left := v.claims.Close(ctx); left > 0 {
		v.log.Warn().Int("outcomes", left).Msg("stopped with outcomes unrecorded; their claims stay unknown")
	}
	if v.bills.Flush(ctx) == nil {
		return
	}
	// The store's time is over; the peers get their own.
	ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if held := v.bills.Held(); !v.handBillsOver(ctx) {
		v.log.Warn().Int("bills", held).Msg("stopped with bills unwritten; they are lost")
	}
}

// handBillsOver gives the unwritten bills to the first VM that takes them.
func (v *VM) handBillsOver(ctx context.Context) bool {
	body, err := v.bills.Handover()
	if err != nil {
		return false
	}
	for _, m := range v.fleet.live() {
		if _, err := v.fleet.Call(ctx, m.ID, methodBills, body); err == nil {
			return true
		}
	}
	return false
}
