package loadtest

import (
	"time"
)

// addCallers lets each account send at its rate.
func (r *run) addCallers() {
	total := 0.0
	for _, w := range accountWeights {
		total += w
	}
	size := r.w.meanSize() * (1 + r.s.LongShare*(longJob-1))
	all := r.s.Load * r.res.capacity / size
	for account, weight := range accountWeights {
		r.nextFrom(r.gens[account], all*weight/total*r.s.maxRate(account))
	}
}

// nextFrom plans the account's next request at the highest rate it ever has; at
// other times the surplus is thinned out.
func (r *run) nextFrom(g *generator, rate float64) {
	r.loop.after(g.interval(rate), func() {
		at := r.loop.since()
		if at >= r.s.Length {
			return
		}
		q := g.make()
		if g.rng.Float64() < r.s.rate(g.account, at)/r.s.maxRate(g.account) {
			r.sendFirst(q)
		}
		r.nextFrom(g, rate)
	})
}

func (r *run) sendFirst(q *request) {
	q.first = r.loop.now
	r.res.sent(r.loop.since(), q)
	r.send(q)
}

// send makes one try: the caller waits for its patience and then hangs up.
func (r *run) send(q *request) {
	r.open++
	q.tries++
	q.sent = r.loop.now
	q.deadline = q.sent.Add(q.patience)
	v := r.vms[r.callers.IntN(len(r.vms))]
	c := v.arrive(q)
	if !c.over {
		r.loop.at(q.deadline, func() { v.hangUp(c) })
	}
}

func (r *run) completed(c *call) {
	r.open--
	if c.req.poison {
		return
	}
	r.res.completed(r.loop.now, c.req)
}

func (r *run) refused(c *call, after time.Duration) {
	r.open--
	c.over = true
	if c.req.poison {
		r.again(c.req, poisonPause)
		return
	}
	r.res.refused(r.loop.now, c.req)
	r.again(c.req, after)
}

// quarantined refuses for good: its caller is told not to come back, and a poison
// request's does so all the same.
func (r *run) quarantined(c *call) {
	r.open--
	c.over = true
	if c.req.poison {
		r.again(c.req, poisonPause)
		return
	}
	r.res.refused(r.loop.now, c.req)
}

func (r *run) failed(c *call) { r.lost(c, func(t *Tally) { t.Failed++ }) }

func (r *run) timedOut(c *call) { r.lost(c, func(t *Tally) { t.TimedOut++ }) }

// lost counts a call without an answer; its caller sends it again if it may.
func (r *run) lost(c *call, count func(*Tally)) {
	r.open--
	if c.req.poison {
		r.again(c.req, poisonPause)
		return
	}
	for _, t := range r.res.tallies(c.req) {
		count(t)
	}
	if c.req.idempotent {
		r.again(c.req, resend)
	}
}

// again lets the caller send its request once more, if it is one of those that do.
func (r *run) again(q *request, after time.Duration) {
	limit := maxTries
	if q.poison {
		limit = poisonTries
	} else if !q.returns {
		return
	}
	if q.tries >= limit {
		return
	}
	next := *q
	next.id = q.id&firstID + uint64(q.tries)*(firstID+1)
	r.open++
	r.loop.after(after, func() {
		r.open--
		r.send(&next)
	})
}

// addFaults plans what happens to the endpoints, and the poison requests.
func (r *run) addFaults() {
	for i, e := range r.order {
		if i < r.s.Slow {
			r.between(func() { e.setSpeed(0.1) }, func() { e.setSpeed(1) })
		} else if i < r.s.Slow+r.s.Failing {
			r.between(func() { e.failing = true }, func() { e.failing = false })
		}
		if r.s.PoolFailing {
			r.between(func() { e.failing = true }, func() { e.failing = false })
		}
		if r.s.PoolDown {
			r.loop.after(r.s.From, func() { e.crash(r.s.To - r.s.From) })
		}
		if r.s.Cold {
			r.loop.after(r.s.From, func() { e.crash(time.Millisecond) })
		}
	}
	for range r.s.Poison {
		r.loop.after(r.s.From, func() {
			q := r.gens[poisonAccount].make()
			q.poison, q.idempotent, q.long = true, true, false
			q.size, q.estimate, q.patience = r.w.meanSize(), r.w.meanSize(), time.Minute
			r.send(q)
		})
	}
}

func (r *run) between(begin, end func()) {
	r.loop.after(r.s.From, begin)
	r.loop.after(r.s.To, end)
}
