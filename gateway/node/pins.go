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

// Reasons for a choice of a version, as request lines give them.
const (
	whySettled    = "no-order-yet" // another version's order isn't known
	whyNoRollOut  = "no-roll-out"
	whyTaken      = "taken" // the roll-out moves or moved all requests
	whyTakenBack  = "taken-back"
	whyTrial      = "trial"
	whyNotInTrial = "not-in-trial"
	whyWorse      = "worse"       // a VM found the new version worse
	whyBefore     = "not-exposed" // the trial has not begun here
	whyStays      = "stays"       // the session is at the old version
	whyMoved      = "moved"       // to the new version, by a VM that knew sooner that it is taken
	whyNoKeeper   = "no-keeper"   // no VM that keeps the session answers
)

// The versions that a session may be at during a trial, as keepers know them.
const (
	atOld sticky.Value = iota + 1
	atNew
)

// Ranks of what keepers are told: a decision on the roll-out goes before what was chosen
// in its trial.
const (
	rankTrial uint8 = iota + 1
	rankDecided
)

// sessionMargin is kept beyond a session's longest pause: callers count it from the end of
// an answer as they see it.
const sessionMargin = time.Second

// pin is one request's hold on the version of its session.
type pin struct {
	r        *rollouts
	service  string
	id       string // the session's, "" for none
	session  trial.Session
	tries    bool // a new version in a trial
	holder   uint64
	deadline time.Time

	// Guarded by r.mu.
	value sticky.Value // of the last choice; 0 for none
	key   sticky.Key   // what keepers hold for the request; 0 for nothing
	told  sticky.Held  // the keeper's answer
}

// Begin implements forward.Versions.
func (r *rollouts) Begin(service, session string, deadline time.Time) forward.Pin {
	s := trial.SessionOf(service, session)
	return &pin{
		r: r, service: service, id: session, session: s, tries: s.Tries(trial.Share(r.n.bounds().ExposureShare)),
		holder: rand.Uint64(), deadline: deadline,
	}
}

// Choose implements forward.Pin.
func (p *pin) Choose(ctx context.Context) (forward.Choice, forward.Why) {
	o := p.r.order(p.service)
	c, why := p.version(ctx, o)
	if p.id != "" {
		value := atOld
		if newVersion(why.Reason) {
			value = atNew
		}
		p.note(o, value)
	}
	return c, why
}

// kept says that VMs may differ about the session's version now, so that its keepers
// decide: while it may try the new version, and from the moment at which that may be taken
// until all VMs have word of the decision.
func (p *pin) kept(o *order) bool {
	now := p.r.clock()
	switch {
	case o == nil || p.id == "":
		return false
	case !o.judged():
		return p.tries || o.trial.Deciding(now)
	case now-o.learnt >= p.r.n.bound(kindOrders):
		return false
	}
	return p.tries || o.State != catalog.RollOutRolledBack
}

// note remembers what was chosen. A choice that keepers weren't asked for is told to them: a
// later one must find the session whatever decided now.
func (p *pin) note(o *order, value sticky.Value) {
	r, kept := p.r, p.kept(o)
	r.mu.Lock()
	tell := kept && (p.key != o.key(p) || p.value != value)
	if kept {
		p.key = o.key(p)
	}
	p.value = value
	if p.tries {
		r.open[p] = struct{}{}
	}
	r.mu.Unlock()
	if tell {
		r.n.sticky.Set(p.hold(o, value))
	}
}

// End implements forward.Pin.
func (p *pin) End(version string) {
	r := p.r
	r.mu.Lock()
	delete(r.open, p)
	end := sticky.Release{Key: p.key, Holder: p.holder, Value: p.value, Rest: r.rest()}
	r.mu.Unlock()
	if version == "" {
		end.Value = sticky.None
	}
	if end.Key != 0 {
		r.n.sticky.Release(end)
	}
}

