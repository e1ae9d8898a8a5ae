package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"goldcrestfork/policy/cascade"
	"goldcrestfork/policy/rollout"
	"goldcrestfork/router/refusal"
)

// Rater asks the rating service; an error means that there is no rating in time.
type Rater interface {
	Rate(ctx context.Context, q Rating) (float64, error)
}

// Rating is one answer to be rated.
type Rating struct {
	Account string `json:"account"`
	Version string `json:"version"`
	Request string `json:"request"`
	Answer  string `json:"answer"`
}

// tokenBytes is the assumed length of a token, in bytes, for the size of a prompt.
const tokenBytes = 4

// HeaderTask is the caller's label for the kind of request; cascades learn by it.
const HeaderTask = "X-Task"

// plan decides the steps of a request. An explicit version, a session, a resumed
// stream and a request that may run only once have one.
func (e *Entry) plan(c *chat) (cascade.Plan, *refusal.Refusal) {
	s := e.configuration.Snapshot()
	chain := cascade.Chain(s.Versions, c.Account, c.version)
	p, err := e.learner.Plan(c.Account, chain, cascade.Request{
		Label:        c.task,
		PromptTokens: len(c.body.Messages) / tokenBytes,
		MaxTokens:    int(c.size()),
		Class:        c.Class,
		Repeatable:   c.Key == "",
		Pinned:       c.Session != "" || c.resume != nil || c.body.Model == c.version,
	}, time.Now(), rand.New(rand.NewPCG(rand.Uint64(), 0)))
	switch {
	case errors.Is(err, cascade.ErrSpendCap):
		return p, refusal.New(http.StatusPaymentRequired, refusal.SpendCap, "the account's spend cap is below the price of max_tokens on any version")
	case err != nil:
		return p, c.noVersion(s)
	}
	return p, nil
}

// cascaded runs a request's steps until an answer is accepted. Nothing of an
// answer that is not accepted reaches the caller.
func (e *Entry) cascaded(ctx context.Context, c *chat, a *answer, p cascade.Plan) end {
	var fin end
	spent := int64(0)
	for i, step := range p.Steps {
		c.step(i, step.Version, len(p.Steps))
		a.hold(step.Buffered)
		start := time.Now()
		earlier := fin
		fin = e.attempts(ctx, c, a)
		fin.ran = worse(fin.ran, earlier.ran)
		spent += e.spent(fin)
		fin.cost = spent
		if ctx.Err() != nil {
			return fin
		}
		d := e.judge(ctx, c, p, i, fin, spent, time.Since(start))
		e.metrics.cascade.WithLabelValues(d.Action.String(), string(d.Reason)).Inc()
		if d.Action != cascade.Escalate {
			break
		}
	}
	return fin
}

// step turns a request to one version. Each step has an id of its own at the
// engines, so that a late frame of a discarded answer fits no later one.
func (c *chat) step(i int, version string, steps int) {
	c.version = version
	c.engineID = c.RequestID
	if steps > 1 {
		c.engineID += "." + strconv.Itoa(i)
	}
	if c.resume != nil {
		c.engineID = c.resume.EngineID
	}
	if i > 0 {
		// The comparison is between versions that were given the request first.
		c.arm = rollout.ArmNone
	}
}

func (e *Entry) judge(ctx context.Context, c *chat, p cascade.Plan, i int, fin end, spent int64, took time.Duration) cascade.Decision {
	o := cascade.Outcome{Spent: spent, NoTime: time.Until(c.Deadline) < took}
	switch {
	case fin.refusal != nil:
		o.Err = fin.refusal
	case p.NeedsRating(i):
		o.Rating, o.RatingErr = e.rate(ctx, c, fin)
	}
	return e.learner.Judge(p, i, o, time.Now())
}

// errNoRater: no rating service is configured.
var errNoRater = errors.New("no rating service")

func (e *Entry) rate(ctx context.Context, c *chat, fin end) (float64, error) {
	if e.rater == nil {
		return 0, errNoRater
	}
	ctx, cancel := context.WithTimeout(ctx, e.ratingTimeout)
	defer cancel()
	r, err := e.rater.Rate(ctx, Rating{
		Account: c.Account.Name,
		Version: c.version,
		Request: string(c.body.Messages),
		Answer:  fin.stream.Text(),
	})
	if err == nil {
		e.outcomes.rated(c, r)
	}
	return r, err
}

// worse is the less certain of two words on a run.
func worse(a, b refusal.Ran) refusal.Ran {
	rank := map[refusal.Ran]int{refusal.NotRun: 0, refusal.DidRun: 1, refusal.Unknown: 2}
	if rank[a] >= rank[b] {
		return a
	}
	return b
}
