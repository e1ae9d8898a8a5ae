package versiontest

import (
	"errors"
	"math/rand/v2"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/policy/cascade"
)

// task is one kind of request, with its share of the mix and the mean quality that
// each version of the chain reaches on it.
type task struct {
	label   string
	share   float64
	quality [3]float64
}

// Mix is a mix of tasks. The shares and qualities are assumptions: cheap versions
// are known to suffice for many requests, but not for what share of them.
type Mix struct {
	Name  string
	tasks []task
}

// Mixes returns the simulated mixes: one with many easy tasks, and one with few, in
// which a cascade can only lose.
func Mixes() []Mix {
	return []Mix{
		{"many easy", []task{
			{"tag check", 0.30, [3]float64{0.88, 0.90, 0.93}},
			{"summary", 0.30, [3]float64{0.82, 0.87, 0.93}},
			{"growth report", 0.25, [3]float64{0.70, 0.84, 0.93}},
			{"advice", 0.15, [3]float64{0.50, 0.72, 0.93}},
		}},
		{"few easy", []task{
			{"tag check", 0.05, [3]float64{0.88, 0.90, 0.93}},
			{"growth report", 0.15, [3]float64{0.60, 0.80, 0.93}},
			{"advice", 0.80, [3]float64{0.40, 0.62, 0.93}},
		}},
	}
}

const (
	// answerSpread is the standard deviation of an answer's quality around the
	// task's mean, and ratingSpread that of a rating around the quality.
	answerSpread = 0.08
	ratingSpread = 0.05
	// target is the account's quality target.
	target = 0.75
	// answerTokens is the length of every answer.
	answerTokens = 1000
)

// chain returns three versions with the prices of a small, a middle and a large
// model.
func chain() []*config.ModelVersion {
	version := func(name string, cost int64, quality float64) *config.ModelVersion {
		return &config.ModelVersion{Meta: config.Meta{Name: name}, State: config.VersionServing, Cost: cost, Quality: quality}
	}
	return []*config.ModelVersion{version("small", 100, 0.70), version("middle", 400, 0.82), version("large", 1000, 0.93)}
}

// Strategy is a way to choose versions.
type Strategy struct {
	Name string
	// Learner plans the steps; it is nil for a fixed version.
	Learner *cascade.Learner
	// Fixed is the index in the chain of the version that a strategy without a
	// Learner uses.
	Fixed int
	// RatingDown is the share of the simulated time, as one interval, in which no
	// ratings arrive.
	RatingDown float64
}

// Strategies returns the baselines, the cascade, and the cascade without some of
// its parts.
func Strategies() []Strategy {
	noLearning := cascade.DefaultSettings()
	noLearning.MaxKinds, noLearning.ExploreShare = 1, 1 // explores the whole chain for every request
	noMargin := cascade.DefaultSettings()
	noMargin.Margin = 0
	learner := func(s cascade.Settings) *cascade.Learner { return cascade.NewLearner(s) }
	return []Strategy{
		{Name: "always best", Fixed: 2},
		{Name: "always cheap", Fixed: 0},
		{Name: "cheap first, no learning", Learner: learner(noLearning)},
		{Name: "cascade, no margin", Learner: learner(noMargin)},
		{Name: "cascade", Learner: learner(cascade.DefaultSettings())},
		{Name: "cascade, latency weights", Learner: learner(cascade.LatencySettings())},
		{Name: "cascade, ratings down 1/3", Learner: learner(cascade.DefaultSettings()), RatingDown: 1.0 / 3},
	}
}

// CascadeResult holds the averages over a simulation's requests.
type CascadeResult struct {
	// Cost is the mean cost of a request, relative to that of the best version.
	Cost float64
	// Quality is the mean true quality, and Below the share of answers below the
	// target.
	Quality, Below float64
	// Discarded is the mean number of discarded answers for each request. The
	// caller waits for each of them in full.
	Discarded float64
}

var errNoRating = errors.New("no rating")

// SimulateCascade sends n requests of the mix at ten a second.
func SimulateCascade(m Mix, s Strategy, n int, seed uint64) CascadeResult {
	rng := rand.New(rand.NewPCG(seed, 0))
	account := &config.ClientAccount{Meta: config.Meta{Name: "account"}, Quality: target}
	p := cascadeSimulation{mix: m, strategy: s, rng: rng, account: account, chain: chain()}
	var r CascadeResult
	for i := range n {
		p.now = time.Unix(0, 0).Add(time.Duration(i) * 100 * time.Millisecond)
		at := float64(i) / float64(n)
		p.ratingDown = at >= 1.0/3 && at < 1.0/3+s.RatingDown
		p.send(&r)
	}
	r.Cost /= float64(n) * float64(p.chain[len(p.chain)-1].Cost)
	r.Quality /= float64(n)
	r.Below /= float64(n)
	r.Discarded /= float64(n)
	return r
}

// cascadeSimulation is the state of a cascade simulation.
type cascadeSimulation struct {
	mix        Mix
	strategy   Strategy
	rng        *rand.Rand
	account    *config.ClientAccount
	chain      []*config.ModelVersion
	now        time.Time
	ratingDown bool
}

// send simulates one request and adds its outcome to r.
func (p *cascadeSimulation) send(r *CascadeResult) {
	t := p.drawTask()
	// One draw applies to all versions, since a hard request is hard for each of them.
	difficulty := p.rng.NormFloat64() * answerSpread / 2
	var qualities [3]float64
	for i := range qualities {
		qualities[i] = min(1, max(0, t.quality[i]+difficulty+p.rng.NormFloat64()*answerSpread))
	}
	accepted := p.strategy.Fixed
	if p.strategy.Learner == nil {
		r.Cost += float64(p.chain[accepted].Cost)
	} else {
		accepted = p.runPlan(t, qualities, r)
	}
	r.Quality += qualities[accepted]
	if qualities[accepted] < target {
		r.Below++
	}
}

// runPlan runs a request's plan and returns the chain index of the accepted
// version.
func (p *cascadeSimulation) runPlan(t task, qualities [3]float64, r *CascadeResult) int {
	req := cascade.Request{
		Label: t.label, PromptTokens: 500, MaxTokens: answerTokens,
		Class: config.ClassDeferrable, Repeatable: true,
	}
	plan, err := p.strategy.Learner.Plan(p.account, p.chain, req, p.now, p.rng)
	if err != nil {
		panic(err) // Plan only fails for spend caps and forbidden versions; the mix has none
	}
	spent := int64(0)
	for i, step := range plan.Steps {
		index := p.chainIndex(step.Version)
		spent += step.Cost
		r.Cost += float64(step.Cost)
		o := cascade.Outcome{Spent: spent, Rating: qualities[index] + p.rng.NormFloat64()*ratingSpread}
		if p.ratingDown {
			o.RatingErr = errNoRating
		}
		if p.strategy.Learner.Evaluate(plan, i, o, p.now).Action == cascade.Accept {
			return index
		}
		r.Discarded++
	}
	panic("a plan ended without an answer")
}

// chainIndex returns the index of a version in the chain.
func (p *cascadeSimulation) chainIndex(version string) int {
	for i, v := range p.chain {
		if v.Name == version {
			return i
		}
	}
	panic("a plan with a version outside its chain")
}

// drawTask draws a task according to the shares.
func (p *cascadeSimulation) drawTask() task {
	x := p.rng.Float64()
	for _, t := range p.mix.tasks {
		if x < t.share {
			return t
		}
		x -= t.share
	}
	return p.mix.tasks[len(p.mix.tasks)-1]
}
