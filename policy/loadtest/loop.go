package loadtest

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time; any fixed instant would do.
var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Time
	seq int // events of the same instant run in the order they were made
	run func()
}

type events []event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h events) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h *events) Push(x any) { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// loop runs events in order of virtual time.
type loop struct {
	now   time.Time
	queue events
	seq   int
}

func (l *loop) at(t time.Time, run func()) {
	l.seq++
	heap.Push(&l.queue, event{at: t, seq: l.seq, run: run})
}

func (l *loop) after(d time.Duration, run func()) { l.at(l.now.Add(d), run) }

// every runs an event each period until the loop ends.
func (l *loop) every(first, period time.Duration, run func()) {
	l.after(first, func() {
		run()
		l.every(period, period, run)
	})
}

// runUntil runs events until a time, or until done says that nothing matters any more.
func (l *loop) runUntil(end time.Time, done func() bool) {
	for len(l.queue) > 0 && !l.queue[0].at.After(end) && !done() {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.run()
	}
}

// since is the virtual time since the start.
func (l *loop) since() time.Duration { return l.now.Sub(epoch) }
