package dispatch

import (
	"time"

	"goldcrestfork/policy/poison"
)

// RecentPoisonCounts returns, by pool, the blame of requests whose last crash was at most maxAge
// ago. It returns at most limit counts in total.
func (d *Dispatcher) RecentPoisonCounts(maxAge time.Duration, limit int) map[string][]poison.Count {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string][]poison.Count)
	for name, ps := range d.pools {
		for _, c := range ps.tracker.Counts(now) {
			if c.Age <= maxAge && limit > 0 {
				out[name] = append(out[name], c)
				limit--
			}
		}
	}
	return out
}

// MergePoisonCounts merges the counts that another VM sent.
func (d *Dispatcher) MergePoisonCounts(byPool map[string][]poison.Count) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, counts := range byPool {
		if ps := d.pools[name]; ps != nil {
			ps.tracker.Merge(now, counts)
		}
	}
}

// fullLoad is the load, in thousandths, of a VM whose slots are all in use.
const fullLoad = 1000

// Load returns this VM's use of the slots assigned to it, in thousandths.
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
