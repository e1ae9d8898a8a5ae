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

// attempt is one dispatch of a call to an endpoint.
type attempt struct {
	call      *call
	endpoint  *picker.Endpoint
	engine    *engine
	job       *job
	startedAt time.Time
	pick      picker.Request // copy from the time of the pick, for Table.Release
}

// attempt dispatches the call to an endpoint, and returns false if no endpoint has
// free capacity.
func (v *vm) attempt(c *call) bool {
	now := v.run.loop.now
	if v.modules.Poison {
		c.pick.Suspect = v.poison.IsSuspect(now, c.fingerprint)
	}
	e, miss := v.choose(now, c)
	if miss != picker.Picked {
		return false
	}
	c.attempts++
	if c.attempts == 1 {
		v.run.result.firstWork += c.req.estimate
		v.budget.RecordFirst(c.item.Account, c.req.estimate)
	} else {
		v.run.result.repeatedWork += c.req.estimate
	}
	a := &attempt{call: c, endpoint: e, engine: v.run.engines[e.Name], startedAt: now, pick: c.pick}
	c.active = append(c.active, a)
	v.running[e.Name][c] = true
	a.job = a.engine.submit(c.req, func(end attemptOutcome) { v.attemptEnded(a, end) })
	if v.modules.Hedge && len(c.active) == 1 && c.req.idempotent {
		after := retry.HedgeDelay(v.expected(c), c.req.deadline.Sub(now))
		v.run.loop.after(after, func() { v.hedge(a) })
	}
	return true
}

// expected returns the expected duration of an attempt of the call.
func (v *vm) expected(c *call) time.Duration {
	if q, ok := v.queue.(*admission.Queue); ok {
		return q.Expected(c.req.estimate)
	}
	return time.Duration(c.req.estimate * (1 + batchCost) * float64(time.Second))
}

// hedge starts a second attempt in parallel to a slow one if the budget allows it.
func (v *vm) hedge(slow *attempt) {
	c := slow.call
	if c.ended || len(c.active) != 1 || c.active[0] != slow {
		return
	}
	c.pick.Exclude = append(c.pick.Exclude, slow.endpoint.Name)
	d := v.budget.Decide(v.run.loop.now, v.rng, v.retryAttempt(c, true))
	if d.Again {
		v.attempt(c)
	}
}

// retryAttempt returns the description of the call that the retry budget decides
// on.
func (v *vm) retryAttempt(c *call, hedge bool) retry.Attempt {
	return retry.Attempt{
		Account: c.item.Account, Idempotent: c.req.idempotent, Made: c.attempts, Size: c.req.estimate,
		Deadline: c.req.deadline, Expected: v.expected(c), Hedge: hedge,
	}
}

// attemptEnded handles the end of an attempt: it completes the call, retries it or
// fails it.
func (v *vm) attemptEnded(a *attempt, end attemptOutcome) {
	c := a.call
	if c.ended {
		return // the caller hung up, and hangUp released the slot
	}
	v.release(a, end)
	switch {
	case end == answered:
		elapsed := v.run.loop.now.Sub(a.startedAt)
		v.cancelAttempts(c)
		v.finish(c, elapsed)
		v.run.completed(c)
	case len(c.active) > 0:
		// Another attempt of the call is still running.
	case v.retry(c, a):
	default:
		v.finish(c, 0)
		v.run.failed(c)
	}
	v.dispatchQueued()
}

// release frees the endpoint's slot and updates the modules with the result.
func (v *vm) release(a *attempt, end attemptOutcome) {
	now, c, name := v.run.loop.now, a.call, a.endpoint.Name
	c.active = slices.DeleteFunc(c.active, func(x *attempt) bool { return x == a })
	delete(v.running[name], c)
	latency := now.Sub(a.startedAt)
	size := c.req.size
	if a.job.prefixCached {
		size *= 1 - cachedPrefixSaving
	}
	v.table.Release(now, a.endpoint, &a.pick, limit.Sample{
		Latency: latency, Size: size, Refused: end == full, Failed: end == failed || end == crashed,
	})
	if end == answered && a.job.prefixCached {
		v.table.RecordCached(a.endpoint, &a.pick, len(a.pick.Prefix))
	}
	if end == answered && v.modules.Poison {
		v.poison.RecordSuccess(c.fingerprint)
	}
	if end != full {
		v.recordOutlier(outlier.Result{Endpoint: name, Failed: end != answered})
	}
}

// cancelAttempts cancels the attempts of a call that still run.
func (v *vm) cancelAttempts(c *call) {
	now := v.run.loop.now
	for _, a := range c.active {
		a.engine.cancel(a.job)
		delete(v.running[a.endpoint.Name], c)
		v.table.Release(now, a.endpoint, &a.pick, limit.Sample{Failed: true})
	}
	c.active = nil
}

// recordOutlier records an attempt's result for the detection of outliers.
func (v *vm) recordOutlier(result outlier.Result) {
	if !v.modules.Outlier {
		return
	}
	if change, ok := v.outlier.Record(v.run.loop.now, result); ok {
		v.applyEjection(change)
	}
}

// applyEjection applies a change of an endpoint's outlier state to the table.
func (v *vm) applyEjection(change outlier.Change) {
	v.table.Update(change.Endpoint, func(s *picker.State) {
		s.Ejected = change.State == outlier.Ejected
		s.Probation = change.State == outlier.Probation
	})
}

// retry decides whether the call gets another attempt, and schedules it.
func (v *vm) retry(c *call, last *attempt) bool {
	now := v.run.loop.now
	c.pick.Exclude = append(c.pick.Exclude, last.endpoint.Name)
	var after time.Duration
	switch {
	case v.modules.Retry:
		d := v.budget.Decide(now, v.rng, v.retryAttempt(c, false))
		if !d.Again {
			return false
		}
		after = d.After
	case !c.req.idempotent || c.attempts >= retry.MaxAttempts:
		return false
	}
	if v.modules.Poison && v.poison.IsQuarantined(now, c.fingerprint) {
		return false
	}
	v.run.loop.after(after, func() {
		if c.ended {
			return
		}
		v.dispatch(c)
		v.dispatchQueued()
	})
	return true
}