// rest is how long a session is remembered after its last request.
func (r *rollouts) rest() time.Duration { return r.n.bounds().Session + sessionMargin }

// key names a request's session under this order.
func (o *order) key(p *pin) sticky.Key { return sticky.KeyOf(o.id + "/" + p.id) }

func (p *pin) hold(o *order, v sticky.Value) sticky.Hold {
	rank := rankTrial
	if o.judged() || o.trial.Worse() {
		rank = rankDecided
	}
	return sticky.Hold{Key: o.key(p), Holder: p.holder, Longest: max(time.Until(p.deadline), 0) + p.r.rest(), Proposal: v, Rank: rank}
}

// version decides which version serves a request; o is its service's roll-out or nil.
func (p *pin) version(ctx context.Context, o *order) (forward.Choice, forward.Why) {
	r := p.r
	if v := r.n.view.Settled(p.service); v != "" {
		return forward.Choice{Only: v}, forward.Why{Reason: whySettled}
	}
	if o == nil {
		return forward.Choice{}, forward.Why{Reason: whyNoRollOut}
	}
	why := forward.Why{RollOutAge: o.trial.Age(r.clock())}
	switch {
	case o.State == catalog.RollOutMoving || o.State == catalog.RollOutCompleted:
		why.Reason = whyTaken
	case o.State == catalog.RollOutRolledBack:
		why.Reason = whyTakenBack
	default:
		p.try(ctx, o, &why)
	}
	if newVersion(why.Reason) {
		return forward.Choice{Only: o.Target}, why
	}
	return r.old(o), why
}

// newVersion says that a reason leads to the roll-out's version.
func newVersion(reason string) bool {
	return reason == whyTaken || reason == whyTrial || reason == whyMoved
}

// try decides while the trial is under way: a session that is at a version stays there, and
// one that nobody knows tries the new one where it is exposed.
func (p *pin) try(ctx context.Context, o *order, why *forward.Why) {
	exposed := p.tries && o.trial.Exposes(p.r.clock())
	why.Reason = whyBefore
	switch {
	case o.trial.Worse():
		why.Reason = whyWorse
		return
	case !p.kept(o):
		if exposed {
			why.Reason = whyTrial
		} else if !p.tries {
			why.Reason = whyNotInTrial
		}
		return
	}
	proposal := atOld
	if exposed {
		proposal = atNew
	}
	value, ok := p.held(ctx, o, proposal, why)
	switch {
	case !ok:
		why.Reason = whyNoKeeper
	case value == atNew && p.tries:
		why.Reason = whyTrial
	case value == atNew:
		why.Reason = whyMoved
	case exposed:
		why.Reason = whyStays
	case !p.tries:
		why.Reason = whyNotInTrial
	}
}

// held is the session's version as its keepers know it, asked once for a request.
func (p *pin) held(ctx context.Context, o *order, proposal sticky.Value, why *forward.Why) (sticky.Value, bool) {
	r := p.r
	r.mu.Lock()
	value, asked, told := p.value, p.value != sticky.None && p.key == o.key(p), p.told
	r.mu.Unlock()
	why.Keeper, why.SessionAge = told.Keeper, told.Age
	if asked {
		return value, true
	}
	h, ok := r.n.sticky.Hold(ctx, p.hold(o, proposal))
	why.Keeper, why.SessionAge = h.Keeper, h.Age
	if ok {
		r.mu.Lock()
		p.key, p.value, p.told = o.key(p), h.Value, h
		r.mu.Unlock()
	}
	return h.Value, ok
}

// opened returns the requests under way of a service, as holds under its new order: they
// began before it was known. Callers hold r.mu.
func (r *rollouts) opened(o *order) (out []sticky.Hold) {
	for p := range r.open {
		if p.service == o.Service && p.value == atOld && !o.judged() {
			p.key = o.key(p)
			out = append(out, p.hold(o, atOld))
		}
	}
	return out
}
