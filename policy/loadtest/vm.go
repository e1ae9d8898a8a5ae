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

// vm decides for the requests that callers send to it.
type vm struct {
	run     *run
	mods    Modules
	rng     *rand.Rand
	queue   admitter
	table   *picker.Table
	budget  *retry.Budget
	outlier *outlier.Detector
	poison  *poison.Tracker
	only    *onlyNamed // round robin's filter
	turn    int
	running map[string]map[*call]bool // calls in flight by endpoint
}

// call is a request on its way through one VM.
type call struct {
	vm    *vm
	req   *request
	item  admission.Item
	pick  picker.Request
	print poison.Fingerprint
	live  []*attempt // attempts that run; two when hedged
	made  int
	slot  bool // holds a slot of the queue
	over  bool
}

// arrive takes a request in.
func (v *vm) arrive(r *request) *call {
	now := v.run.loop.now
	c := &call{vm: v, req: r, print: fingerprint(r)}
	c.item = admission.Item{
		ID: r.id, Value: c, Account: accountName(r.account), Weight: accountWeights[r.account],
		Class: r.class, Deadline: r.deadline, Size: r.estimate,
	}
	c.pick = picker.Request{Pool: poolName}
	c.pick.Probe = r.idempotent && r.patience > probePatience*v.expected(c)
	if r.prefix != 0 {
		c.pick.Prefix = []uint64{r.prefix}
	}
	if v.mods.Poison && v.poison.Quarantined(now, c.print) {
		if !r.poison {
			v.run.res.FalseQuarantines++
		}
		v.run.quarantined(c)
		return c
	}
	if v.mods.Outlier && v.outlier.Broken(now) {
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
	v.settle()
	return c
}

func (v *vm) retryAfter(now time.Time, c *call) time.Duration {
	if q, ok := v.queue.(*admission.Queue); ok {
		return q.RetryAfter(now, c.item, admission.ReasonBroken)
	}
	return time.Second
}

// dispatch sends a call that holds a slot of the queue to an endpoint.
func (v *vm) dispatch(c *call) bool {
	c.slot = true
	if v.attempt(c) {
		return true
	}
	c.slot = false
	v.queue.PutBack(v.run.loop.now, c.item)
	return false
}

// choose picks an endpoint, or takes the next in turn.
func (v *vm) choose(now time.Time, c *call) (*picker.Endpoint, picker.Miss) {
	if v.mods.Picker {
		return v.table.Pick(now, v.rng, &c.pick)
	}
	order := v.run.order
	if v.mods.LeastReported {
		order = v.byReport()
	}
	for range order {
		v.turn = (v.turn + 1) % len(order)
		if v.mods.LeastReported {
			v.only.name, order = order[0].name, order[1:]
		} else {
			v.only.name = order[v.turn].name
		}
		if e, miss := v.table.Pick(now, v.rng, &c.pick); miss == picker.Picked {
			return e, miss
		}
	}
	return nil, picker.MissFull
}

// byReport orders the endpoints by their last report.
func (v *vm) byReport() []*engine {
	order := slices.Clone(v.run.order)
	slices.SortStableFunc(order, func(a, b *engine) int { return a.reported - b.reported })
	return order
}

// finish ends a call that holds a slot.
func (v *vm) finish(c *call, elapsed time.Duration) {
	c.over = true
	c.slot = false
	v.queue.Done(v.run.loop.now, c.item, elapsed, 0)
}

// hangUp is the caller's leaving at its deadline.
func (v *vm) hangUp(c *call) {
	if c.over {
		return
	}
	c.over = true
	if c.slot {
		v.cut(c)
		v.queue.Done(v.run.loop.now, c.item, 0, 0)
	} else {
		v.queue.Remove(c.item)
	}
	v.run.timedOut(c)
	v.settle()
}

// settle brings the queue up to date after a change: capacity, refusals, free slots.
func (v *vm) settle() {
	now := v.run.loop.now
	if v.mods.Outlier {
		for _, change := range v.outlier.Due(now) {
			v.apply(change)
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
