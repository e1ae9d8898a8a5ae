package cascade

import "time"

// Action says how a request proceeds after a step.
type Action int

// The values of Action.
const (
	// Accept sends the step's answer to the caller.
	Accept Action = iota
	// Escalate discards the answer and runs the next step.
	Escalate
	// Fail ends the request: there is no answer and no further step.
	Fail
)

// String returns the action as a metric label.
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

// Outcome describes a step that has ended.
type Outcome struct {
	// Err is the error of the step itself. A step with an error has no answer.
	Err error
	// Rating is the rating service's value, from 0 to 1. It is valid if RatingErr
	// is nil.
	Rating float64
	// RatingErr is set if the rating failed or took longer than
	// Settings.RatingTimeout.
	RatingErr error
	// Spent is the cost of the request's steps so far, in micro-units.
	Spent int64
	// NoTime says that the deadline leaves no time for another step.
	NoTime bool
}

// Decision is the action after a step, with its reason.
type Decision struct {
	Action Action
	Reason Reason
}

// NeedsRating reports whether the answer of step i must be rated. Only answers that
// may be discarded are rated.
func (p Plan) NeedsRating(i int) bool { return p.Steps[i].Buffered }

// Evaluate decides whether the answer of step i is accepted, and updates the
// acceptance rates from its rating.
//
// Without a rating, the answer is accepted if a share GoodShare of this version's
// answers to this kind of request is expected to reach the target, and discarded
// otherwise. The expectation comes from earlier ratings, or from the configured
// quality while there are few ratings. The target is the quality that the account
// was promised, and the spend cap bounds the cost. After a few missing ratings,
// Plan no longer includes steps that can't be rated.
func (l *Learner) Evaluate(p Plan, i int, o Outcome, now time.Time) Decision {
	last := i == len(p.Steps)-1
	if o.Err != nil {
		if last || !p.fitsSpendCap(i+1, o.Spent) || o.NoTime {
			return Decision{Fail, ReasonStepFailed}
		}
		return Decision{Escalate, ReasonStepFailed}
	}
	if last {
		return Decision{Accept, ReasonLastStep}
	}
	good, reason := l.acceptable(p, i, o, now)
	switch {
	case good:
		return Decision{Accept, reason}
	case !p.fitsSpendCap(i+1, o.Spent):
		return Decision{Accept, ReasonSpendCap}
	case o.NoTime:
		return Decision{Accept, ReasonNoTime}
	}
	return Decision{Escalate, reason}
}

// acceptable reports whether the answer of step i may go to the caller, and the
// reason.
func (l *Learner) acceptable(p Plan, i int, o Outcome, now time.Time) (bool, Reason) {
	step := p.Steps[i]
	l.recordRatingResult(o.RatingErr == nil, now)
	if o.RatingErr != nil {
		if l.expectedGood(p.kind, p.Target, step) {
			return true, ReasonExpectedGood
		}
		return false, ReasonExpectedPoor
	}
	good := o.Rating >= p.Target+l.settings.Margin
	l.learn(p.kind, step.Version, good)
	if good {
		return true, ReasonRated
	}
	return false, ReasonRatedPoor
}

// fitsSpendCap reports whether step i fits the spend cap after spent micro-units.
func (p Plan) fitsSpendCap(i int, spent int64) bool {
	return p.spendCap == 0 || spent+p.Steps[i].maxSpend(p.maxTokens) <= p.spendCap
}
