package dispatch

import (
	"net/http"
	"slices"
	"time"

	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/outlier"
	"goldcrestfork/policy/picker"
	"goldcrestfork/policy/poison"
	"goldcrestfork/policy/retry"
	"goldcrestfork/router/refusal"
)

// poolState is the queue, the outlier detector, the retry budget and the poison tracker
// of one pool.
type poolState struct {
	name          string
	queue         *admission.Queue
	detector      *outlier.Detector
	budget        *retry.Budget
	tracker       *poison.Tracker
	endpointCount int
}

// waiter is a request in a queue. Its channel has capacity for the one grant that it
// receives, so sending never blocks.
type waiter struct {
	need *Need
	done chan grant
}

// grant is the end of a request's wait: a ticket or a final refusal.
type grant struct {
	ticket  *Ticket
	refusal *refusal.Refusal
}

// enqueue offers a request to the queue of its pool, or refuses it.
func (d *Dispatcher) enqueue(now time.Time, n *Need, it admission.Item) (*poolState, *refusal.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ps := d.pools[n.Pool]
	if ps == nil {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint serves %s", n.Pool)
	}
	if ps.tracker.IsQuarantined(now, n.Fingerprint, n.Parts...) || n.attempts > 0 && !ps.tracker.MayRepeat(now, n.Parts...) {
		d.metrics.quarantined.Inc()
		return nil, refusal.New(http.StatusUnprocessableEntity, refusal.Quarantined, "this request, or others with a part of its prompt, crashed the endpoints that ran it")
	}
	if ps.detector.CircuitOpen(now) {
		return nil, d.admissionRefusal(admission.ReasonPoolFailing, ps.queue.RetryAfter(now, it, admission.ReasonPoolFailing))
	}
	v := ps.queue.Offer(now, it)
	switch v.Outcome {
	case admission.Refused:
		return nil, d.admissionRefusal(v.Reason, v.RetryAfter)
	case admission.Run:
		d.assign(ps, now, it)
	}
	d.deliverRefusals(ps, now)
	return ps, nil
}

// assign picks an endpoint for an item that holds a queue slot, and sends the item's
// waiter its ticket or a final refusal. It returns false if the item goes back to its
// place in the queue. Callers hold d.mu.
func (d *Dispatcher) assign(ps *poolState, now time.Time, it admission.Item) bool {
	w := it.Value.(*waiter)
	t, miss := d.pick(ps, now, w.need, it)
	if t != nil {
		w.done <- grant{ticket: t}
		return true
	}
	if bad := d.missRefusal(ps, w.need, miss); bad != nil {
		ps.queue.Release(now, it, 0, 0)
		w.done <- grant{refusal: bad}
		return true
	}
	ps.queue.PutBack(now, it)
	return false
}

// startWaiting starts waiting requests while there is capacity. Callers hold d.mu.
func (d *Dispatcher) startWaiting(ps *poolState, now time.Time) {
	for {
		it, ok := ps.queue.Next(now)
		if !ok || !d.assign(ps, now, it) {
			break
		}
	}
	d.deliverRefusals(ps, now)
}

// refreshPools refreshes each pool of an endpoint. Callers hold d.mu.
func (d *Dispatcher) refreshPools(e *endpoint, now time.Time) {
	for _, pool := range e.pools {
		if ps := d.pools[pool]; ps != nil {
			d.refresh(ps, now)
		}
	}
}

// refresh updates a pool's capacity and starts the waiting requests that fit. Callers
// hold d.mu.
func (d *Dispatcher) refresh(ps *poolState, now time.Time) {
	slots, _ := d.table.Capacity(ps.name)
	if slots == 0 && d.hasColdEndpoint(ps.name) {
		slots = 1
	}
	ps.queue.SetCapacity(now, slots)
	d.startWaiting(ps, now)
}

// hasColdEndpoint reports whether a pool has an endpoint in cold start that takes work.
// Such a pool may have no capacity on this VM because other VMs hold the cold slots at
// the moment. If it were treated as a pool without endpoints, its requests would be
// refused although waiting helps.
func (d *Dispatcher) hasColdEndpoint(pool string) bool {
	for _, e := range d.endpoints {
		if e.cold && !e.down && !e.outOfService && slices.Contains(e.pools, pool) {
			return true
		}
	}
	return false
}

// deliverRefusals sends the queue's pending refusals to their waiters. Callers hold
// d.mu.
func (d *Dispatcher) deliverRefusals(ps *poolState, now time.Time) {
	for _, r := range ps.queue.Refused(now) {
		w := r.Item.Value.(*waiter)
		w.done <- grant{refusal: d.admissionRefusal(r.Reason, r.RetryAfter)}
	}
}

// admissionRefusal converts a reason of package admission into the caller's answer.
func (d *Dispatcher) admissionRefusal(reason admission.Reason, after time.Duration) *refusal.Refusal {
	d.metrics.refused.WithLabelValues(string(reason)).Inc()
	switch reason {
	case admission.ReasonDeadline:
		return refusal.New(http.StatusTooManyRequests, refusal.DeadlineTooShort, "the request can't be done by its deadline").WithRetryAfter(after)
	case admission.ReasonNoCapacity:
		return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint takes work now").WithRetryAfter(after)
	case admission.ReasonPoolFailing:
		return refusal.New(http.StatusServiceUnavailable, refusal.EndpointFailed, "nearly all answers of the pool fail").WithRetryAfter(after)
	default:
		return refusal.New(http.StatusTooManyRequests, refusal.Overloaded, "the queue is full").WithRetryAfter(after)
	}
}

// missRefusal returns the final answer to a request for which no endpoint was picked, or
// nil if waiting helps.
func (d *Dispatcher) missRefusal(ps *poolState, n *Need, miss picker.NoChoiceReason) *refusal.Refusal {
	switch {
	case n.OnlyEndpoint != "" && miss != picker.MissFull:
		return refusal.New(http.StatusGone, refusal.ResumeNotPossible, "the endpoint that holds the stream takes no work").WithRan(refusal.DidRun)
	case miss == picker.MissUnknown:
		return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint serves %s", ps.name)
	case miss == picker.MissFiltered && len(n.tried) >= ps.endpointCount:
		return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "all endpoints of %s were tried", ps.name).WithRetryAfter(time.Second)
	}
	return nil
}
