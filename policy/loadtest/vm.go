package loadtest

import (
	"math/rand/v2"
	"slices"
	"time"

	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/outlier"
	"goldcrestfork/policy/picker"
	"goldcrestfork/policy/poison"
	"goldcrestfork/policy/retry"
)

const poolName = "pool"

// vm decides on the requests that callers send to one VM.
type vm struct {
	run             *run
	modules         Modules
	rng             *rand.Rand
	queue           admissionQueue
	table           *picker.Table
	budget          *retry.Budget
	outlier         *outlier.Detector
	poison          *poison.Tracker
	endpointFilter  *nameFilter // selects the endpoint for round robin and LeastReported
	roundRobinIndex int
	running         map[string]map[*call]bool // calls in flight, by endpoint name
}

// call is one try of a request on one VM.
type call struct {
	vm          *vm
	req         *request
	item        admission.Item
	pick        picker.Request
	fingerprint poison.Fingerprint
	active      []*attempt // running attempts; two if hedged
	attempts    int
	holdsSlot   bool // whether the call holds a slot of the queue
	ended       bool
}

// receive admits, queues or refuses a request.
func (v *vm) receive(r *request) *call {
	now := v.run.loop.now
	c := &call{vm: v, req: r, fingerprint: fingerprintOf(r)}
	c.item = admission.Item{
		ID: r.id, Value: c, Account: accountName(r.account), Weight: accountWeights[r.account],
		Class: r.class, Deadline: r.deadline, Size: r.estimate,
	}
	c.pick = picker.Request{Pool: poolName}
	c.pick.Probe = r.idempotent && r.patience > probeDeadlineFactor*v.expected(c)
	if r.prefix != 0 {
		c.pick.Prefix = []uint64{r.prefix}
	}
	if v.modules.Poison && v.poison.IsQuarantined(now, c.fingerprint) {
		if !r.poison {
			v.run.result.FalseQuarantines++
		}
		v.run.quarantined(c)
		return c
	}
	if v.modules.Outlier && v.outlier.CircuitOpen(now) {
		v.run.refused(c, v.retryAfter(now, c))
		return c
	}
	verdict := v.queue.Offer(now, c.item)
	switch verdict.Outcome {
	case admission.Run:
		v.dispatch(c)
	case admission.Refused:
		v.run.refused(c, verdict.RetryAfter)
	}
	v.dispatchQueued()
	return c
}

// retryAfter returns the time after which the caller of a refused call may send
// again.
func (v *vm) retryAfter(now time.Time, c *call) time.Duration {
	if q, ok := v.queue.(*admission.Queue); ok {
		return q.RetryAfter(now, c.item, admission.ReasonPoolFailing)
	}
	return time.Second
}

// dispatch sends a call that holds a slot of the queue to an endpoint. If no
// endpoint has free capacity, dispatch returns the call to the queue and reports
// false.
func (v *vm) dispatch(c *call) bool {
	c.holdsSlot = true
	if v.attempt(c) {
		return true
	}
	c.holdsSlot = false
	v.queue.PutBack(v.run.loop.now, c.item)
	return false
}

// choose selects an endpoint with the picker, by the least reported load or by
// round robin.
func (v *vm) choose(now time.Time, c *call) (*picker.Endpoint, picker.NoChoiceReason) {
	if v.modules.Picker {
		return v.table.Pick(now, v.rng, &c.pick)
	}
	order := v.run.engineOrder
	if v.modules.LeastReported {
		order = v.byReport()
	}
	for range order {
		v.roundRobinIndex = (v.roundRobinIndex + 1) % len(order)
		if v.modules.LeastReported {
			v.endpointFilter.name, order = order[0].name, order[1:]
		} else {
			v.endpointFilter.name = order[v.roundRobinIndex].name
		}
		if e, miss := v.table.Pick(now, v.rng, &c.pick); miss == picker.Picked {
			return e, miss
		}
	}
	return nil, picker.MissFull
}

// byReport returns the endpoints in the order of their last reported load.
func (v *vm) byReport() []*engine {
	order := slices.Clone(v.run.engineOrder)
	slices.SortStableFunc(order, func(a, b *engine) int { return a.reportedLoad - b.reportedLoad })
	return order
}

// finish ends a call that holds a slot.
func (v *vm) finish(c *call, elapsed time.Duration) {
	c.ended = true
	c.holdsSlot = false
	v.queue.Release(v.run.loop.now, c.item, elapsed, 0)
}

// hangUp ends a call whose caller disconnects at its deadline.
func (v *vm) hangUp(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	if c.holdsSlot {
		v.cancelAttempts(c)
		v.queue.Release(v.run.loop.now, c.item, 0, 0)
	} else {
		v.queue.Remove(c.item)
	}
	v.run.timedOut(c)
	v.dispatchQueued()
}

// dispatchQueued updates the queue after a change of state: it sets the capacity,
// dispatches calls to free slots and delivers refusals.
func (v *vm) dispatchQueued() {
	now := v.run.loop.now
	if v.modules.Outlier {
		for _, change := range v.outlier.StartProbations(now) {
			v.applyEjection(change)
		}
	}
	capacity, _ := v.table.Capacity(poolName)
	v.queue.SetCapacity(now, capacity)
	for {
		it, ok := v.queue.Next(now)
		if !ok || !v.dispatch(it.Value.(*call)) {
			break
		}
	}
	for _, refusal := range v.queue.Refused(now) {
		v.run.refused(refusal.Item.Value.(*call), refusal.RetryAfter)
	}
}
