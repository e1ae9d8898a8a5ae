package versiontest

import (
	"math/rand/v2"
	"strconv"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/policy/rollout"
)

// Rates are a version's rates of bad events.
type Rates struct{ Errors, Slow, Poor float64 }

// usual are a good version's: failures and late answers are rare, poor ratings are not.
var usual = Rates{Errors: 0.01, Slow: 0.02, Poor: 0.10}

// Case is a version to roll out.
type Case struct {
	Name string
	// To are the new version's rates from Turns on; before it is as the old one.
	To    Rates
	Turns time.Duration
	// Burst has half of both versions' requests fail in one minute out of ten.
	Burst bool
	// Session is the number of requests of one session; a bad session fails as a
	// whole. One is independent requests.
	Session int
}

// Equal says that the new version is as good as the old one.
func (c Case) Equal() bool { return c.To == usual }

// Cases are the ones measured.
func Cases() []Case {
	with := func(name string, change func(*Rates)) Case {
		c := Case{Name: name, To: usual, Session: 1}
		change(&c.To)
		return c
	}
	late := with("errors 1% to 20%, after 4 min", func(r *Rates) { r.Errors = 0.20 })
	late.Turns = 4 * time.Minute
	burst := with("equal, bursts that fail both", func(*Rates) {})
	burst.Burst = true
	sessions := with("equal, sessions of 5 fail whole", func(*Rates) {})
	sessions.Session = 5
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
	// requestsPerSecond is one model's traffic: a tenth of the letter's 12,000 a
	// second over 19 models, so that a play of a day stays short.
	requestsPerSecond = 60
	// vms is how many count apart; each report is lost one time in ten.
	vms        = 7
	reportLost = 0.1
)

// steps are the shares of a roll-out.
var steps = []float64{5, 25, 50, 100}

// baselineStep is how long the baseline, a fixed schedule without comparison, stays in a step.
const baselineStep = time.Hour

// RollOutResult is how a roll-out went.
type RollOutResult struct {
	// Stopped says that it was paused or rolled back, Done that it came to its end.
	Stopped, Done bool
	// Exposed is the number of requests that the new version served while bad,
	// until it was stopped or the day ended.
	Exposed int
	// Share is Exposed as a share of the model's requests of a day.
	Share float64
	// Steps is the number of steps taken.
	Steps int
}

// PlayRollOut rolls a version out with the comparison, or by the fixed schedule.
func PlayRollOut(c Case, compared bool, seed uint64) RollOutResult {
	p := rollOutPlay{
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
			p.judge()
		} else {
			p.schedule()
		}
		if p.result.Stopped || p.result.Done && (c.Equal() || compared) {
			break
		}
	}
	p.result.Share = float64(p.result.Exposed) / (requestsPerSecond * 24 * 3600)
	return p.result
}

type rollOutPlay struct {
	c       Case
	rng     *rand.Rand
	monitor *rollout.Monitor
	r       *config.RollOut
	second  int
	vms     [vms]*rollout.Recorder
	result  RollOutResult
	since   int
	session int
}

// serve plays one second's requests.
func (p *rollOutPlay) serve() {
	turned := time.Duration(p.second)*time.Second >= p.c.Turns
	burst := p.c.Burst && p.second%600 < 60
	for range requestsPerSecond / p.c.Session {
		p.session++
		key := strconv.Itoa(p.session)
		choice, _ := rollout.Choose(p.r, key, func(string) bool { return true })
		rates := usual
		if choice.Arm == rollout.ArmTo && turned {
			rates = p.c.To
			p.result.Exposed += p.c.Session
		}
		if burst {
			rates.Errors = 0.5
		}
		p.outcome(choice.Arm, key, rates)
	}
}

// outcome plays one session's requests, which end alike.
func (p *rollOutPlay) outcome(arm rollout.Arm, key string, r Rates) {
	o := rollout.Outcome{Failed: p.rng.Float64() < r.Errors, Slow: p.rng.Float64() < r.Slow}
	poor := p.rng.Float64() < r.Poor
	vm := p.vms[p.rng.IntN(vms)]
	for range p.c.Session {
		vm.Request(p.r, arm, key, o)
		if !o.Failed {
			vm.Rating(p.r, arm, key, poor)
		}
	}
}

// judge is one round of the controller.
func (p *rollOutPlay) judge() {
	now := time.Unix(0, 0).Add(time.Duration(p.second) * time.Second)
	p.monitor.Begin(p.r.Revision, now)
	s := &config.Snapshot{RollOuts: map[string]*config.RollOut{p.r.Name: p.r}}
	for _, vm := range p.vms {
		for _, n := range vm.Counts(s) {
			if p.rng.Float64() >= reportLost {
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

// schedule is the baseline: a step each hour, whatever happens.
func (p *rollOutPlay) schedule() {
	if p.result.Done || time.Duration(p.second-p.since)*time.Second < baselineStep {
		return
	}
	if p.r.Step == len(steps)-1 {
		p.result.Done = true
		return
	}
	p.advance()
}

func (p *rollOutPlay) advance() {
	next := *p.r
	next.Step++
	next.Revision++
	p.r = &next
	p.result.Steps++
	p.since = p.second
}
