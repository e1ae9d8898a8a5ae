package versiontest

import (
	"math/rand/v2"
	"strconv"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/policy/rollout"
)

// Rates are a version's rates of bad events, from 0 to 1.
type Rates struct{ Errors, Slow, Poor float64 }

// goodRates are the rates of a good version. Failures and slow answers are rare,
// poor ratings are not.
var goodRates = Rates{Errors: 0.01, Slow: 0.02, Poor: 0.10}

// Case describes a new version and its traffic in a roll-out.
type Case struct {
	Name string
	// To holds the new version's rates from DegradesAfter on. Before, they equal
	// those of the old version.
	To            Rates
	DegradesAfter time.Duration
	// Burst makes half of both versions' requests fail during one minute in ten.
	Burst bool
	// SessionLength is the number of requests in a session. All requests of a
	// session end alike; with a length of one, requests are independent.
	SessionLength int
}

// Equal reports whether the new version is as good as the old one.
func (c Case) Equal() bool { return c.To == goodRates }

// Cases returns the simulated cases.
func Cases() []Case {
	with := func(name string, change func(*Rates)) Case {
		c := Case{Name: name, To: goodRates, SessionLength: 1}
		change(&c.To)
		return c
	}
	late := with("errors 1% to 20%, after 4 min", func(r *Rates) { r.Errors = 0.20 })
	late.DegradesAfter = 4 * time.Minute
	burst := with("equal, bursts that fail both", func(*Rates) {})
	burst.Burst = true
	sessions := with("equal, sessions of 5 fail whole", func(*Rates) {})
	sessions.SessionLength = 5
	return []Case{
		with("equal", func(*Rates) {}),
		burst,
		sessions,
		with("errors 1% to 2%", func(r *Rates) { r.Errors = 0.02 }),
		with("errors 1% to 5%", func(r *Rates) { r.Errors = 0.05 }),
		with("errors 1% to 10%", func(r *Rates) { r.Errors = 0.10 }),
		with("errors 1% to 20%", func(r *Rates) { r.Errors = 0.20 }),
		late,
		with("errors 1% to 100%", func(r *Rates) { r.Errors = 1 }),
		with("poor ratings 10% to 20%", func(r *Rates) { r.Poor = 0.20 }),
		with("poor ratings 10% to 40%", func(r *Rates) { r.Poor = 0.40 }),
		with("slow 2% to 20%", func(r *Rates) { r.Slow = 0.20 }),
	}
}

const (
	// requestsPerSecond is the traffic of one model. It is about a tenth of 12,000
	// requests a second over 19 models, so that the simulation of a day stays
	// short.
	requestsPerSecond = 60
	// vmCount is the number of VMs that count outcomes separately. Each of their
	// reports is lost with the probability reportLossRate.
	vmCount        = 7
	reportLossRate = 0.1
)

// steps are the shares of the new version in percent.
var steps = []float64{5, 25, 50, 100}

// baselineStepTime is the time in a step of the baseline, which follows a fixed
// schedule without a comparison.
const baselineStepTime = time.Hour

// RollOutResult is the outcome of a simulated roll-out.
type RollOutResult struct {
	// Stopped says that the roll-out was paused or rolled back, and Done that it
	// finished.
	Stopped, Done bool
	// Exposed is the number of requests that the new version served after
	// DegradesAfter, until it was stopped or the day ended.
	Exposed int
	// Share is Exposed as a share of the model's requests of a day.
	Share float64
	// Steps is the number of steps taken.
	Steps int
}

// SimulateRollOut simulates a roll-out for up to a day, with the comparison of
// versions or by the fixed schedule.
func SimulateRollOut(c Case, compared bool, seed uint64) RollOutResult {
	p := rollOutSimulation{
		c: c, rng: rand.New(rand.NewPCG(seed, 1)),
		monitor: rollout.NewMonitor(rollout.DefaultSettings()),
		r: &config.RollOut{
			Meta: config.Meta{Name: "r", Revision: 1}, Model: strconv.FormatUint(seed, 10), From: "v1", To: "v2",
			Steps: steps, State: config.RollOutRunning,
		},
	}
	for i := range p.vms {
		p.vms[i] = rollout.NewRecorder(strconv.Itoa(i))
	}
	for p.second = 0; p.second < 24*3600; p.second++ {
		p.serve()
		if compared {
			p.evaluate()
		} else {
			p.followSchedule()
		}
		if p.result.Stopped || p.result.Done && (c.Equal() || compared) {
			break
		}
	}
	p.result.Share = float64(p.result.Exposed) / (requestsPerSecond * 24 * 3600)
	return p.result
}

// rollOutSimulation is the state of a roll-out simulation.
type rollOutSimulation struct {
	c         Case
	rng       *rand.Rand
	monitor   *rollout.Monitor
	r         *config.RollOut
	second    int
	vms       [vmCount]*rollout.Recorder
	result    RollOutResult
	stepStart int
	sessions  int
}

// serve simulates the requests of one second.
func (p *rollOutSimulation) serve() {
	degraded := time.Duration(p.second)*time.Second >= p.c.DegradesAfter
	burst := p.c.Burst && p.second%600 < 60
	for range requestsPerSecond / p.c.SessionLength {
		p.sessions++
		key := strconv.Itoa(p.sessions)
		choice, _ := rollout.Choose(p.r, key, func(string) bool { return true })
		rates := goodRates
		if choice.Arm == rollout.ArmTo && degraded {
			rates = p.c.To
			p.result.Exposed += p.c.SessionLength
		}
		if burst {
			rates.Errors = 0.5
		}
		p.recordSession(choice.Arm, key, rates)
	}
}

// recordSession simulates the requests of one session, which end alike.
func (p *rollOutSimulation) recordSession(arm rollout.Arm, key string, r Rates) {
	o := rollout.Outcome{Failed: p.rng.Float64() < r.Errors, Slow: p.rng.Float64() < r.Slow}
	poor := p.rng.Float64() < r.Poor
	vm := p.vms[p.rng.IntN(vmCount)]
	for range p.c.SessionLength {
		vm.Request(p.r, arm, key, o)
		if !o.Failed {
			vm.Rating(p.r, arm, key, poor)
		}
	}
}

// evaluate runs one round of the controller.
func (p *rollOutSimulation) evaluate() {
	now := time.Unix(0, 0).Add(time.Duration(p.second) * time.Second)
	p.monitor.Begin(p.r.Revision, now)
	s := &config.Snapshot{RollOuts: map[string]*config.RollOut{p.r.Name: p.r}}
	for _, vm := range p.vms {
		for _, n := range vm.Counts(s) {
			if p.rng.Float64() >= reportLossRate {
				p.monitor.Add(n)
			}
		}
	}
	switch p.monitor.Evaluate(p.r, now, true).Action {
	case rollout.Pause, rollout.RollBack:
		p.result.Stopped = true
	case rollout.Finish:
		p.result.Done = true
	case rollout.Advance:
		p.advance()
	}
}

// followSchedule is the baseline: it advances after each baselineStepTime, whatever
// the outcomes are.
func (p *rollOutSimulation) followSchedule() {
	if p.result.Done || time.Duration(p.second-p.stepStart)*time.Second < baselineStepTime {
		return
	}
	if p.r.Step == len(steps)-1 {
		p.result.Done = true
		return
	}
	p.advance()
}

// advance takes the next step at a new revision.
func (p *rollOutSimulation) advance() {
	next := *p.r
	next.Step++
	next.Revision++
	p.r = &next
	p.result.Steps++
	p.stepStart = p.second
}
