package admission

import (
	"time"
)

// choose finds the item to start next: a class at risk that is below its floor
// first, then the classes in order.
func (q *Queue) choose(now time.Time) (a *account, class, i int, ok bool) {
	longOK := q.longAllowed(now)
	all := q.est.rate(q.capacity)
	for c := classes - 1; c > 0; c-- {
		if !q.atRisk[c] || q.started[c].rate(now) >= floors[c]*all {
			continue
		}
		if a, class, i, ok = q.fairest(now, c, false, longOK); ok {
			return a, class, i, true
		}
	}
	for c := range classes {
		if a, class, i, ok = q.fairest(now, c, true, longOK); ok {
			return a, class, i, true
		}
	}
	return nil, 0, 0, false
}

// fairest returns the item at the head of the account with the least tag among
// those that wait in the class. With ranks, accounts above their share have lost
// theirs: they are passed over until the last class, and compete there with all
// their items.
func (q *Queue) fairest(now time.Time, class int, ranks, longOK bool) (*account, int, int, bool) {
	var best *account
	bestClass, bestItem := 0, 0
	for _, a := range q.order {
		from, to := class, class
		if ranks && q.count > a.queued() && q.overShare(now, a) {
			if class < classes-1 {
				continue
			}
			from = 0
		}
		for c := from; c <= to; c++ {
			i, ok := q.head(a, c, longOK)
			if !ok {
				continue
			}
			if best == nil || a.tag < best.tag {
				best, bestClass, bestItem = a, c, i
			}
			break
		}
	}
	return best, bestClass, bestItem, best != nil
}

// head returns the first item of the account in the class that may start.
func (q *Queue) head(a *account, class int, longOK bool) (int, bool) {
	for i, w := range a.queues[class] {
		if longOK || !q.isLong(w.Size) {
			return i, true
		}
	}
	return 0, false
}

// longAllowed reports whether another long item may start: while short items come
// in, some slots are kept for them, since a slot given to a long item is gone for
// many of their deadlines.
func (q *Queue) longAllowed(now time.Time) bool {
	if now.Sub(q.short) > shortDemand {
		return true
	}
	reserve := int(q.cfg.ShortReserve*float64(q.capacity) + 0.5)
	return q.long < max(q.capacity-reserve, 1)
}

// overShare reports whether the account lately had more than its share of the
// work, counted among the accounts that are active.
func (q *Queue) overShare(now time.Time, a *account) bool {
	used := a.usage.value(now)
	if used == 0 {
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
