package node

import (
	"time"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/policy/trial"
)

const (
	// keepPause is the least time between records of what is known of an accepted version. Bad answers and a stop are
	// recorded sooner.
	keepPause = 2 * time.Second
	// keptBad is the number of further bad answers that are recorded.
	keptBad = 5
	// keptLoad is the factor by which the load bound differs from the recorded one if it is recorded.
	keptLoad = 1.25
)

// watchAccepted judges an accepted version and logs its stop. Callers hold r.mu.
func (r *rollouts) watchAccepted(now time.Duration, o *order) {
	if !o.accepted() {
		return
	}
	o.trial.Watch(now, trial.Accepted{
		Completed: o.State == catalog.RollOutCompleted, Endpoints: r.n.table.Count(o.Service, o.Target), RollBack: r.n.bounds().RollBack,
	})
	if s := o.trial.Standing(); s.Stopped && !o.loggedStop {
		o.loggedStop = true
		r.addTallies(r.n.log.Warn(), now, o).Uint64("bad", s.Bad).Msg("accepted version stopped")
	}
}

// mustKeep reports whether what is known of a completed version differs from what the platform keeps. Callers hold r.mu.
func (r *rollouts) mustKeep(o *order) bool {
	if o.State != catalog.RollOutCompleted {
		return false
	}
	s, kept, pause := o.trial.Standing(), o.Standing, keepPause
	if s.Stopped && !kept.Stopped || s.Bad >= kept.Bad+keptBad || s.Suspect >= kept.Suspect+keptBad {
		pause = recordPause
	}
	if time.Since(o.lastKept) < pause {
		return false
	}
	load, keptLoadBound := float64(s.Load), float64(kept.Load)
	return s.Stopped && !kept.Stopped || s.Bad >= kept.Bad+keptBad || s.Suspect >= kept.Suspect+keptBad || s.LoadBad >= kept.LoadBad+keptBad ||
		s.Load > 0 && (load > keptLoad*keptLoadBound || load*keptLoad < keptLoadBound)
}
