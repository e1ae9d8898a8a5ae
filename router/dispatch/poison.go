package dispatch

import (
	"time"

	"goldcrestfork/policy/poison"
)

// PoisonNews returns what is held against requests whose last crash was at most
// news ago, by pool, at most most of them.
func (d *Dispatcher) PoisonNews(news time.Duration, most int) map[string][]poison.Count {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string][]poison.Count)
	for name, l := range d.lines {
		for _, c := range l.tracker.Counts(now) {
			if c.Age <= news && most > 0 {
				out[name] = append(out[name], c)
				most--
			}
		}
	}
	return out
}

// MergePoison takes another VM's word.
func (d *Dispatcher) MergePoison(news map[string][]poison.Count) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, counts := range news {
		if l := d.lines[name]; l != nil {
			l.tracker.Merge(now, counts)
		}
	}
}

// fullLoad is the load, in thousandths, of a VM whose slots are all in use.
const fullLoad = 1000

// Load is this VM's use of the slots dealt to it, in thousandths.
func (d *Dispatcher) Load() uint16 {
	d.mu.Lock()
	defer d.mu.Unlock()
	slots, running := 0, 0
	for _, e := range d.endpoints {
		slots += d.bounds(e).Slots
		running += len(e.running)
	}
	if slots == 0 {
		return 0
	}
	return uint16(min(fullLoad*running/slots, fullLoad))
}
