package placement

import "time"

// SetLimit records that an endpoint stated a request limit in an answer, in requests a second
// from all VMs together. It reports whether the limit is new or differs from the last one.
func (t *Table) SetLimit(now time.Time, id string, rate float64) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil {
		e.limit, changed = e.limit.Next(now, rate)
	}
	return changed
}

// EndLimit records that an endpoint answered a request sent at sentAt without stating a limit.
// It reports whether a limit ended.
func (t *Table) EndLimit(now time.Time, id string, sentAt time.Time) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil {
		e.limit, ended = e.limit.End(now, sentAt)
	}
	return ended
}

// PauseLimited leaves an endpoint out of choices until its request limit allows a request, after
// the given time.
func (t *Table) PauseLimited(now time.Time, id string, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil {
		e.limitPausedUntil = now.Add(wait)
	}
}

// Region returns the region of an endpoint, "" if it isn't known.
func (t *Table) Region(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil {
		return e.Region
	}
	return ""
}
