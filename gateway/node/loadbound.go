package node

import (
	"time"

	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/gateway/forward"
	"goldcrestfork/policy/placement"
)

// loadBound is the bound on the load of an accepted version's endpoints that is in force on one VM.
type loadBound struct {
	placement.LoadBound
	// streaming says that the service answers with streams. The load that other VMs have at endpoints is known
	// for streams alone, which last long enough.
	streaming bool
}

// recordLoad counts an answer by the load that its endpoint stated.
func (r *rollouts) recordLoad(o *order, a forward.AnswerResult) {
	if o == nil || a.Slots == 0 || a.Broke || !o.reported() {
		return
	}
	if a.Version == o.Target || !o.decided() {
		o.trial.CountLoad(a.Version == o.Target, a.InFlight, a.Failed)
	}
	if a.Answer.Head > 0 && !o.bound.streaming {
		r.mu.Lock()
		defer r.mu.Unlock()
		if current := r.orders[a.Service]; current != nil && current.id == o.id {
			current.bound.streaming = true
		}
	}
}

// boundLoad bounds the load of an accepted version's endpoints. Callers hold r.mu.
func (r *rollouts) boundLoad(now time.Duration, o *order) {
	var b placement.LoadBound
	if o.bound.streaming && o.accepted() {
		if l, ok := o.trial.LoadBound(now); ok {
			b = placement.LoadBound{Version: o.Target, Others: l.Others, First: l.First}
			if ids := rendezvous.Rank(o.id, r.n.table.Steady(time.Now(), o.Service, o.Target)); len(ids) > 0 {
				b.FirstID = ids[0]
			}
		}
	}
	if b == o.bound.LoadBound {
		return
	}
	o.bound.LoadBound = b
	r.n.table.BoundLoad(o.Service, b)
	r.addTallies(r.n.log.Info(), now, o).Str("version", b.Version).Int("others", b.Others).Int("first", b.First).Str("endpoint", b.FirstID).
		Msg("load of a new version's endpoints bounded")
}
