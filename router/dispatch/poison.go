package dispatch

import (
	"time"

	"goldcrestfork/policy/poison"
)

// RecentCrashes returns, by pool, the crashes that are at most maxAge old and have a known request.
// They have at most limit requests in total.
func (d *Dispatcher) RecentCrashes(maxAge time.Duration, limit int) map[string][]poison.Crash {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string][]poison.Crash)
	for name, ps := range d.pools {
		for _, c := range ps.tracker.Crashes(now) {
			if c.Age() <= maxAge && len(c.Requests) > 0 && limit > 0 {
				c.Requests = c.Requests[:min(len(c.Requests), limit)]
				out[name] = append(out[name], c)
				limit -= len(c.Requests)
			}
		}
	}
	return out
}

// MergeCrashes merges the crashes that another VM reports.
func (d *Dispatcher) MergeCrashes(byPool map[string][]poison.Crash) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, crashes := range byPool {
		if ps := d.pools[name]; ps != nil {
			ps.tracker.Merge(now, crashes)
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
