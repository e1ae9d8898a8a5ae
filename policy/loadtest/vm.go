package loadtest

import (
	"math/rand/v2"
	"slices"
	"time"

	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/limit"
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

// attempt is one dispatch of a call.
type attempt struct {
	call     *call
	endpoint *picker.Endpoint
	engine   *engine
	job      *job
	began    time.Time
	pick     picker.Request // as it was picked, for Done
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

// attempt makes one dispatch of the call.
func (v *vm) attempt(c *call) bool {
	now := v.run.loop.now
	if v.mods.Poison {
		c.pick.Suspect = v.poison.Suspect(now, c.print)
	}
	e, miss := v.choose(now, c)
	if miss != picker.Picked {
		return false
	}
	c.made++
	if c.made == 1 {
		v.run.res.firsts += c.req.estimate
		v.budget.First(c.item.Account, c.req.estimate)
	} else {
		v.run.res.again += c.req.estimate
	}
	a := &attempt{call: c, endpoint: e, engine: v.run.engines[e.Name], began: now, pick: c.pick}
	c.live = append(c.live, a)
	v.running[e.Name][c] = true
	a.job = a.engine.submit(c.req, func(end answer) { v.answered(a, end) })
	if v.mods.Hedge && len(c.live) == 1 && c.req.idempotent {
		after := retry.HedgeAfter(v.expected(c), c.req.deadline.Sub(now))
		v.run.loop.after(after, func() { v.hedge(a) })
	}
	return true
}

// expected is how long an attempt of the call takes.
func (v *vm) expected(c *call) time.Duration {
	if q, ok := v.queue.(*admission.Queue); ok {
		return q.Expected(c.req.estimate)
	}
	return time.Duration(c.req.estimate * (1 + batchCost) * float64(time.Second))
}

// hedge starts a second attempt beside a slow one, if the budget has it.
func (v *vm) hedge(slow *attempt) {
	c := slow.call
	if c.over || len(c.live) != 1 || c.live[0] != slow {
		return
	}
	c.pick.Exclude = append(c.pick.Exclude, slow.endpoint.Name)
	d := v.budget.Decide(v.run.loop.now, v.rng, v.ask(c, true))
	if d.Again {
		v.attempt(c)
	}
}

func (v *vm) ask(c *call, hedge bool) retry.Attempt {
	return retry.Attempt{
		Account: c.item.Account, Idempotent: c.req.idempotent, Made: c.made, Size: c.req.estimate,
		Deadline: c.req.deadline, Expected: v.expected(c), Hedge: hedge,
	}
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

// answered takes an attempt's end.
func (v *vm) answered(a *attempt, end answer) {
	c := a.call
	if c.over {
		return // the caller hung up, and the slot was given back then
	}
	v.release(a, end)
	switch {
	case end == answered:
		elapsed := v.run.loop.now.Sub(a.began)
		v.cut(c)
		v.finish(c, elapsed)
		v.run.completed(c)
	case len(c.live) > 0:
		// The other attempt goes on.
	case v.retry(c, a):
	default:
		v.finish(c, 0)
		v.run.failed(c)
	}
	v.settle()
}

// release gives the endpoint's slot back and lets the modules learn.
func (v *vm) release(a *attempt, end answer) {
	now, c, name := v.run.loop.now, a.call, a.endpoint.Name
	c.live = slices.DeleteFunc(c.live, func(x *attempt) bool { return x == a })
	delete(v.running[name], c)
	latency := now.Sub(a.began)
	size := c.req.size
	if a.job.hit {
		size *= 1 - prefill
	}
	v.table.Done(now, a.endpoint, &a.pick, limit.Sample{
		Latency: latency, Size: size, Refused: end == full, Failed: end == failed || end == crashed,
	})
	if end == answered && a.job.hit {
		v.table.Cached(a.endpoint, &a.pick, len(a.pick.Prefix))
	}
	if end == answered && v.mods.Poison {
		v.poison.Survived(c.print)
	}
	if end != full {
		v.learn(outlier.Result{Endpoint: name, Failed: end != answered})
	}
}

// cut cancels the attempts that still run.
func (v *vm) cut(c *call) {
	now := v.run.loop.now
	for _, a := range c.live {
		a.engine.cancel(a.job)
		delete(v.running[a.endpoint.Name], c)
		v.table.Done(now, a.endpoint, &a.pick, limit.Sample{Failed: true})
	}
	c.live = nil
}

func (v *vm) learn(result outlier.Result) {
	if !v.mods.Outlier {
		return
	}
	if change, ok := v.outlier.Record(v.run.loop.now, result); ok {
		v.apply(change)
	}
}

func (v *vm) apply(change outlier.Change) {
	v.table.Update(change.Endpoint, func(s *picker.State) {
		s.Ejected = change.State == outlier.Ejected
		s.Probation = change.State == outlier.Probation
	})
}

// retry decides on another attempt and makes it.
func (v *vm) retry(c *call, last *attempt) bool {
	now := v.run.loop.now
	c.pick.Exclude = append(c.pick.Exclude, last.endpoint.Name)
	var after time.Duration
	switch {
	case v.mods.Retry:
		d := v.budget.Decide(now, v.rng, v.ask(c, false))
		if !d.Again {
			return false
		}
		after = d.After
	case !c.req.idempotent || c.made >= retry.MaxAttempts:
		return false
	}
	if v.mods.Poison && v.poison.Quarantined(now, c.print) {
		return false
	}
	v.run.loop.after(after, func() {
		if c.over {
			return
		}
		v.dispatch(c)
		v.settle()
	})
	return true
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
