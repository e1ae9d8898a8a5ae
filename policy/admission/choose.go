package admission

import (
	"math"
	"time"

	"goldcrestfork/config"
)

// choose returns the account and class whose first item starts next. A class at risk that
// is below its floor comes first, then the classes in order.
func (q *Queue) choose(now time.Time) (a *account, class int, ok bool) {
	all := q.est.rate(q.capacity)
	fair := q.fairUsage(now)
	for c := classes - 1; c > 0; c-- {
		if !q.atRisk[c] || q.startedWork[c].rate(now) >= classFloors[c]*all {
			continue
		}
		if a, ok = q.fairest(now, c, unlimitedUsage); ok {
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

// fairest returns the account with the smallest finish tag among those with items in the
// class. While only reserved slots are free, it skips accounts whose recent usage exceeds
// the fair usage for their weight.
func (q *Queue) fairest(now time.Time, class int, fair float64) (*account, bool) {
	var best *account
	onlyReserved := q.running >= q.capacity-q.reserve()-q.immediateReserve(now)
	for _, a := range q.backlog {
		if len(a.queues[class]) == 0 || onlyReserved && q.overShare(now, a, fair) {
			continue
		}
		if best == nil || a.finishTag < best.finishTag {
			best = a
		}
	}
	return best, best != nil
}

// immediateReserve returns the number of slots that lower classes leave free while
// immediate requests arrive. Without these slots an immediate request waits for whichever
// request took the last slot, however long that runs.
func (q *Queue) immediateReserve(now time.Time) int {
	if q.startedWork[config.ClassImmediate].rate(now) < minImmediateShare*q.est.rate(q.capacity) {
		return 0
	}
	return int(q.cfg.ImmediateReserve*float64(q.capacity) + 0.5)
}

// reserve returns the number of slots that accounts above their share leave free.
func (q *Queue) reserve() int {
	return min(int(q.cfg.Reserve*float64(q.capacity)+0.5), q.capacity-1)
}

// unlimitedUsage is a fair usage that no account exceeds.
var unlimitedUsage = math.Inf(1)

// fairUsage returns the recent work per unit of weight above which an account exceeds its
// share, computed over the active accounts.
func (q *Queue) fairUsage(now time.Time) float64 {
	if q.activeWeight == 0 {
		return unlimitedUsage
	}
	return shareSlack * q.usage.value(now) / q.activeWeight
}

// overShare reports whether the account recently had more than its share of the work. An
// account that is active alone never exceeds its share.
func (q *Queue) overShare(now time.Time, a *account, fair float64) bool {
	if a.weight >= q.activeWeight || a.usage.sum <= shareAllowance*q.est.size {
		return false // sum is the usage without decay since the last update, an upper bound
	}
	return a.usage.value(now)-shareAllowance*q.est.size > fair*a.weight
}

// updateActiveWeight recomputes the sum of the weights of the active accounts. An account
// that became active since the last run, at most a tenth of a second ago, is missing
// until the next one; its usage is still small then.
func (q *Queue) updateActiveWeight(now time.Time) {
	least := idleUsage * q.est.size
	q.activeWeight = 0
	for _, a := range q.accounts {
		if a.itemCount() > 0 || a.usage.value(now) > least {
			q.activeWeight += a.weight
		}
	}
}
