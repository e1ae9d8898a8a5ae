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

// line is the queue and the budgets of one pool.
type line struct {
	name     string
	queue    *admission.Queue
	detector *outlier.Detector
	budget   *retry.Budget
	tracker  *poison.Tracker
	size     int // endpoints
}

// waiter is a request in a queue; its channel takes exactly one grant, without blocking.
type waiter struct {
	need *Need
	done chan grant
}

// grant is a ticket or a final refusal.
type grant struct {
	ticket  *Ticket
	refusal *refusal.Refusal
}

// offer puts a request into its queue, or refuses it.
func (d *Dispatcher) offer(now time.Time, n *Need, it admission.Item) (*line, *refusal.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lines[n.Pool]
	if l == nil {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint serves %s", n.Pool)
	}
	if l.tracker.Quarantined(now, n.Fingerprint) {
		d.metrics.quarantined.Inc()
		return nil, refusal.New(http.StatusUnprocessableEntity, refusal.Quarantined, "this request crashed the endpoints that ran it")
	}
	if l.detector.Broken(now) {
		return nil, d.refusal(admission.ReasonBroken, l.queue.RetryAfter(now, it, admission.ReasonBroken))
	}
	v := l.queue.Offer(now, it)
	switch v.Outcome {
	case admission.Refused:
		return nil, d.refusal(v.Reason, v.RetryAfter)
	case admission.Run:
		d.start(l, now, it)
	}
	d.answerRefused(l, now)
	return l, nil
}

// start gives an item that holds a slot its endpoint, or its final refusal; false
// when neither is to be had and it waits on at its place. Callers hold d.mu.
func (d *Dispatcher) start(l *line, now time.Time, it admission.Item) bool {
	w := it.Value.(*waiter)
	t, miss := d.pick(l, now, w.need, it)
	if t != nil {
		w.done <- grant{ticket: t}
		return true
	}
	if bad := d.missed(l, w.need, miss); bad != nil {
		l.queue.Done(now, it, 0, 0)
		w.done <- grant{refusal: bad}
		return true
	}
	l.queue.PutBack(now, it)
	return false
}

// pump starts waiting requests while there is room. Callers hold d.mu.
func (d *Dispatcher) pump(l *line, now time.Time) {
	for {
		it, ok := l.queue.Next(now)
		if !ok || !d.start(l, now, it) {
			break
		}
	}
	d.answerRefused(l, now)
}

// pumpAll starts what fits in the pools of an endpoint. Callers hold d.mu.
func (d *Dispatcher) pumpAll(e *endpoint, now time.Time) {
	for _, pool := range e.pools {
		if l := d.lines[pool]; l != nil {
			d.refresh(l, now)
		}
	}
}

// refresh sets a line's capacity and starts what fits. Callers hold d.mu.
func (d *Dispatcher) refresh(l *line, now time.Time) {
	slots, _ := d.table.Capacity(l.name)
	if slots == 0 && d.coldLater(l.name) {
		slots = 1
	}
	l.queue.SetCapacity(now, slots)
	d.pump(l, now)
}

// coldLater says that a pool without room has an endpoint in cold start whose slots
// are other VMs' for the moment. Taken for a pool without endpoints, its requests
// would be refused, although waiting is what helps.
func (d *Dispatcher) coldLater(pool string) bool {
	for _, e := range d.endpoints {
		if e.cold && !e.down && !e.out && slices.Contains(e.pools, pool) {
			return true
		}
	}
	return false
}

// answerRefused gives the queue's final answers at once. Callers hold d.mu.
func (d *Dispatcher) answerRefused(l *line, now time.Time) {
	for _, r := range l.queue.Refused(now) {
		w := r.Item.Value.(*waiter)
		w.done <- grant{refusal: d.refusal(r.Reason, r.RetryAfter)}
	}
}

// refusal turns an admission's reason into the caller's answer.
func (d *Dispatcher) refusal(reason admission.Reason, after time.Duration) *refusal.Refusal {
	d.metrics.refused.WithLabelValues(string(reason)).Inc()
	switch reason {
	case admission.ReasonDeadline:
		return refusal.New(http.StatusTooManyRequests, refusal.DeadlineTooShort, "the request can't be done by its deadline").After(after)
	case admission.ReasonNoCapacity:
		return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint takes work now").After(after)
	case admission.ReasonBroken:
		return refusal.New(http.StatusServiceUnavailable, refusal.EndpointFailed, "nearly all answers of the pool fail").After(after)
	default:
		return refusal.New(http.StatusTooManyRequests, refusal.Overloaded, "the queue is full").After(after)
	}
}

// missed is the final answer to a request for which nothing was picked, or nil
// when waiting helps.
func (d *Dispatcher) missed(l *line, n *Need, miss picker.Miss) *refusal.Refusal {
	switch {
	case n.Only != "" && miss != picker.MissFull:
		return refusal.New(http.StatusGone, refusal.ResumeNotPossible, "the endpoint that holds the stream takes no work").WhichRan(refusal.DidRun)
	case miss == picker.MissUnknown:
		return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint serves %s", l.name)
	case miss == picker.MissFiltered && len(n.tried) >= l.size:
		return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "all endpoints of %s were tried", l.name).After(time.Second)
	}
	return nil
}
