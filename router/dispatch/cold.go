package dispatch

import (
	"context"
	"time"

	"goldcrestfork/policy/limit"
)

// unusedSample is the sample for a slot that was returned without a request.
var unusedSample = limit.Sample{Failed: true}

// coldSlotBackoff is how long this VM requests no further cold slot of an endpoint after
// a failed request for one. A cold engine runs its few requests for a second or more, so
// an earlier attempt would find the slots still taken; a fifth of that time adds little
// delay.
const coldSlotBackoff = 200 * time.Millisecond

// takeCold acquires the cold slot that a ticket needs. It may call other VMs, so it does
// not hold d.mu during the call.
func (d *Dispatcher) takeCold(ctx context.Context, t *Ticket) bool {
	d.mu.Lock()
	e := d.endpoints[t.Endpoint]
	limit := 0
	if e != nil {
		limit = e.spec.ColdSlots
	}
	d.mu.Unlock()
	slot, ok := d.cfg.Slots.TakeCold(ctx, t.Endpoint, limit)
	d.mu.Lock()
	defer d.mu.Unlock()
	if e = d.endpoints[t.Endpoint]; e == nil {
		if ok {
			slot.Release(true)
		}
		return false
	}
	if ok {
		t.Cold = slot
		e.coldHeld++
	} else {
		e.coldBlockedUntil = time.Now().Add(coldSlotBackoff)
	}
	d.table.SetBounds(t.Endpoint, d.bounds(e))
	d.refreshPools(e, time.Now())
	return ok
}

// unblockColdSlots ends the backoff for cold slots of the endpoints whose backoff has
// expired. Callers hold d.mu.
func (d *Dispatcher) unblockColdSlots(now time.Time) {
	for name, e := range d.endpoints {
		if e.cold && !e.coldBlockedUntil.IsZero() && !now.Before(e.coldBlockedUntil) {
			e.coldBlockedUntil = time.Time{}
			d.table.SetBounds(name, d.bounds(e))
		}
	}
}

// requeue returns a ticket and puts its request back into the queue at its place.
func (t *Ticket) requeue() {
	d, now := t.d, time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Release(now, t.picked, t.request, unusedSample)
	if e := d.endpoints[t.Endpoint]; e != nil {
		delete(e.running, t.item.ID)
	}
	t.need.attempts--
	t.pool.queue.PutBack(now, t.item)
	d.refresh(t.pool, now)
}
