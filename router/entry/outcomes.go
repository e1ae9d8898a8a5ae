package entry

import (
	"cmp"
	"context"
	"time"

	"goldcrestfork/policy/rollout"
	"goldcrestfork/router/engine"
)

// slowFirstToken is the bound on the first token in a roll-out's comparison: the
// letter asks for 1.1 s at p95.
const slowFirstToken = 1100 * time.Millisecond

// outcomes tells the roll-outs' comparison how requests ended.
type outcomes struct{ recorder *rollout.Recorder }

// key is what the roll-out's choice was made by.
func (c *chat) key() string { return cmp.Or(c.Session, c.RequestID) }

// ended records one attempt that says something of its version.
func (o outcomes) ended(c *chat, out engine.Outcome) {
	switch out.Result {
	case engine.Complete, engine.Failed, engine.Crashed, engine.WrongVersion, engine.Cut:
	default:
		// Full, cold or unreached endpoints and callers that left are not the version's doing.
		return
	}
	if c.rollOut == nil || c.arm == rollout.ArmNone {
		return
	}
	o.recorder.Request(c.rollOut, c.arm, c.key(), rollout.Outcome{
		Failed: out.Result != engine.Complete,
		Slow:   out.FirstToken > slowFirstToken,
	})
}

// rated records an answer's rating.
func (o outcomes) rated(c *chat, rating float64) {
	c.rated = true
	if c.rollOut == nil || c.arm == rollout.ArmNone {
		return
	}
	o.recorder.Rating(c.rollOut, c.arm, c.key(), rating < cmp.Or(c.Account.Quality, defaultTarget))
}

// defaultTarget is the quality below which an answer counts as poor for an account
// without a target: the middle of the scale.
const defaultTarget = 0.5

// maxSampling bounds the ratings asked for at once that no answer waits for. A
// rating service that is slow costs a roll-out some samples, never a request's time.
const maxSampling = 8

// sample has a whole answer of a roll-out's comparison rated that no cascade had
// rated, without making its caller wait. A roll-out can't go on without ratings.
func (e *Entry) sample(ctx context.Context, c *chat, fin end) {
	if e.rater == nil || c.rated || c.arm == rollout.ArmNone || fin.refusal != nil {
		return
	}
	select {
	case e.sampling <- struct{}{}:
	default:
		return
	}
	ctx = context.WithoutCancel(ctx)
	go func() {
		defer func() { <-e.sampling }()
		// Without a rating there is one sample less.
		_, _ = e.rate(ctx, c, fin)
	}()
}
