package dispatch

import (
	"time"

	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/retry"
)

// HedgeAfter returns how long after a ticket's start a second attempt may run in
// parallel to the first; see retry.HedgeDelay.
func (d *Dispatcher) HedgeAfter(t *Ticket) time.Duration {
	expected := t.pool.queue.Expected(t.need.Size)
	return retry.HedgeDelay(expected, t.need.Deadline.Sub(t.start))
}

// Hedge returns a ticket for a second attempt at another endpoint if the retry budget
// allows it and there is free capacity immediately: a hedge never waits and never delays
// a first attempt. It is only for requests that may be repeated.
func (d *Dispatcher) Hedge(first *Ticket) (*Ticket, bool) {
	n := *first.need
	n.tried = append(append([]string(nil), n.tried...), first.Endpoint)
	now, ps := time.Now(), first.pool
	d.mu.Lock()
	defer d.mu.Unlock()
	v := ps.budget.Decide(now, d.rng, retry.Attempt{
		Account: n.Account.Name, Idempotent: n.Idempotent, Made: n.attempts, Size: n.Size,
		Deadline: n.Deadline, Expected: ps.queue.Expected(n.Size), Hedge: true,
	})
	d.metrics.hedges.WithLabelValues(string(v.Reason)).Inc()
	if !v.Again {
		return nil, false
	}
	it := first.item
	it.ID, it.Value = d.nextID.Add(1), &waiter{need: &n, done: make(chan grant, 1)}
	if offer := ps.queue.Offer(now, it); offer.Outcome != admission.Run {
		ps.queue.Remove(it)
		return nil, false
	}
	t, _ := d.pick(ps, now, &n, it)
	if t == nil || t.cold {
		// An endpoint in cold start would not answer sooner than the first attempt.
		d.dropHedge(ps, now, it, t)
		return nil, false
	}
	return t, true
}

// dropHedge returns the slots of a hedge for which no suitable endpoint was found.
// Callers hold d.mu.
func (d *Dispatcher) dropHedge(ps *poolState, now time.Time, it admission.Item, t *Ticket) {
	if t != nil {
		d.table.Release(now, t.picked, t.request, unusedSample)
		delete(d.endpoints[t.Endpoint].running, it.ID)
	}
	ps.queue.Release(now, it, 0, 0)
	d.refresh(ps, now)
}
