package placement

import "time"

// AskRest records that an endpoint wants no request from this VM for a time. It reports whether it
// asked for longer than before.
func (t *Table) AskRest(now time.Time, id string, length time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	return e != nil && e.rest.Ask(now, length)
}
