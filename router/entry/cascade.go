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

// Rater calls the rating service. An error means that no rating arrived in time.
type Rater interface {
	// Rate returns the rating of an answer, from 0 to 1.
	Rate(ctx context.Context, q Rating) (float64, error)
}

// Rating is an answer to be rated, with its request.
type Rating struct {
	Account string `json:"account"`
	Version string `json:"version"`
	Request string `json:"request"`
	Answer  string `json:"answer"`
}

// tokenBytes is the assumed length of a token in bytes, for estimating the size of a
// prompt.
const tokenBytes = 4

// HeaderTask is the caller's label for the kind of request; cascades learn per label.
const HeaderTask = "X-Task"

// planSteps decides the steps of a request. An explicit version, a session, a resumed
// stream and a request that may run only once have one step.
func (e *Entry) planSteps(c *chatRequest) (cascade.Plan, *refusal.Refusal) {
	s := e.configuration.Snapshot()
	chain := cascade.Chain(s.Versions, c.Account, c.version)
	p, err := e.learner.Plan(c.Account, chain, cascade.Request{
		Label:        c.task,
		PromptTokens: len(c.body.Messages) / tokenBytes,
		MaxTokens:    int(c.expectedTokens()),
		Class:        c.Class,
		Repeatable:   c.Key == "",
		Pinned:       c.Session != "" || c.resume != nil || c.body.Model == c.version,
	}, time.Now(), rand.New(rand.NewPCG(rand.Uint64(), 0)))
	switch {
	case errors.Is(err, cascade.ErrSpendCap):
		return p, refusal.New(http.StatusPaymentRequired, refusal.SpendCap, "the account's spend cap is below the price of max_tokens on any version")
	case err != nil:
		return p, c.noVersionRefusal(s)
	}
	return p, nil
}

// runCascade runs a request's steps until an answer is accepted. No part of an answer
// that is not accepted reaches the caller.
func (e *Entry) runCascade(ctx context.Context, c *chatRequest, a *answer, p cascade.Plan) requestEnd {
	var fin requestEnd
	spent := int64(0)
	for i, step := range p.Steps {
		c.beginStep(i, step.Version, len(p.Steps))
		a.setBuffering(step.Buffered)
		start := time.Now()
		previous := fin
		fin = e.runAttempts(ctx, c, a)
		fin.ran = lessCertain(fin.ran, previous.ran)
		spent += e.stepCost(fin)
		fin.cost = spent
		if ctx.Err() != nil {
			return fin
		}
		d := e.evaluateStep(ctx, c, p, i, fin, spent, time.Since(start))
		e.metrics.cascade.WithLabelValues(d.Action.String(), string(d.Reason)).Inc()
		if d.Action != cascade.Escalate {
			break
		}
	}
	return fin
}

// beginStep sets the version of step i. Each step has its own id at the engines, so that
// a late frame of a discarded answer does not match a later step.
func (c *chatRequest) beginStep(i int, version string, steps int) {
	c.version = version
	c.engineID = c.RequestID
	if steps > 1 {
		c.engineID += "." + strconv.Itoa(i)
	}
	if c.resume != nil {
		c.engineID = c.resume.EngineID
	}
	if i > 0 {
		// The roll-out's comparison covers only the versions that were given the request
		// first.
		c.arm = rollout.ArmNone
	}
}

// evaluateStep decides whether the answer of a step is accepted or the next step is run.
func (e *Entry) evaluateStep(ctx context.Context, c *chatRequest, p cascade.Plan, i int, fin requestEnd, spent int64, took time.Duration) cascade.Decision {
	o := cascade.Outcome{Spent: spent, NoTime: time.Until(c.Deadline) < took}
	switch {
	case fin.refusal != nil:
		o.Err = fin.refusal
	case p.NeedsRating(i):
		o.Rating, o.RatingErr = e.rate(ctx, c, fin)
	}
	return e.learner.Evaluate(p, i, o, time.Now())
}

// errNoRater is returned if no rating service is configured.
var errNoRater = errors.New("no rating service")

// rate returns the rating service's rating of an answer and records it.
func (e *Entry) rate(ctx context.Context, c *chatRequest, fin requestEnd) (float64, error) {
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
		e.outcomes.recordRating(c, r)
	}
	return r, err
}

// lessCertain returns the less certain of two statements on whether a request ran.
func lessCertain(a, b refusal.Ran) refusal.Ran {
	rank := map[refusal.Ran]int{refusal.NotRun: 0, refusal.DidRun: 1, refusal.Unknown: 2}
	if rank[a] >= rank[b] {
		return a
	}
	return b
}
