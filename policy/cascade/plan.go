package cascade

import (
	"errors"
	"math/rand/v2"
	"time"

	"goldcrestfork/config"
)

// maxChainLength bounds the number of versions in a chain. Each further step adds
// the latency of a whole answer, and with prices that differ by a factor of about
// four, a fourth step no longer saves cost.
const maxChainLength = 4

// These errors of Plan are found before a request is sent, so the response may
// state that the request did not run.
var (
	// ErrNoVersion says that the account may use no serving version of the chain.
	ErrNoVersion = errors.New("no allowed version serves")
	// ErrSpendCap says that no version of the chain fits the account's spend cap.
	ErrSpendCap = errors.New("no version fits the spend cap")
)

// Request holds the properties of a request that its plan depends on.
type Request struct {
	// Label is the caller's task label. Requests without a label form a group of
	// their own.
	Label string
	// PromptTokens is the size of the prompt, in tokens.
	PromptTokens int
	// MaxTokens bounds the answer, in tokens. The spend cap is checked against this
	// bound.
	MaxTokens int
	// Class is the priority class that applies to the request.
	Class config.Class
	// Repeatable says that the request may run more than once. The zero value leads
	// to a plan of one step, so that code which leaves the field unset never runs
	// an action twice.
	Repeatable bool
	// Pinned says that a session is bound to the chain's first version.
	Pinned bool
}

// Reason says why a plan or a decision was made. It is a metric label.
type Reason string

// The values of Reason.
const (
	ReasonCheapFirst   Reason = "cheap first"
	ReasonOnlyStep     Reason = "only step"
	ReasonDirect       Reason = "cheap first doesn't pay"
	ReasonImmediate    Reason = "class can't wait"
	ReasonRatingDown   Reason = "rating service down"
	ReasonExplore      Reason = "exploring"
	ReasonRated        Reason = "rated good enough"
	ReasonRatedPoor    Reason = "rated below target"
	ReasonLastStep     Reason = "last step"
	ReasonExpectedGood Reason = "no rating, expected good enough"
	ReasonExpectedPoor Reason = "no rating, expected below target"
	ReasonSpendCap     Reason = "spend cap reached"
	ReasonNoTime       Reason = "no time for a better version"
	ReasonStepFailed   Reason = "step failed"
)

// Step is one attempt of a plan, on one model version.
type Step struct {
	// Version is the model version's name.
	Version string
	// Cost is the price of 1000 output tokens in micro-units.
	Cost int64
	// Expected is the version's configured quality, 0..1.
	Expected float64
	// Buffered says that the answer is withheld from the caller until it is
	// accepted.
	Buffered bool
}

// maxSpend returns the maximum cost of the step in micro-units, rounded up.
func (s Step) maxSpend(tokens int) int64 { return (s.Cost*int64(tokens) + 999) / 1000 }

// Plan is the sequence of steps for one request.
type Plan struct {
	// Steps are the attempts in their order. The last one is streamed.
	Steps []Step
	// Reason says why these steps were chosen.
	Reason Reason
	// Target is the account's quality target.
	Target float64

	kind      requestKind
	spendCap  int64
	maxTokens int
}

// Chain follows the Cascade links from the version named start, and returns the
// serving and allowed versions in the order of the links. A withdrawn or forbidden
// version is left out, but its link is followed. Links that form a cycle end the
// chain at the first repeated version.
func Chain(versions map[string]*config.ModelVersion, account *config.ClientAccount, start string) []*config.ModelVersion {
	chain := make([]*config.ModelVersion, 0, maxChainLength)
	seen := make(map[string]bool, maxChainLength)
	for name := start; name != "" && !seen[name] && len(chain) < maxChainLength; {
		seen[name] = true
		v, ok := versions[name]
		if !ok {
			break
		}
		if v.State == config.VersionServing && account.Versions.Matches(v.Labels) {
			chain = append(chain, v)
		}
		name = v.Cascade
	}
	return chain
}

// Plan chooses the steps of a request on a chain of versions (see Chain). The
// argument now is the caller's monotonic time, and rng its seeded random source.
// Plan returns ErrNoVersion for an empty chain, and ErrSpendCap if no version fits
// the account's spend cap.
func (l *Learner) Plan(account *config.ClientAccount, chain []*config.ModelVersion, req Request, now time.Time, rng *rand.Rand) (Plan, error) {
	if len(chain) == 0 {
		return Plan{}, ErrNoVersion
	}
	plan := Plan{
		Target:    account.Quality,
		Reason:    ReasonOnlyStep,
		kind:      kindOf(account.Name, req),
		spendCap:  account.SpendCap,
		maxTokens: req.MaxTokens,
	}
	steps := stepsOf(chain)
	if req.Pinned || account.Quality == 0 {
		steps = steps[:1]
	}
	steps = affordable(steps, account.SpendCap, req.MaxTokens)
	if len(steps) == 0 {
		return Plan{}, ErrSpendCap
	}
	plan.Steps, plan.Reason = l.choose(plan.kind, account.Quality, steps, req, now, rng)
	for i := range plan.Steps {
		plan.Steps[i].Buffered = i < len(plan.Steps)-1
	}
	return plan, nil
}

// choose selects the steps of a plan from the affordable ones.
func (l *Learner) choose(k requestKind, target float64, steps []Step, req Request, now time.Time, rng *rand.Rand) ([]Step, Reason) {
	switch {
	case len(steps) == 1:
		return steps, ReasonOnlyStep
	case !req.Repeatable:
		return l.singleStep(k, target, steps), ReasonOnlyStep
	case req.Class == config.ClassImmediate:
		return l.singleStep(k, target, steps), ReasonImmediate
	case !l.ratingUsable(now):
		return l.singleStep(k, target, steps), ReasonRatingDown
	case rng.Float64() < l.settings.ExploreShare:
		return steps, ReasonExplore
	}
	chosen := l.cheapestSteps(k, steps)
	if len(chosen) == 1 {
		return chosen, ReasonDirect
	}
	return chosen, ReasonCheapFirst
}

func stepsOf(chain []*config.ModelVersion) []Step {
	steps := make([]Step, len(chain))
	for i, v := range chain {
		steps[i] = Step{Version: v.Name, Cost: v.Cost, Expected: v.Quality}
	}
	return steps
}

// affordable keeps the best last step that fits the cap by itself, and the earlier
// steps that fit in addition to it. Otherwise a cheap step could use up the cap,
// and the caller would get an answer below the target although the cap covers a
// better one.
func affordable(steps []Step, spendCap int64, tokens int) []Step {
	if spendCap == 0 {
		return steps
	}
	last := len(steps) - 1
	for last >= 0 && steps[last].maxSpend(tokens) > spendCap {
		last--
	}
	if last < 0 {
		return nil
	}
	remaining := spendCap - steps[last].maxSpend(tokens)
	kept := make([]Step, 0, last+1)
	for _, s := range steps[:last] {
		if s.maxSpend(tokens) <= remaining {
			remaining -= s.maxSpend(tokens)
			kept = append(kept, s)
		}
	}
	return append(kept, steps[last])
}
