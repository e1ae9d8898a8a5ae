package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// usageTimeConstant is the time constant of the recent work of an account or a class. It
// covers several service times of a typical request (2 s): with 2 s, one long request of
// a small account would count as a flood.
const usageTimeConstant = 10 * time.Second

// decayingSum is a sum of work that decays exponentially with its time constant, which is
// usageTimeConstant if it is 0.
type decayingSum struct {
	sum      float64
	at       time.Time
	constant time.Duration
}

func (d *decayingSum) timeConstant() float64 {
	if d.constant > 0 {
		return d.constant.Seconds()
	}
	return usageTimeConstant.Seconds()
}

func (d *decayingSum) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/d.timeConstant())
}

func (d *decayingSum) add(now time.Time, work float64) {
	d.sum = max(d.value(now)+work, 0)
	d.at = now
}

// rate returns the recent work per second.
func (d *decayingSum) rate(now time.Time) float64 {
	return d.value(now) / d.timeConstant()
}

// queuedItem is an item in the queue.
type queuedItem struct {
	Item
	// key orders the items of an account. It is the arrival time plus the delay by
	// Config.ShortFirst.
	key time.Time
}

// account is the part of the queue that belongs to one client account.
type account struct {
	name   string
	weight float64
	// finishTag is the virtual finish time of the account's last started item.
	finishTag float64
	// usage is the work started recently.
	usage decayingSum
	// backlogIndex is the index of the account in Queue.backlog while it has queued
	// items.
	backlogIndex int
	queues       [classes][]*queuedItem
	work         [classes]float64 // queued work per class
}

func (a *account) push(w *queuedItem) {
	q := a.queues[w.Class]
	at, _ := slices.BinarySearchFunc(q, w, func(x, y *queuedItem) int {
		if c := x.key.Compare(y.key); c != 0 {
			return c
		}
		return cmp.Compare(x.ID, y.ID)
	})
	a.queues[w.Class] = slices.Insert(q, at, w)
	a.work[w.Class] += w.Size
}

// remove removes and returns the i-th item of a class.
func (a *account) remove(class, i int) *queuedItem {
	w := a.queues[class][i]
	a.queues[class] = slices.Delete(a.queues[class], i, i+1)
	a.work[class] -= w.Size
	if len(a.queues[class]) == 0 {
		a.work[class] = 0
	}
	return w
}

func (a *account) itemCount() int {
	n := 0
	for _, q := range a.queues {
		n += len(q)
	}
	return n
}

// workAhead returns the account's own work that is served before an item with the given
// key, and the number of items in it.
func (a *account) workAhead(class int, key time.Time) (work float64, items int) {
	for _, w := range a.queues[class] {
		if w.key.After(key) {
			break
		}
		work += w.Size
		items++
	}
	return work, items
}
