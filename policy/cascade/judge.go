package cascade

import "time"

// Action is what to do after a step.
type Action int

// The actions.
const (
	// Accept: the step's answer goes to the caller.
	Accept Action = iota
	// Escalate: the answer is discarded, the next step runs.
	Escalate
	// Fail: there is no answer and no further step.
	Fail
)

// String gives the action as a metric label.
func (a Action) String() string {
	switch a {
	case Accept:
		return "accept"
	case Escalate:
		return "escalate"
	case Fail:
		return "fail"
	}
	return "unknown"
}

// Outcome is what is known when a step has ended.
type Outcome struct {
	// Err is the step's own failure; there is then no answer.
	Err error
	// Rating is the rating service's value, 0..1, when RatingErr is nil.
	Rating float64
	// RatingErr is a rating that failed or missed Settings.RatingTimeout.
	RatingErr error
	// Spent is what the request's steps have cost so far, in micro-units.
	Spent int64
	// NoTime says that the deadline leaves no room for another step.
	NoTime bool
}

// Decision is the judgement of one step.
type Decision struct {
	Action Action
	Reason Reason
}

// NeedsRating says whether Judge wants a rating of step i: only an answer that may be discarded is rated.
func (p Plan) NeedsRating(i int) bool { return p.Steps[i].Buffered }

// Judge decides on the answer of step i, and learns from its rating.
//
// Fallback without a rating: the answer is accepted where nine in ten of this
// version's answers to this kind of request are expected to reach the target
// (learnt while ratings came, else by the configured quality), and escalated
// otherwise. The target is what the account was promised; cost is bounded by the
// spend cap, and after a few missing ratings Plan stops trying what it can't judge.
func (l *Learner) Judge(p Plan, i int, o Outcome, now time.Time) Decision {
	last := i == len(p.Steps)-1
	if o.Err != nil {
		if last || !p.affords(i+1, o.Spent) || o.NoTime {
			return Decision{Fail, ReasonStepFailed}
		}
		return Decision{Escalate, ReasonStepFailed}
	}
	if last {
		return Decision{Accept, ReasonLastStep}
	}
	good, reason := l.goodEnough(p, i, o, now)
	switch {
	case good:
		return Decision{Accept, reason}
	case !p.affords(i+1, o.Spent):
		return Decision{Accept, ReasonSpendCap}
	case o.NoTime:
		return Decision{Accept, ReasonNoTime}
	}
	return Decision{Escalate, reason}
}

func (l *Learner) goodEnough(p Plan, i int, o Outcome, now time.Time) (bool, Reason) {
	step := p.Steps[i]
	l.noteRating(o.RatingErr == nil, now)
	if o.RatingErr != nil {
		if l.expectedGood(p.key, p.Target, step) {
			return true, ReasonExpectedGood
		}
		return false, ReasonExpectedPoor
	}
	good := o.Rating >= p.Target+l.settings.Margin
	l.learn(p.key, step.Version, good)
	if good {
		return true, ReasonRated
	}
	return false, ReasonRatedPoor
}

// affords says whether step i fits the cap after spent micro-units.
func (p Plan) affords(i int, spent int64) bool {
	return p.spendCap == 0 || spent+p.Steps[i].spend(p.maxTokens) <= p.spendCap
}
