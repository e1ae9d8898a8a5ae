package dispatch

import (
	"time"

	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/retry"
)

// HedgeAfter is how long after a ticket's start a second attempt may be made beside
// the first; see retry.HedgeAfter.
func (d *Dispatcher) HedgeAfter(t *Ticket) time.Duration {
	expected := t.line.queue.Expected(t.need.Size)
	return retry.HedgeAfter(expected, t.need.Deadline.Sub(t.start))
}

// Hedge gives a ticket for a second attempt at another endpoint, if the budget has
// it and there is room at once: a hedge never waits and never holds up a first
// attempt. Only for requests that may be repeated.
func (d *Dispatcher) Hedge(first *Ticket) (*Ticket, bool) {
	n := *first.need
	n.tried = append(append([]string(nil), n.tried...), first.Endpoint)
	now, l := time.Now(), first.line
	d.mu.Lock()
	defer d.mu.Unlock()
	v := l.budget.Decide(now, d.rng, retry.Attempt{
		Account: n.Account.Name, Idempotent: n.Idempotent, Made: n.made, Size: n.Size,
		Deadline: n.Deadline, Expected: l.queue.Expected(n.Size), Hedge: true,
	})
	d.metrics.hedges.WithLabelValues(string(v.Reason)).Inc()
	if !v.Again {
		return nil, false
	}
	it := first.item
	it.ID, it.Value = d.nextID.Add(1), &waiter{need: &n, done: make(chan grant, 1)}
	if offer := l.queue.Offer(now, it); offer.Outcome != admission.Run {
		l.queue.Remove(it)
		return nil, false
	}
	t, _ := d.pick(l, now, &n, it)
	if t == nil || t.cold {
		// An endpoint in cold start is no place for a hedge.
		d.drop(l, now, it, t)
		return nil, false
	}
	return t, true
}

// drop gives back the slots of a hedge that found no endpoint fit for it. Callers hold d.mu.
func (d *Dispatcher) drop(l *line, now time.Time, it admission.Item, t *Ticket) {
	if t != nil {
		d.table.Done(now, t.picked, t.request, unused)
		delete(d.endpoints[t.Endpoint].running, it.ID)
	}
	l.queue.Done(now, it, 0, 0)
	d.refresh(l, now)
}
