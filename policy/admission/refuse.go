package admission

import (
	"time"
)

const (
	// minRetryAfter is the minimum Retry-After time. A shorter time would be spent on
	// setting up the connection.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter is the maximum Retry-After time. Estimates do not reach beyond a
	// minute.
	maxRetryAfter = time.Minute
	// retryShare is the share of capacity that the schedule of retries sets aside for
	// refused callers, so that their retries do not form a second burst.
	retryShare = 0.25
	// noCapacityRetryAfter is the Retry-After time of a pool without endpoints: about the
	// time of an engine from its start to its first request.
	noCapacityRetryAfter = 5 * time.Second
)

// retrySchedule spreads the retries of refused callers. Each retry is scheduled after the
// previous one, by the time that its work takes on retryShare of the capacity.
type retrySchedule struct{ next time.Time }

// book reserves the next time at or after `earliest` for the given work and returns the
// delay until then.
func (c *retrySchedule) book(now time.Time, earliest, work time.Duration) time.Duration {
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

// lateness returns by how much an item would miss its deadline behind the current
// backlog, or by how much it would make a queued item behind it miss its own deadline. It
// returns 0 if neither happens.
func (q *Queue) lateness(now time.Time, a *account, w *queuedItem) time.Duration {
	if q.running == 0 && q.queued == 0 {
		// An idle pool accepts any item before its deadline: if it refused them all, no
		// answer would ever correct a wrong estimate.
		return max(now.Sub(w.Deadline), 0)
	}
	if q.running < q.capacity && q.queued == 0 {
		// A free slot delays no other item, so the item is accepted unless it cannot
		// complete.
		return max(now.Add(q.est.minServiceTime(w.Size)).Sub(w.Deadline), 0)
	}
	o := q.classBacklog(now, int(w.Class))
	own, at := a.workAhead(int(w.Class), w.key)
	if late := q.latenessAfter(now, o, a, w, own, offerWaitFactor); late > 0 {
		return late
	}
	return q.displacedLateness(now, o, a, w, own, at)
}

// latenessAfter returns by how much an item misses its deadline that has `own` work of
// its account ahead of it, or 0. waitFactor is the factor applied to the estimated waiting
// time.
func (q *Queue) latenessAfter(now time.Time, o classBacklog, a *account, w *queuedItem, own, waitFactor float64) time.Duration {
	wait := time.Duration(waitFactor * float64(o.waitTime(a, int(w.Class), own)))
	return max(now.Add(wait+q.est.serviceTime(w.Size)).Sub(w.Deadline), 0)
}

// displacedLateness returns by how much the first item behind the new one would miss its
// deadline because of it, or 0. An accepted item takes precedence over a later one: its
// caller has already waited, whereas the new item can be refused at once.
func (q *Queue) displacedLateness(now time.Time, o classBacklog, a *account, w *queuedItem, own float64, at int) time.Duration {
	for _, behind := range a.queues[w.Class][at:] {
		if q.latenessAfter(now, o, a, behind, own, 1) == 0 {
			if late := q.latenessAfter(now, o, a, behind, own+w.Size, 1); late > 0 {
				return late
			}
		}
		own += behind.Size
	}
	return 0
}

// check refuses items that can no longer meet their deadline and finds the classes at
// risk.
func (q *Queue) check(now time.Time) {
	q.updateActiveWeight(now)
	for class := range classes {
		q.atRisk[class] = false
		o := q.classBacklog(now, class)
		for i := 0; i < len(q.backlog); {
			a := q.backlog[i]
			q.checkAccount(now, o, a, class)
			if i < len(q.backlog) && q.backlog[i] == a {
				i++ // otherwise the account left the backlog and another has its index
			}
		}
	}
}

// checkAccount refuses the items of one account and class that can no longer meet their
// deadline, and marks the class as at risk if other items are likely to miss theirs.
func (q *Queue) checkAccount(now time.Time, o classBacklog, a *account, class int) {
	drained := seconds(o.work / o.rate) // time until the whole class is served
	own := 0.0
	for i := 0; i < len(a.queues[class]); {
		w := a.queues[class][i]
		if late := q.latenessAfter(now, o, a, w, own, checkWaitFactor); late > 0 {
			q.take(a, class, i)
			q.refuse(now, w.Item, ReasonDeadline, late)
			continue
		}
		own += w.Size
		i++
		if class > 0 && now.Add(drained+q.est.serviceTime(w.Size)).After(w.Deadline) {
			q.atRisk[class] = true
		}
	}
}

// evict frees one place in a full queue: the account with the most queued work per weight
// loses its last item. It reports false if that account is the one that submits the new
// item.
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

// drainTime returns the time that the whole backlog takes.
func (q *Queue) drainTime() time.Duration {
	sum := 0.0
	for _, w := range q.queuedWork {
		sum += w
	}
	return seconds(sum / q.est.rate(max(q.capacity, 1)))
}

// refuseAll refuses all queued items.
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

// refuse records the refusal of an item that was queued. late is by how much it misses
// its deadline.
func (q *Queue) refuse(now time.Time, it Item, reason Reason, late time.Duration) {
	q.refused = append(q.refused, Refusal{
		Item: it, Reason: reason, RetryAfter: q.retryAfter(now, it, reason, late),
	})
}

// verdict returns the refusal of an item that is offered.
func (q *Queue) verdict(now time.Time, it Item, reason Reason, late time.Duration) Verdict {
	return Verdict{Outcome: Refused, Reason: reason, RetryAfter: q.retryAfter(now, it, reason, late)}
}

// RetryAfter returns the retry time for a request that the user of this package refuses
// for a reason of its own, such as a failing pool.
func (q *Queue) RetryAfter(now time.Time, it Item, reason Reason) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.retryAfter(now, it, reason, 0)
}

// retryAfter returns the time until the item would fit, according to the retry schedule,
// with a jitter of a quarter in either direction.
func (q *Queue) retryAfter(now time.Time, it Item, reason Reason, late time.Duration) time.Duration {
	earliest := max(late, minRetryAfter)
	if reason == ReasonNoCapacity || reason == ReasonPoolFailing {
		earliest = noCapacityRetryAfter
	}
	work := seconds(it.Size / (retryShare * q.est.rate(max(q.capacity, 1))))
	after := q.retries.book(now, earliest, work)
	return time.Duration(float64(after) * (0.75 + 0.5*q.rng.Float64()))
}
