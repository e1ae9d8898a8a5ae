package dispatch

import (
	"context"
	"time"

	"goldcrestfork/policy/limit"
)

// unused is the sample of a slot that was given back without a request.
var unused = limit.Sample{Failed: true}

// coldRetry is how long no cold slot of an endpoint is asked for after none was to
// be had. Grounds: a cold engine runs its few requests for a second or more, so that
// asking sooner finds them still running; a fifth of that loses little.
const coldRetry = 200 * time.Millisecond

// takeCold gets the cold slot that a ticket needs. It may ask other VMs, so that no
// lock is held.
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
		e.granted++
	} else {
		e.blocked = time.Now().Add(coldRetry)
	}
	d.table.SetBounds(t.Endpoint, d.bounds(e))
	d.pumpAll(e, time.Now())
	return ok
}

// unblock lets cold slots be asked for again. Callers hold d.mu.
func (d *Dispatcher) unblock(now time.Time) {
	for name, e := range d.endpoints {
		if e.cold && !e.blocked.IsZero() && !now.Before(e.blocked) {
			e.blocked = time.Time{}
			d.table.SetBounds(name, d.bounds(e))
		}
	}
}

// putBack gives a ticket back whose request goes on waiting.
func (t *Ticket) putBack() {
	d, now := t.d, time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Done(now, t.picked, t.request, unused)
	if e := d.endpoints[t.Endpoint]; e != nil {
		delete(e.running, t.item.ID)
	}
	t.need.made--
	t.line.queue.PutBack(now, t.item)
	d.refresh(t.line, now)
}
