package loadtest

import (
	"time"
)

// startCallers starts the request stream of each account, at a rate that offers the
// scenario's load.
func (r *run) startCallers() {
	total := 0.0
	for _, w := range accountWeights {
		total += w
	}
	size := r.workload.meanSize() * (1 + r.scenario.LongShare*(longSizeFactor-1))
	all := r.scenario.Load * r.result.capacity / size
	for account, weight := range accountWeights {
		r.scheduleNextRequest(r.generators[account], all*weight/total*r.scenario.maxRateFactor(account))
	}
}

// scheduleNextRequest schedules the account's next request at the account's maximum
// rate. While the actual rate is lower, requests are dropped at random in
// proportion (thinning of a Poisson process).
func (r *run) scheduleNextRequest(g *generator, rate float64) {
	r.loop.after(g.interval(rate), func() {
		at := r.loop.elapsed()
		if at >= r.scenario.Length {
			return
		}
		q := g.newRequest()
		if g.rng.Float64() < r.scenario.rateFactor(g.account, at)/r.scenario.maxRateFactor(g.account) {
			r.sendNew(q)
		}
		r.scheduleNextRequest(g, rate)
	})
}

// sendNew sends a request for the first time and counts it as offered.
func (r *run) sendNew(q *request) {
	q.first = r.loop.now
	r.result.sent(r.loop.elapsed(), q)
	r.send(q)
}

// send makes one try of a request. The caller disconnects when its timeout has
// passed.
func (r *run) send(q *request) {
	r.pendingTries++
	q.tries++
	q.sent = r.loop.now
	q.deadline = q.sent.Add(q.patience)
	v := r.vms[r.callerRand.IntN(len(r.vms))]
	c := v.receive(q)
	if !c.ended {
		r.loop.schedule(q.deadline, func() { v.hangUp(c) })
	}
}

// completed records a call that was answered.
func (r *run) completed(c *call) {
	r.pendingTries--
	if c.req.poison {
		return
	}
	r.result.completed(r.loop.now, c.req)
}

// refused records a refusal; the caller may send the request again after the given
// time.
func (r *run) refused(c *call, after time.Duration) {
	r.pendingTries--
	c.ended = true
	if c.req.poison {
		r.scheduleResend(c.req, poisonResendDelay)
		return
	}
	r.result.refused(r.loop.now, c.req)
	r.scheduleResend(c.req, after)
}

// quarantined records a permanent refusal, after which callers don't send the
// request again. The caller of a poison request ignores the refusal and sends
// again.
func (r *run) quarantined(c *call) {
	r.pendingTries--
	c.ended = true
	if c.req.poison {
		r.scheduleResend(c.req, poisonResendDelay)
		return
	}
	r.result.refused(r.loop.now, c.req)
}

// failed records a call that ended with an error.
func (r *run) failed(c *call) { r.unanswered(c, func(t *Tally) { t.Failed++ }) }

// timedOut records a call without an answer by its deadline.
func (r *run) timedOut(c *call) { r.unanswered(c, func(t *Tally) { t.TimedOut++ }) }

// unanswered records a call without an answer. The caller sends an idempotent
// request again.
func (r *run) unanswered(c *call, count func(*Tally)) {
	r.pendingTries--
	if c.req.poison {
		r.scheduleResend(c.req, poisonResendDelay)
		return
	}
	for _, t := range r.result.tallies(c.req) {
		count(t)
	}
	if c.req.idempotent {
		r.scheduleResend(c.req, resendDelay)
	}
}

// scheduleResend schedules another try of a request if its caller resends requests
// and has tries left.
func (r *run) scheduleResend(q *request, after time.Duration) {
	limit := maxTries
	if q.poison {
		limit = poisonTries
	} else if !q.resends {
		return
	}
	if q.tries >= limit {
		return
	}
	next := *q
	next.id = q.id&baseIDMask + uint64(q.tries)*(baseIDMask+1)
	r.pendingTries++
	r.loop.after(after, func() {
		r.pendingTries--
		r.send(&next)
	})
}

// scheduleFaults schedules the endpoint faults and the poison requests of the
// scenario.
func (r *run) scheduleFaults() {
	for i, e := range r.engineOrder {
		if i < r.scenario.SlowEndpoints {
			r.scheduleFault(func() { e.setSpeed(0.1) }, func() { e.setSpeed(1) })
		} else if i < r.scenario.SlowEndpoints+r.scenario.FailingEndpoints {
			r.scheduleFault(func() { e.failing = true }, func() { e.failing = false })
		}
		if r.scenario.PoolFailing {
			r.scheduleFault(func() { e.failing = true }, func() { e.failing = false })
		}
		if r.scenario.PoolDown {
			r.loop.after(r.scenario.From, func() { e.crash(r.scenario.To - r.scenario.From) })
		}
		if r.scenario.PoolRestart {
			r.loop.after(r.scenario.From, func() { e.crash(time.Millisecond) })
		}
	}
	for range r.scenario.PoisonRequests {
		r.loop.after(r.scenario.From, func() {
			q := r.generators[poisonAccount].newRequest()
			q.poison, q.idempotent, q.long = true, true, false
			q.size, q.estimate, q.patience = r.workload.meanSize(), r.workload.meanSize(), time.Minute
			r.send(q)
		})
	}
}

// scheduleFault runs begin at the scenario's From and end at its To.
func (r *run) scheduleFault(begin, end func()) {
	r.loop.after(r.scenario.From, begin)
	r.loop.after(r.scenario.To, end)
}
