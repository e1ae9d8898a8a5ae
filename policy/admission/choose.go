package admission

import (
	"math"
	"time"

	"goldcrestfork/config"
)

// choose finds the account and class whose first item is to start next: a class at
// risk that is below its floor first, then the classes in order.
func (q *Queue) choose(now time.Time) (a *account, class int, ok bool) {
	all := q.est.rate(q.capacity)
	fair := q.fairUsage(now)
	for c := classes - 1; c > 0; c-- {
		if !q.atRisk[c] || q.started[c].rate(now) >= floors[c]*all {
			continue
		}
		if a, ok = q.fairest(now, c, nobody); ok {
			return a, c, true
		}
	}
	for c := range classes {
		if c > 0 && q.running >= q.capacity-q.immediateReserve(now) {
			break
		}
		if a, ok = q.fairest(now, c, fair); ok {
			return a, c, true
		}
	}
	return nil, 0, false
}

// fairest returns the account with the least tag among those that wait in the class.
// One that had more than the fair usage for its weight is passed over while only the
// slots are free that it is to leave to the others.
func (q *Queue) fairest(now time.Time, class int, fair float64) (*account, bool) {
	var best *account
	last := q.running >= q.capacity-q.reserve()-q.immediateReserve(now)
	for _, a := range q.backlog {
		if len(a.queues[class]) == 0 || last && q.overShare(now, a, fair) {
			continue
		}
		if best == nil || a.tag < best.tag {
			best = a
		}
	}
	return best, best != nil
}

// immediateReserve is the number of slots that lower classes leave free while
// immediate requests come in. Without it, an immediate request waits for whatever
// took the last slot, however long that is.
func (q *Queue) immediateReserve(now time.Time) int {
	if q.started[config.ClassImmediate].rate(now) < immediateDemand*q.est.rate(q.capacity) {
		return 0
	}
	return int(q.cfg.ImmediateReserve*float64(q.capacity) + 0.5)
}

// reserve is the number of slots that accounts above their share leave free.
func (q *Queue) reserve() int {
	return min(int(q.cfg.Reserve*float64(q.capacity)+0.5), q.capacity-1)
}

// nobody is a fair usage that no account exceeds.
var nobody = math.Inf(1)

// fairUsage is the recent work for each unit of weight above which an account has
// more than its share, counted among the accounts that are active.
func (q *Queue) fairUsage(now time.Time) float64 {
	if q.active == 0 {
		return nobody
	}
	return shareSlack * q.usage.value(now) / q.active
}

// overShare reports whether the account lately had more than its share of the work.
// It never does alone.
func (q *Queue) overShare(now time.Time, a *account, fair float64) bool {
	if a.weight >= q.active || a.usage.sum <= shareItems*q.est.size {
		return false // sum is the usage before it faded, so an upper bound
	}
	return a.usage.value(now)-shareItems*q.est.size > fair*a.weight
}

// activity sums the weights of the accounts that are active. An account that came up
// since the last time, a tenth of a second ago at most, is missing; its share is
// small by then.
func (q *Queue) activity(now time.Time) {
	least := usageFloor * q.est.size
	q.active = 0
	for _, a := range q.accounts {
		if a.queued() > 0 || a.usage.value(now) > least {
			q.active += a.weight
		}
	}
}
