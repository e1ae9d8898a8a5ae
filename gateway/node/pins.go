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
	r       *rollouts
	service string
	session trial.Session
	// tries says that the session would try a new version; remembered, that it is known
	// by an id as well.
	tries, remembered bool
	atOld             bool // under way at the old version; guarded by r.mu
}

// Begin implements forward.Versions.
func (r *rollouts) Begin(service, session string, _ time.Time) forward.Pin {
	s := trial.SessionOf(service, session)
	tries := s.Tries(trial.Share(r.n.bounds().ExposureShare))
	return &pin{r: r, service: service, session: s, tries: tries, remembered: tries && session != ""}
}

// Choose implements forward.Pin.
func (p *pin) Choose(context.Context) (forward.Choice, forward.Why) {
	r, now := p.r, p.r.clock()
	r.remember(now)
	c, why := r.version(now, p)
	if p.remembered {
		r.note(now, p, why.Reason != whyTaken && why.Reason != whyTrial)
	}
	return c, why
}

// End implements forward.Pin.
func (p *pin) End(string) {
	if p.remembered {
		p.r.note(p.r.clock(), p, false)
	}
}

// note keeps a request under way at the old version in memory, whatever sent it there, or
// ends that: a session's pause counts from the end of its last request.
func (r *rollouts) note(now time.Duration, p *pin, atOld bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.atOld || atOld {
		r.sessions.AtOld(now, p.session)
	}
	p.atOld = atOld
	if atOld {
		r.open[p] = struct{}{}
	} else {
		delete(r.open, p)
	}
}

// remember refreshes the sessions of requests under way at the old version.
func (r *rollouts) remember(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.open {
		r.sessions.AtOld(now, p.session)
	}
}

// version decides which version serves a request.
func (r *rollouts) version(now time.Duration, p *pin) (forward.Choice, forward.Why) {
	if v := r.n.view.Settled(p.service); v != "" {
		return forward.Choice{Only: v}, forward.Why{Reason: whySettled}
	}
	o := r.order(p.service)
	why := forward.Why{Reason: r.reason(now, o, p.session, p.tries)}
	if o != nil {
		why.RollOutAge = o.trial.Age(now)
		why.SeenAge = r.sessions.Age(now, p.session)
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
