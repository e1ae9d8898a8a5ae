package node

import (
	"time"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/policy/trial"
)

const (
	// keepPause is the least time between records of what is known of an accepted version at the platform. Bad answers and
	// a stop are recorded sooner.
	keepPause = 2 * time.Second
	// keptBad is the number of bad answers beyond the recorded ones from which they are recorded again.
	keptBad = 5
	// keptLoad is the factor between the load bound and the recorded one from which it is recorded again.
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
	s, kept := o.trial.Standing(), o.Standing
	urgent := s.Stopped && !kept.Stopped || s.Bad >= kept.Bad+keptBad || s.Suspect >= kept.Suspect+keptBad
	if urgent {
		return time.Since(o.lastKept) >= recordPause
	}
	differs := s.LoadBad >= kept.LoadBad+keptBad || s.Load > 0 && differsBy(keptLoad, s.Load, kept.Load)
	return differs && time.Since(o.lastKept) >= keepPause
}

// differsBy reports whether one of two numbers is more than factor times the other.
func differsBy(factor float64, a, b int) bool {
	return float64(a) > factor*float64(b) || float64(b) > factor*float64(a)
}

// replace begins a new order of a service with what is known of its versions; old is the order before, nil for none. Callers
// hold r.mu.
func (r *rollouts) replace(old, current *order) {
	stopped := current.StoppedVersion
	if current.State == catalog.RollOutCompleted {
		stopped = ""
	}
	if old != nil && old.accepted() && old.trial.Stopped() && old.Target != current.Target {
		stopped = old.Target
	}
	delete(r.stopped, current.Service)
	if stopped != "" {
		r.stopped[current.Service] = stopped
		current.oldStopped = true
		current.trial.SetOldStopped()
	}
	if current.accepted() {
		current.trial.JoinLate()
	}
	current.trial.SetRecord(current.Standing)
}
