package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// usageTime is the time constant of an account's and a class's recent work: some
// service times of the usual request (2 s). At 2 s, one long request of a small
// account counted as a flood.
const usageTime = 10 * time.Second

// decayed is a sum of work that fades with usageTime.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/usageTime.Seconds())
}

func (d *decayed) add(now time.Time, work float64) {
	d.sum = max(d.value(now)+work, 0)
	d.at = now
}

// rate is the work a second lately.
func (d *decayed) rate(now time.Time) float64 {
	return d.value(now) / usageTime.Seconds()
}

// waiting is an item in the queue.
type waiting struct {
	Item
	// key orders an account's items: arrival, set back by the expected length.
	key time.Time
}

// account is one client account's part of the queue.
type account struct {
	name   string
	weight float64
	// tag is the virtual time at which its last started work is paid for.
	tag float64
	// usage is the work started lately.
	usage decayed
	// place is its index in the queue's backlog while it waits.
	place  int
	queues [classes][]*waiting
	work   [classes]float64 // queued work a class
}

func (a *account) push(w *waiting) {
	q := a.queues[w.Class]
	at, _ := slices.BinarySearchFunc(q, w, func(x, y *waiting) int {
		if c := x.key.Compare(y.key); c != 0 {
			return c
		}
		return cmp.Compare(x.ID, y.ID)
	})
	a.queues[w.Class] = slices.Insert(q, at, w)
	a.work[w.Class] += w.Size
}

// remove takes the i-th item of a class out.
func (a *account) remove(class, i int) *waiting {
	w := a.queues[class][i]
	a.queues[class] = slices.Delete(a.queues[class], i, i+1)
	a.work[class] -= w.Size
	if len(a.queues[class]) == 0 {
		a.work[class] = 0
	}
	return w
}

func (a *account) queued() int {
	n := 0
	for _, q := range a.queues {
		n += len(q)
	}
	return n
}

// ahead is the account's own work that is served before an item with that key,
// and the number of its items.
func (a *account) ahead(class int, key time.Time) (work float64, items int) {
	for _, w := range a.queues[class] {
		if w.key.After(key) {
			break
		}
		work += w.Size
		items++
	}
	return work, items
}
