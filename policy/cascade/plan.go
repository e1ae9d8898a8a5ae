package cascade

import (
	"errors"
	"math/rand/v2"
	"time"

	"goldcrestfork/config"
)

// maxChain bounds the versions of one chain; links that form a cycle end there too.
// Grounds: each further try adds one whole answer's latency, and with prices that
// differ by a factor of four or so a fourth try no longer saves anything.
const maxChain = 4

// Errors of a plan. Both are found before anything was sent, so "not run" is true.
var (
	// ErrNoVersion: the account may use no serving version of the chain.
	ErrNoVersion = errors.New("no allowed version serves")
	// ErrSpendCap: no version of the chain fits the account's spend cap.
	ErrSpendCap = errors.New("no version fits the spend cap")
)

// Request is what a plan depends on.
type Request struct {
	// Label is the caller's task label; empty is a label of its own.
	Label string
	// PromptTokens is the size of the prompt, in tokens.
	PromptTokens int
	// MaxTokens bounds the answer, in tokens; the spend cap is checked against it.
	MaxTokens int
	// Class is the priority class in force for the request.
	Class config.Class
	// Repeatable says that the request may run more than once. The zero value
	// gives one step, so that a forgotten field never doubles an action.
	Repeatable bool
	// Pinned says that a session keeps the chain's first version.
	Pinned bool
}

// Reason tells why a plan or a decision came out as it did; it is a metric label.
type Reason string

// The reasons.
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

// Step is one try.
type Step struct {
	// Version is the model version's name.
	Version string
	// Cost is the price of 1000 output tokens in micro-units.
	Cost int64
	// Expected is the version's configured quality, 0..1.
	Expected float64
	// Buffered says that the answer is held back until Judge accepts it.
	Buffered bool
}

// spend is what the step costs at most, in micro-units, rounded up.
func (s Step) spend(tokens int) int64 { return (s.Cost*int64(tokens) + 999) / 1000 }

// Plan is the tries of one request in their order.
type Plan struct {
	Steps []Step
	// Reason tells why these steps.
	Reason Reason
	// Target is the account's quality target.
	Target float64

	key       key
	spendCap  int64
	maxTokens int
}

// Chain follows the Cascade links from the version named start and returns the
// serving, allowed ones, in the order of the links. A link to a withdrawn or
// forbidden version is followed but not taken.
func Chain(versions map[string]*config.ModelVersion, account *config.ClientAccount, start string) []*config.ModelVersion {
	chain := make([]*config.ModelVersion, 0, maxChain)
	seen := make(map[string]bool, maxChain)
	for name := start; name != "" && !seen[name] && len(chain) < maxChain; {
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

// Plan decides the tries of a request on a chain (see Chain). now is the caller's
// monotonic time, rng its seeded source.
func (l *Learner) Plan(account *config.ClientAccount, chain []*config.ModelVersion, req Request, now time.Time, rng *rand.Rand) (Plan, error) {
	if len(chain) == 0 {
		return Plan{}, ErrNoVersion
	}
	plan := Plan{
		Target:    account.Quality,
		Reason:    ReasonOnlyStep,
		key:       keyOf(account.Name, req),
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
	plan.Steps, plan.Reason = l.choose(plan.key, account.Quality, steps, req, now, rng)
	for i := range plan.Steps {
		plan.Steps[i].Buffered = i < len(plan.Steps)-1
	}
	return plan, nil
}

// choose picks the steps to try out of the affordable ones.
func (l *Learner) choose(k key, target float64, steps []Step, req Request, now time.Time, rng *rand.Rand) ([]Step, Reason) {
	switch {
	case len(steps) == 1:
		return steps, ReasonOnlyStep
	case !req.Repeatable:
		return l.single(k, target, steps), ReasonOnlyStep
	case req.Class == config.ClassImmediate:
		return l.single(k, target, steps), ReasonImmediate
	case !l.ratingUsable(now):
		return l.single(k, target, steps), ReasonRatingDown
	case rng.Float64() < l.settings.Explore:
		return steps, ReasonExplore
	}
	tries := l.cheapest(k, steps)
	if len(tries) == 1 {
		return tries, ReasonDirect
	}
	return tries, ReasonCheapFirst
}

func stepsOf(chain []*config.ModelVersion) []Step {
	steps := make([]Step, len(chain))
	for i, v := range chain {
		steps[i] = Step{Version: v.Name, Cost: v.Cost, Expected: v.Quality}
	}
	return steps
}

// affordable keeps the best last step that fits the cap by itself and the
// earlier tries that fit beside it. Without the second rule a cheap try could
// use up the cap and leave the caller with an answer below target that the
// account had the money to avoid.
func affordable(steps []Step, spendCap int64, tokens int) []Step {
	if spendCap == 0 {
		return steps
	}
	last := len(steps) - 1
	for last >= 0 && steps[last].spend(tokens) > spendCap {
		last--
	}
	if last < 0 {
		return nil
	}
	left := spendCap - steps[last].spend(tokens)
	kept := make([]Step, 0, last+1)
	for _, s := range steps[:last] {
		if s.spend(tokens) <= left {
			left -= s.spend(tokens)
			kept = append(kept, s)
		}
	}
	return append(kept, steps[last])
}
