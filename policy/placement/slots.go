package placement

import (
	"time"

	"goldcrestfork/policy/outlier"
)

// UsableSlots returns the slots of the endpoints of a service that take requests now, by version.
// Endpoints that only this VM leaves alone, for a rest or a request limit, count as well.
func (t *Table) UsableSlots(now time.Time, service string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int)
	p := t.services[service]
	if p == nil {
		return out
	}
	whole := &Request{Service: service} // may run anywhere
	for _, e := range p.list {
		avoided := e.avoidFor > 0 || e.peerLoad.Avoided && t.peerLoadFresh(now) || e.fleetRecord.OtherLife && now.Sub(t.recordsAt) < recordsMaxAge
		if e.lost || avoided || e.cold(now) || e.outlierState == outlier.Ejected || !e.eligible(whole) {
			continue
		}
		out[e.Version] += e.Slots
	}
	return out
}
