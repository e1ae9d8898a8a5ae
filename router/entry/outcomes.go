package entry

import (
	"cmp"
	"time"

	"goldcrestfork/policy/rollout"
	"goldcrestfork/router/engine"
)

// slowFirstToken is the bound on the first token in a roll-out's comparison: the
// letter asks for 1.1 s at p95.
const slowFirstToken = 1100 * time.Millisecond

// outcomes tells the roll-outs' comparison how requests ended.
type outcomes struct {
	recorder      *rollout.Recorder
	configuration Configuration
}

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
	r := rollout.Of(o.configuration.Snapshot(), c.body.Model)
	if r == nil || c.arm == rollout.ArmNone {
		return
	}
	o.recorder.Request(r, c.arm, c.key(), rollout.Outcome{
		Failed: out.Result != engine.Complete,
		Slow:   out.FirstToken > slowFirstToken,
	})
}

// rated records an answer's rating.
func (o outcomes) rated(c *chat, rating float64) {
	r := rollout.Of(o.configuration.Snapshot(), c.body.Model)
	if r == nil || c.arm == rollout.ArmNone {
		return
	}
	o.recorder.Rating(r, c.arm, c.key(), rating < cmp.Or(c.Account.Quality, defaultTarget))
}

// defaultTarget is the quality below which an answer counts as poor for an account
// without a target: the middle of the scale.
const defaultTarget = 0.5
