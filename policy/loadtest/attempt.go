package loadtest

import (
	"slices"
	"time"

	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/limit"
	"goldcrestfork/policy/outlier"
	"goldcrestfork/policy/picker"
	"goldcrestfork/policy/retry"
)

// attempt is one dispatch of a call.
type attempt struct {
	call     *call
	endpoint *picker.Endpoint
	engine   *engine
	job      *job
	began    time.Time
	pick     picker.Request // as it was picked, for Done
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
