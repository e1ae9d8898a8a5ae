package loadtest

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time. The value is arbitrary but fixed, so that
// runs are reproducible.
var epoch = time.Unix(1_700_000_000, 0)

// event is a function scheduled for a time.
type event struct {
	at  time.Time
	seq int // events at the same time run in the order in which they were scheduled
	run func()
}

// eventQueue implements heap.Interface, ordered by time and sequence number.
type eventQueue []event

func (h eventQueue) Len() int      { return len(h) }
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventQueue) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h *eventQueue) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventQueue) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// loop runs events in the order of virtual time.
type loop struct {
	now   time.Time
	queue eventQueue
	seq   int
}

func (l *loop) schedule(t time.Time, run func()) {
	l.seq++
	heap.Push(&l.queue, event{at: t, seq: l.seq, run: run})
}

func (l *loop) after(d time.Duration, run func()) { l.schedule(l.now.Add(d), run) }

// every runs a function first after the duration first, and then in each period
// until the loop ends.
func (l *loop) every(first, period time.Duration, run func()) {
	l.after(first, func() {
		run()
		l.every(period, period, run)
	})
}

// runUntil runs events until the time end, or until done returns true.
func (l *loop) runUntil(end time.Time, done func() bool) {
	for len(l.queue) > 0 && !l.queue[0].at.After(end) && !done() {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.run()
	}
}

// elapsed returns the virtual time since the start.
func (l *loop) elapsed() time.Duration { return l.now.Sub(epoch) }
