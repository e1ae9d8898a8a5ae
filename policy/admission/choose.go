package admission

import (
	"time"
)

// choose finds the account and class whose first item is to start next: a class at risk that is below its floor
// first, then the classes in order.
func (q *Queue) choose(now time.Time) (a *account, class int, ok bool) {
	all := q.est.rate(q.capacity)
	for c := classes - 1; c > 0; c-- {
		if !q.atRisk[c] || q.started[c].rate(now) >= floors[c]*all {
			continue
		}
		if a, class, ok = q.fairest(now, c, false); ok {
			return a, class, true
		}
	}
	for c := range classes {
		if a, class, ok = q.fairest(now, c, true); ok {
			return a, class, true
		}
	}
	return nil, 0, false
}

// fairest returns the item at the head of the account with the least tag among
// those that wait in the class. With ranks, accounts above their share have lost
// theirs: they are passed over until the last class, and compete there with all
// their items.
func (q *Queue) fairest(now time.Time, class int, ranks bool) (*account, int, bool) {
	var best *account
	bestClass := 0
	for _, a := range q.order {
		from, to := class, class
		if ranks && q.overShare(now, a) {
			if class < classes-1 || q.running >= q.capacity-q.reserve() {
				continue
			}
			from = 0
		}
		for c := from; c <= to; c++ {
			if len(a.queues[c]) == 0 {
				continue
			}
			if best == nil || a.tag < best.tag {
				best, bestClass = a, c
			}
			break
		}
	}
	return best, bestClass, best != nil
}

// reserve is the number of slots that accounts above their share leave free.
func (q *Queue) reserve() int {
	return min(int(q.cfg.Reserve*float64(q.capacity)+0.5), q.capacity-1)
}

// overShare reports whether the account lately had more than its share of the
// work, counted among the accounts that are active. It never does alone.
func (q *Queue) overShare(now time.Time, a *account) bool {
	used := a.usage.value(now) - shareItems*q.est.size
	if used <= 0 {
		return false
	}
	least := usageFloor * q.est.size
	total, weights := 0.0, 0.0
	for _, x := range q.order {
		value := x.usage.value(now)
		if value > least || x.queued() > 0 {
			total += value
			weights += x.weight
		}
	}
	return used > shareSlack*total*a.weight/weights
}
