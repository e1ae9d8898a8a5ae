package versiontest

import (
	"errors"
	"math/rand/v2"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/policy/cascade"
)

// task is one kind of request: its share of the mix and the mean quality that
// each version of the chain reaches on it.
type task struct {
	label   string
	share   float64
	quality [3]float64
}

// Mix is a mix of tasks. The figures are invented: the brief says that cheap
// versions suffice for many requests, not for how many.
type Mix struct {
	Name  string
	tasks []task
}

// Mixes are the ones measured: many easy tasks, as the brief says, and its
// contrary, where a cascade can only lose.
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
	// answerSpread and ratingSpread are standard deviations of an answer's quality
	// around the task's mean and of a rating around the quality.
	answerSpread = 0.08
	ratingSpread = 0.05
	// target is the account's quality target.
	target = 0.75
	// answerTokens is the length of every answer.
	answerTokens = 1000
)

// chain is three versions priced as a small, a middle and a large model.
func chain() []*config.ModelVersion {
	version := func(name string, cost int64, quality float64) *config.ModelVersion {
		return &config.ModelVersion{Meta: config.Meta{Name: name}, State: config.VersionServing, Cost: cost, Quality: quality}
	}
	return []*config.ModelVersion{version("small", 100, 0.70), version("middle", 400, 0.82), version("large", 1000, 0.93)}
}

// Strategy is a way to choose versions.
type Strategy struct {
	Name string
	// Learner decides; nil for a fixed version.
	Learner *cascade.Learner
	// Fixed is the version's place in the chain.
	Fixed int
	// RatingDown is the share of the time, in one piece, that no rating comes.
	RatingDown float64
}

// Strategies are the baselines, the cascade and its parts taken out.
func Strategies() []Strategy {
	never := cascade.DefaultSettings()
	never.MaxKinds, never.ExploreShare = 1, 1 // explores always: the whole chain each time
	plain := cascade.DefaultSettings()
	plain.Margin = 0
	learner := func(s cascade.Settings) *cascade.Learner { return cascade.NewLearner(s) }
	return []Strategy{
		{Name: "always best", Fixed: 2},
		{Name: "always cheap", Fixed: 0},
		{Name: "cheap first, no learning", Learner: learner(never)},
		{Name: "cascade, no margin", Learner: learner(plain)},
		{Name: "cascade", Learner: learner(cascade.DefaultSettings())},
		{Name: "cascade, latency weights", Learner: learner(cascade.LatencySettings())},
		{Name: "cascade, ratings down 1/3", Learner: learner(cascade.DefaultSettings()), RatingDown: 1.0 / 3},
	}
}

// CascadeResult is what callers and the account got.
type CascadeResult struct {
	// Cost is the mean cost of a request, relative to the best version's.
	Cost float64
	// Quality is the mean true quality, Below the share of answers below the target.
	Quality, Below float64
	// Discarded is the number of tries for nothing, a request: each is a whole
	// answer that the caller waited for.
	Discarded float64
}

var errNoRating = errors.New("no rating")

// PlayCascade sends n requests of the mix, ten a second.
func PlayCascade(m Mix, s Strategy, n int, seed uint64) CascadeResult {
	rng := rand.New(rand.NewPCG(seed, 0))
	account := &config.ClientAccount{Meta: config.Meta{Name: "account"}, Quality: target}
	p := player{mix: m, strategy: s, rng: rng, account: account, chain: chain()}
	var r CascadeResult
	for i := range n {
		p.now = time.Unix(0, 0).Add(time.Duration(i) * 100 * time.Millisecond)
		at := float64(i) / float64(n)
		p.ratingDown = at >= 1.0/3 && at < 1.0/3+s.RatingDown
		p.play(&r)
	}
	r.Cost /= float64(n) * float64(p.chain[len(p.chain)-1].Cost)
	r.Quality /= float64(n)
	r.Below /= float64(n)
	r.Discarded /= float64(n)
	return r
}

type player struct {
	mix        Mix
	strategy   Strategy
	rng        *rand.Rand
	account    *config.ClientAccount
	chain      []*config.ModelVersion
	now        time.Time
	ratingDown bool
}

// play sends one request.
func (p *player) play(r *CascadeResult) {
	t := p.draw()
	// One draw a request is common to all versions: a hard one is hard for each.
	hard := p.rng.NormFloat64() * answerSpread / 2
	var qualities [3]float64
	for i := range qualities {
		qualities[i] = min(1, max(0, t.quality[i]+hard+p.rng.NormFloat64()*answerSpread))
	}
	accepted := p.strategy.Fixed
	if p.strategy.Learner == nil {
		r.Cost += float64(p.chain[accepted].Cost)
	} else {
		accepted = p.cascade(t, qualities, r)
	}
	r.Quality += qualities[accepted]
	if qualities[accepted] < target {
		r.Below++
	}
}

// cascade runs a request's plan and returns the accepted version's place.
func (p *player) cascade(t task, qualities [3]float64, r *CascadeResult) int {
	req := cascade.Request{
		Label: t.label, PromptTokens: 500, MaxTokens: answerTokens,
		Class: config.ClassDeferrable, Repeatable: true,
	}
	plan, err := p.strategy.Learner.Plan(p.account, p.chain, req, p.now, p.rng)
	if err != nil {
		panic(err) // the mix has neither caps nor forbidden versions
	}
	spent := int64(0)
	for i, step := range plan.Steps {
		place := p.place(step.Version)
		spent += step.Cost
		r.Cost += float64(step.Cost)
		o := cascade.Outcome{Spent: spent, Rating: qualities[place] + p.rng.NormFloat64()*ratingSpread}
		if p.ratingDown {
			o.RatingErr = errNoRating
		}
		if p.strategy.Learner.Judge(plan, i, o, p.now).Action == cascade.Accept {
			return place
		}
		r.Discarded++
	}
	panic("a plan ended without an answer")
}

func (p *player) place(version string) int {
	for i, v := range p.chain {
		if v.Name == version {
			return i
		}
	}
	panic("a plan with a version outside its chain")
}

// draw picks a task by its share.
func (p *player) draw() task {
	x := p.rng.Float64()
	for _, t := range p.mix.tasks {
		if x < t.share {
			return t
		}
		x -= t.share
	}
	return p.mix.tasks[len(p.mix.tasks)-1]
}
