package placement

import "time"

// SetPathsLost sets whether this VM has lost its network paths to all endpoints. Its failures then say
// nothing about these: LocalLoad and Records don't report them, and when the paths are back no endpoint
// is avoided for them.
func (t *Table) SetPathsLost(now time.Time, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pathsLost = lost
	for e := range t.active {
		if lost {
			e.record = record{otherLifeUntil: e.record.otherLifeUntil}
			continue
		}
		if !now.Before(e.record.otherLifeUntil) {
			e.avoidFor, e.avoidUntil = 0, time.Time{}
		}
	}
}
