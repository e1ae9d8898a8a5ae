package node

import (
	"context"
	"math/rand/v2"
	"time"

	"goldcrestfork/fleet/sticky"
	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/forward"
	"goldcrestfork/policy/trial"
)

// Reasons for the choice of a version, as the log lines of requests give them.
const (
	whyNoOrderYet = "no-order-yet" // the order of another version isn't known yet
	whyNoRollOut  = "no-roll-out"
	whyTaken      = "taken" // the new version gets, or got, all requests
	whyTakenBack  = "taken-back"
	whyTrial      = "trial"
	whyNotInTrial = "not-in-trial"
	whyWorse      = "worse"       // a VM found the new version worse
	whyNotExposed = "not-exposed" // the trial has not begun on this VM
	whyStays      = "stays"       // the session uses the old version
	whyMoved      = "moved"       // to the new version, by a VM that knew earlier of its acceptance
	whyNoKeeper   = "no-keeper"   // no VM that keeps the session answers
	whyStopped    = "stopped"     // the accepted version's answers fail, and the old version has ended
)

// Versions that a session may use during a trial, as stored by the keepers of sessions.
const (
	atOld sticky.Value = iota + 1
	atNew
)

// Ranks of values at the keepers of sessions: a decision on the roll-out overrides a choice in
// its trial.
const (
	rankTrial uint8 = iota + 1
	rankDecided
)

// stoppedRetryAfter is the time after which the caller of a stopped version should come back, at least. Operators take
// longer to replace it.
const stoppedRetryAfter = 5 * time.Second

// sessionMargin is added to a session's longest pause: callers measure the pause from the end
// of an answer as they receive it.
const sessionMargin = time.Second

// pin keeps one request at the version of its session.
type pin struct {
	r        *rollouts
	service  string
	id       string        // the session's id, "" for none
	session  trial.Session // a random one for a request without a session
	inTrial  bool          // whether the session may use a new version in a trial
	holder   uint64
	deadline time.Time

	// Guarded by r.mu.
	value  sticky.Value      // of the last choice; 0 for none
	key    sticky.Key        // under which keepers hold the request; 0 for none
	answer sticky.HoldResult // the keepers' answer
}

// Begin implements forward.Versions.
func (r *rollouts) Begin(service, session string, deadline time.Time) forward.Pin {
	holder := rand.Uint64()
	s := trial.HashSession(service, session)
	if session == "" {
		s = trial.Session(holder)
	}
	return &pin{
		r: r, service: service, id: session, session: s, inTrial: s.Tries(trial.SessionShare(r.n.bounds().ExposureShare)),
		holder: holder, deadline: deadline,
	}
}

// Choose implements forward.Pin.
func (p *pin) Choose(ctx context.Context) (forward.VersionChoice, forward.ChoiceReason) {
	o := p.r.order(p.service)
	c, why := p.chooseVersion(ctx, o)
	if p.id != "" && !c.Stopped {
		value := atOld
		if isNewVersion(why.Reason) {
			value = atNew
		}
		p.remember(o, value)
	}
	return c, why
}

// needsKeepers reports whether VMs may disagree about the session's version now, so that its
// keepers must decide. This is the case while the session may use the new version, and from the
// moment at which that version may be accepted until all VMs have learnt the decision.
func (p *pin) needsKeepers(o *order) bool {
	now := p.r.clock()
	switch {
	case o == nil || p.id == "" || o.oldStopped && !o.decided():
		return false // no session uses a version that is stopped
	case !o.decided():
		return p.inTrial || o.trial.MayBeTaken(now)
	case now-o.learntAt >= p.r.n.bound(kindRollOuts):
		return false
	}
	return p.inTrial || o.State != catalog.RollOutRolledBack
}

// remember records a choice. A choice made without the keepers is sent to them, so that a later
// request of the session gets the same version.
func (p *pin) remember(o *order, value sticky.Value) {
	r, kept := p.r, p.needsKeepers(o)
	r.mu.Lock()
	send := kept && (p.key != o.key(p) || p.value != value)
	if kept {
		p.key = o.key(p)
	}
	p.value = value
	if p.inTrial {
		r.open[p] = struct{}{}
	}
	r.mu.Unlock()
	if send {
		r.n.sticky.Set(p.hold(o, value))
	}
}

// End implements forward.Pin.
func (p *pin) End(version string) {
	r := p.r
	r.mu.Lock()
	delete(r.open, p)
	end := sticky.Release{Key: p.key, Holder: p.holder, Value: p.value, Retention: r.sessionRetention()}
	r.mu.Unlock()
	if version == "" {
		end.Value = sticky.None
	}
	if end.Key != 0 {
		r.n.sticky.Release(end)
	}
}

