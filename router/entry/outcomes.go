package entry

import (
	"cmp"
	"context"
	"time"

	"goldcrestfork/policy/rollout"
	"goldcrestfork/router/engine"
)

// slowFirstToken is the time to the first token above which an answer counts as slow in
// a roll-out's comparison. The target is 1.1 s at p95.
const slowFirstToken = 1100 * time.Millisecond

// slowTokenPause is the same for the mean pause between tokens, whose target is 42 ms at p95. The
// pauses between fewer than minPacedTokens vary too much.
const (
	slowTokenPause = 42 * time.Millisecond
	minPacedTokens = 16
)

// isSlow reports whether an attempt was slow. That of a caller who left was so slow at least.
func isSlow(out engine.Outcome) bool {
	if out.Tokens == 0 {
		return out.Took > slowFirstToken
	}
	return out.FirstToken > slowFirstToken ||
		out.Tokens >= minPacedTokens && out.TokenSpan > time.Duration(out.Tokens-1)*slowTokenPause
}

// outcomes records how requests ended for the comparison of roll-outs.
type outcomes struct{ recorder *rollout.Recorder }

// rollOutKey returns the key by which the roll-out's choice was made.
func (c *chatRequest) rollOutKey() string { return cmp.Or(c.Session, c.RequestID) }

// recordAttempt records an attempt whose result depends on its version.
func (o outcomes) recordAttempt(c *chatRequest, out engine.Outcome) {
	slow := isSlow(out)
	failed := false
	switch out.Result {
	case engine.Complete:
	case engine.Failed, engine.Crashed, engine.WrongVersion, engine.Cut:
		failed = true
	case engine.CallerGone:
		if !slow {
			return // callers also disconnect for reasons of their own
		}
	default:
		// Endpoints that are at capacity, cold or unreachable do not depend on the version.
		return
	}
	if c.rollOut == nil || c.arm == rollout.ArmNone {
		return
	}
	o.recorder.Request(c.rollOut, c.arm, c.rollOutKey(), rollout.Outcome{
		Failed: failed,
		Slow:   slow && (!failed || out.Tokens > 0),
	})
}

// recordRating records an answer's rating.
func (o outcomes) recordRating(c *chatRequest, rating float64) {
	c.rated = true
	if c.rollOut == nil || c.arm == rollout.ArmNone {
		return
	}
	o.recorder.Rating(c.rollOut, c.arm, c.rollOutKey(), rating < cmp.Or(c.Account.Quality, defaultQualityTarget))
}

// defaultQualityTarget is the rating below which an answer counts as poor for an account
// without a target: the middle of the scale.
const defaultQualityTarget = 0.5

// maxBackgroundRatings bounds the concurrent ratings for which no answer waits. A slow
// rating service costs a roll-out some samples, but does not delay requests.
const maxBackgroundRatings = 8

// rateInBackground has a complete answer rated if it counts in a roll-out's comparison
// and no cascade had it rated. The caller does not wait for it. A roll-out can't proceed
// without ratings.
func (e *Entry) rateInBackground(ctx context.Context, c *chatRequest, fin requestEnd) {
	if e.rater == nil || c.rated || c.arm == rollout.ArmNone || fin.refusal != nil {
		return
	}
	select {
	case e.ratingSlots <- struct{}{}:
	default:
		return
	}
	ctx = context.WithoutCancel(ctx)
	go func() {
		defer func() { <-e.ratingSlots }()
		// Without a rating the comparison has one sample less.
		_, _ = e.rate(ctx, c, fin)
	}()
}
