package node

import (
	"context"
	"time"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/forward"
	"goldcrestfork/policy/trial"
)

// Reasons for a choice of a version, as request lines give them.
const (
	whySettled    = "no-order-yet" // another version's order isn't known
	whyNoRollOut  = "no-roll-out"
	whyTaken      = "taken" // the roll-out moves or moved all requests
	whyTakenBack  = "taken-back"
	whyTrial      = "trial"
	whyNotInTrial = "not-in-trial"
	whyBefore     = "not-exposed" // the trial has not begun here, or is over
	whyStays      = "stays"       // the session is at the old version
)

// pin is one request's hold on the version of its session.
type pin struct {
	r                *rollouts
	service, session string
}

// Begin implements forward.Versions.
func (r *rollouts) Begin(service, session string, _ time.Time) forward.Pin {
	return &pin{r: r, service: service, session: session}
}

// Choose implements forward.Pin.
func (p *pin) Choose(context.Context) (forward.Choice, forward.Why) {
	return p.r.choose(p.service, p.session)
}

// End implements forward.Pin.
func (p *pin) End(string) {}

func (r *rollouts) choose(service, session string) (forward.Choice, forward.Why) {
	now := r.clock()
	s := trial.SessionOf(service, session)
	tries := s.Tries(trial.Share(r.n.bounds().ExposureShare))
	c, why := r.version(now, service, s, tries)
	switch why.Reason {
	case whyTaken, whyTrial:
	default:
		// A later trial must find the session whatever kept it at the old version now.
		if session != "" && tries {
			r.sessions.AtOld(now, s)
		}
	}
	return c, why
}

// version decides which version serves a session.
func (r *rollouts) version(now time.Duration, service string, s trial.Session, tries bool) (forward.Choice, forward.Why) {
	if v := r.n.view.Settled(service); v != "" {
		return forward.Choice{Only: v}, forward.Why{Reason: whySettled}
	}
	o := r.order(service)
	why := forward.Why{Reason: r.reason(now, o, s, tries)}
	if o != nil {
		why.RollOutAge = o.trial.Age(now)
		why.SeenAge = r.sessions.Age(now, s)
	}
	switch why.Reason {
	case whyNoRollOut:
		return forward.Choice{}, why
	case whyTaken, whyTrial:
		return forward.Choice{Only: o.Target}, why
	}
	return r.old(o), why
}

// reason decides about a session; o is the service's roll-out or nil.
func (r *rollouts) reason(now time.Duration, o *order, s trial.Session, tries bool) string {
	switch {
	case o == nil:
		return whyNoRollOut
	case o.State == catalog.RollOutMoving || o.State == catalog.RollOutCompleted:
		return whyTaken
	case o.State == catalog.RollOutRolledBack:
		return whyTakenBack
	case !tries:
		return whyNotInTrial
	case !o.trial.Exposes(now):
		return whyBefore
	case r.sessions.Stays(now, s):
		return whyStays
	}
	return whyTrial
}