// sessionRetention returns how long a session is remembered after its last request.
func (r *rollouts) sessionRetention() time.Duration { return r.n.bounds().Session + sessionMargin }

// key returns the key of a request's session under this order.
func (o *order) key(p *pin) sticky.Key { return sticky.KeyOf(o.id + "/" + p.id) }

func (p *pin) hold(o *order, v sticky.Value) sticky.Hold {
	rank := rankTrial
	if o.decided() || o.trial.Worse() {
		rank = rankDecided
	}
	return sticky.Hold{Key: o.key(p), Holder: p.holder, MaxDuration: max(time.Until(p.deadline), 0) + p.r.sessionRetention(), Proposal: v, Rank: rank}
}

// chooseVersion returns the version that serves a request, with the reason; o is the roll-out
// of its service or nil.
func (p *pin) chooseVersion(ctx context.Context, o *order) (forward.VersionChoice, forward.ChoiceReason) {
	r := p.r
	if v := r.n.view.OnlyVersion(p.service); v != "" {
		return forward.VersionChoice{Version: v}, forward.ChoiceReason{Reason: whyNoOrderYet}
	}
	if o == nil {
		return forward.VersionChoice{}, forward.ChoiceReason{Reason: whyNoRollOut}
	}
	why := forward.ChoiceReason{RollOutAge: o.trial.Age(r.clock())}
	switch {
	case o.moving() && o.trial.Worse():
		why.Reason = whyWorse
	case o.accepted() && o.trial.Stopped():
		why.Reason = whyStopped
		return forward.VersionChoice{Stopped: true, RetryAfter: stoppedRetryAfter}, why
	case o.accepted():
		why.Reason = whyTaken
	case o.State == catalog.RollOutRolledBack:
		why.Reason = whyTakenBack
	default:
		p.chooseInTrial(ctx, o, &why)
	}
	if isNewVersion(why.Reason) {
		return forward.VersionChoice{Version: o.Target}, why
	}
	c := r.oldVersion(o)
	if c.Stopped {
		why.Reason = whyStopped
	}
	return c, why
}

// isNewVersion reports whether a reason leads to the version of the roll-out.
func isNewVersion(reason string) bool {
	return reason == whyTaken || reason == whyTrial || reason == whyMoved
}

// chooseInTrial sets the reason while the trial is in progress: a session that uses a version
// stays there, and a session unknown to all keepers uses the new version where it is exposed.
func (p *pin) chooseInTrial(ctx context.Context, o *order, why *forward.ChoiceReason) {
	exposed := p.inTrial && o.trial.IsExposing(p.r.clock())
	why.Reason = whyNotExposed
	switch {
	case o.trial.Worse():
		why.Reason = whyWorse
		return
	case !p.needsKeepers(o):
		if exposed {
			why.Reason = whyTrial
		} else if !p.inTrial {
			why.Reason = whyNotInTrial
		}
		return
	}
	proposal := atOld
	if exposed {
		proposal = atNew
	}
	value, ok := p.heldVersion(ctx, o, proposal, why)
	switch {
	case !ok:
		why.Reason = whyNoKeeper
	case value == atNew && p.inTrial:
		why.Reason = whyTrial
	case value == atNew:
		why.Reason = whyMoved
	case exposed:
		why.Reason = whyStays
	case !p.inTrial:
		why.Reason = whyNotInTrial
	}
}

// heldVersion returns the session's version from its keepers, which are asked once for a
// request.
func (p *pin) heldVersion(ctx context.Context, o *order, proposal sticky.Value, why *forward.ChoiceReason) (sticky.Value, bool) {
	r := p.r
	r.mu.Lock()
	value, asked, answer := p.value, p.value != sticky.None && p.key == o.key(p), p.answer
	r.mu.Unlock()
	why.Keeper, why.SessionAge = answer.Keeper, answer.Age
	if asked {
		return value, true
	}
	h, ok := r.n.sticky.Hold(ctx, p.hold(o, proposal))
	why.Keeper, why.SessionAge = h.Keeper, h.Age
	if ok {
		r.mu.Lock()
		p.key, p.value, p.answer = o.key(p), h.Value, h
		r.mu.Unlock()
	}
	return h.Value, ok
}

// openHolds returns the requests in progress of a service as holds under its new order, since
// they began before the order was known. Callers hold r.mu.
func (r *rollouts) openHolds(o *order) (out []sticky.Hold) {
	for p := range r.open {
		if p.service == o.Service && p.value == atOld && !o.decided() {
			p.key = o.key(p)
			out = append(out, p.hold(o, atOld))
		}
	}
	return out
}
