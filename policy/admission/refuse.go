package admission

import (
	"time"
)

const (
	// minRetryAfter is the least time to come back after: less would be spent on the
	// connection alone.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter bounds it: after a minute nobody knows more.
	maxRetryAfter = time.Minute
	// returnShare is the share of capacity that is set aside, in the plan of who
	// comes back when, for callers that were refused: they must not be a second burst.
	returnShare = 0.25
	// noCapacityRetry is when to come back to a pool without endpoints: about the
	// time an engine takes from its start to the first request.
	noCapacityRetry = 5 * time.Second
)

// calendar spreads the return of refused callers: each gets a time after the one
// before it, by the time its work takes of returnShare of the capacity.
type calendar struct{ next time.Time }

func (c *calendar) book(now time.Time, earliest, work time.Duration) time.Duration {
	at := now.Add(earliest)
	if c.next.After(at) {
		at = c.next
	}
	at = earlier(at, now.Add(maxRetryAfter))
	c.next = at.Add(work)
	return at.Sub(now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// late is by how much an item misses its deadline if it is taken in, given what is
// before it, or by how much it would make one behind it miss its own; or 0.
func (q *Queue) late(now time.Time, a *account, w *waiting) time.Duration {
	if q.running == 0 && q.count == 0 {
		// Nothing would ever put a wrong estimate right if it refused all there is.
		return max(now.Sub(w.Deadline), 0)
	}
	if q.running < q.capacity && q.count == 0 {
		// A free slot costs nobody anything: it's worth a try unless it's hopeless.
		return max(now.Add(q.est.quickest(w.Size)).Sub(w.Deadline), 0)
	}
	o := q.outlook(now, int(w.Class))
	own, at := a.ahead(int(w.Class), w.key)
	if late := q.lateBehind(now, o, a, w, own, offerPart); late > 0 {
		return late
	}
	return q.displaced(now, o, a, w, own, at)
}

// lateBehind is by how much a waiting item misses its deadline that has `own` work
// of its account before it. Part is the part of the estimated wait that is believed.
func (q *Queue) lateBehind(now time.Time, o outlook, a *account, w *waiting, own, part float64) time.Duration {
	wait := time.Duration(part * float64(o.wait(a, int(w.Class), own)))
	return max(now.Add(wait+q.est.service(w.Size)).Sub(w.Deadline), 0)
}

// displaced is by how much the first item behind the new one would miss its
// deadline for it, or 0. What was accepted is not given up for what comes later:
// its caller waited already, and the new one can be told at once.
func (q *Queue) displaced(now time.Time, o outlook, a *account, w *waiting, own float64, at int) time.Duration {
	for _, behind := range a.queues[w.Class][at:] {
		if q.lateBehind(now, o, a, behind, own, 1) == 0 {
			if late := q.lateBehind(now, o, a, behind, own+w.Size, 1); late > 0 {
				return late
			}
		}
		own += behind.Size
	}
	return 0
}

// check refuses what can't be done any more and finds the classes at risk.
func (q *Queue) check(now time.Time) {
	q.activity(now)
	for class := range classes {
		q.atRisk[class] = false
		o := q.outlook(now, class)
		for i := 0; i < len(q.backlog); {
			a := q.backlog[i]
			q.checkAccount(now, o, a, class)
			if i < len(q.backlog) && q.backlog[i] == a {
				i++ // else its last item was refused, and another took its place
			}
		}
	}
}

func (q *Queue) checkAccount(now time.Time, o outlook, a *account, class int) {
	drained := seconds(o.work / o.rate) // when all of the class is done
	own := 0.0
	for i := 0; i < len(a.queues[class]); {
		w := a.queues[class][i]
		if late := q.lateBehind(now, o, a, w, own, checkPart); late > 0 {
			q.take(a, class, i)
			q.refuse(now, w.Item, ReasonDeadline, late)
			continue
		}
		own += w.Size
		i++
		if class > 0 && now.Add(drained+q.est.service(w.Size)).After(w.Deadline) {
			q.atRisk[class] = true
		}
	}
}

// evict makes room in a full queue: the account with the most queued work for its
// weight gives up its last item, if that isn't the account that asks.
func (q *Queue) evict(now time.Time, asking *account) bool {
	var most *account
	top := 0.0
	for _, a := range q.backlog {
		work := 0.0
		for _, w := range a.work {
			work += w
		}
		if work/a.weight > top {
			most, top = a, work/a.weight
		}
	}
	if most == nil || most == asking {
		return false
	}
	for class := classes - 1; class >= 0; class-- {
		if n := len(most.queues[class]); n > 0 {
			w := q.take(most, class, n-1)
			q.refuse(now, w.Item, ReasonFull, q.drainTime())
			return true
		}
	}
	return false
}

// drainTime is how long the whole backlog takes.
func (q *Queue) drainTime() time.Duration {
	sum := 0.0
	for _, w := range q.work {
		sum += w
	}
	return seconds(sum / q.est.rate(max(q.capacity, 1)))
}

func (q *Queue) refuseAll(now time.Time, reason Reason) {
	for len(q.backlog) > 0 {
		a := q.backlog[0]
		for class := range classes {
			for len(a.queues[class]) > 0 {
				w := q.take(a, class, 0)
				q.refuse(now, w.Item, reason, 0)
			}
		}
	}
}

func (q *Queue) refuse(now time.Time, it Item, reason Reason, late time.Duration) {
	q.refused = append(q.refused, Refusal{
		Item: it, Reason: reason, RetryAfter: q.retryAfter(now, it, reason, late),
	})
}

func (q *Queue) verdict(now time.Time, it Item, reason Reason, late time.Duration) Verdict {
	return Verdict{Outcome: Refused, Reason: reason, RetryAfter: q.retryAfter(now, it, reason, late)}
}

// RetryAfter is when to come back for a request that the caller of this package
// refuses for a reason of its own (a failing pool).
func (q *Queue) RetryAfter(now time.Time, it Item, reason Reason) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.retryAfter(now, it, reason, 0)
}

// retryAfter is the time until such an item would fit, at its place in the
// calendar, with a quarter of jitter to either side.
func (q *Queue) retryAfter(now time.Time, it Item, reason Reason, late time.Duration) time.Duration {
	earliest := max(late, minRetryAfter)
	if reason == ReasonNoCapacity || reason == ReasonBroken {
		earliest = noCapacityRetry
	}
	work := seconds(it.Size / (returnShare * q.est.rate(max(q.capacity, 1))))
	after := q.returns.book(now, earliest, work)
	return time.Duration(float64(after) * (0.75 + 0.5*q.rng.Float64()))
}
