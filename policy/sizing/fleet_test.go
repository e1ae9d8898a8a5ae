package sizing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is one kind of request of a deployment whose most urgent requests are small.
type kind struct {
	name            string
	prompt, output  int
	rate            float64
	target, timeout float64
	weight          float64 // of its good answers
}

// kinds are the kinds of requests by rank, the most urgent first.
var kinds = []kind{
	{"small", 826, 290, 190, 1.5, 15, 4},
	{"quick", 2368, 22, 225, 1.5, 4, 2},
	{"large", 11990, 380, 104, 6, 20, 1},
}

// kindModels are the models' qualities and paces, smallest first.
var kindModels = []struct{ quality, pace float64 }{{0.56, 0.3}, {0.65, 0.8}, {1, 3}}

const (
	fleetEngines = 20
	fleetSlots   = 16
	fleetTime    = 20.0
	fleetWarm    = 5.0 // the first seconds don't count
	fleetUnit    = 4 * time.Millisecond
	stepTime     = 0.003   // of a model of pace 1 without other requests
	stepPerOther = 0.00012 // for each running request
	readRate     = 92000.0 // prompt tokens a second, pace 1
	budgetTime   = 10.0
	budgetSlack  = 30.0 // 210 for 140 engines
)

// fleetRequest is one request in simulateFleet.
type fleetRequest struct {
	rank          int
	hard, arrived float64
	model, left   int
	engine        int
	cancelled     bool
}

// fleetEvent is a step of simulateFleet at a time.
type fleetEvent struct {
	at  float64
	run func(now float64)
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int           { return len(e) }
func (e fleetEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e fleetEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)        { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// fleetEngine runs a number of requests and reads one prompt after another.
type fleetEngine struct {
	down     bool
	running  []*fleetRequest
	waiting  []*fleetRequest
	readFree float64
	prefill  float64 // tokens to read, times Work
}

// work is what placement counts as work under way.
func (e *fleetEngine) work() float64 {
	return float64(len(e.running)+len(e.waiting)) + e.prefill/1000
}

// fleetRule decides on a weak answer; running is the number of requests at the endpoint that answered.
type fleetRule struct {
	next func(s LoadInput) (int, bool)
	// first returns the first model to ask; nil for the smallest.
	first func(rank int, relative, use float64) int
	// budget reports whether a rank may take from the budget; nil for always.
	budget func(rank, confidence int, used float64) bool
}

// fleetResult counts requests and good answers by rank.
type fleetResult struct {
	all, inTime, late [3]float64
	// attempts are all attempts, urgentCost what those of the most urgent requests cost, as a share of an answer's worth.
	attempts, urgentCost float64
}

// weighed is the share of good answers in time, weighed by kind, and a tenth of that for late ones.
func (r fleetResult) weighed() float64 {
	good, all := 0.0, 0.0
	for i, k := range kinds {
		good += k.weight * (r.inTime[i] + lateWorth*r.late[i])
		all += k.weight * r.all[i]
	}
	return good / all
}

func (r fleetResult) share(rank int) float64 { return r.inTime[rank] / r.all[rank] }

func (r fleetResult) String() string {
	return fmt.Sprintf("small %.3f quick %.3f large %.3f weighed %.3f attempts %.2f cost of small %.3f", r.share(0), r.share(1), r.share(2), r.weighed(), r.attempts/(r.all[0]+r.all[1]+r.all[2]), r.urgentCost/r.all[0])
}

// fleet is the state of simulateFleet.
type fleet struct {
	rng     *rand.Rand
	rule    fleetRule
	engines [fleetEngines]fleetEngine
	events  fleetEvents
	mean    MeanWork
	ratio   float64 // of the retry budget
	firsts  []float64
	extras  []float64
	out     fleetResult
}

func (f *fleet) at(t float64, run func(float64)) { heap.Push(&f.events, fleetEvent{t, run}) }

// place sends a request to the least loaded of some endpoints: VMs see the load with some delay.
func (f *fleet) place(now float64, r *fleetRequest) {
	best := -1
	for range 6 {
		i := f.rng.IntN(fleetEngines)
		if e := &f.engines[i]; !e.down && (best < 0 || e.work() < f.engines[best].work()) {
			best = i
		}
	}
	if best < 0 {
		return
	}
	f.count(r, &f.out.attempts, 1)
	if r.rank == 0 {
		f.count(r, &f.out.urgentCost, simModels[r.model].cost)
	}
	r.engine = best
	e := &f.engines[best]
	e.prefill += f.promptWork(r)
	e.waiting = append(e.waiting, r)
	f.start(now, e)
}

func (f *fleet) promptWork(r *fleetRequest) float64 {
	return float64(kinds[r.rank].prompt) * Work(r.model, len(kindModels))
}

// start lets waiting requests use free slots.
func (f *fleet) start(now float64, e *fleetEngine) {
	for len(e.waiting) > 0 && len(e.running) < fleetSlots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		if now-r.arrived > kinds[r.rank].timeout {
			e.prefill -= f.promptWork(r)
			continue
		}
		e.running = append(e.running, r)
		e.readFree = max(e.readFree, now) + float64(kinds[r.rank].prompt)*kindModels[r.model].pace/readRate
		f.at(e.readFree, func(now float64) { f.head(now, r) })
	}
}

func (f *fleet) leave(now float64, r *fleetRequest) {
	e := &f.engines[r.engine]
	e.running = slices.DeleteFunc(e.running, func(o *fleetRequest) bool { return o == r })
	f.start(now, e)
}

// budgetUse returns the used share of the retry budget.
func (f *fleet) budgetUse(now float64) float64 {
	recent := func(list *[]float64) float64 {
		for len(*list) > 0 && (*list)[0] < now-budgetTime {
			*list = (*list)[1:]
		}
		return float64(len(*list))
	}
	extras := recent(&f.extras)
	return extras / (f.ratio*recent(&f.firsts) + budgetSlack)
}

// input describes the decision after the answer to r.
func (f *fleet) input(now float64, r *fleetRequest) LoadInput {
	k, last := kinds[r.rank], len(kindModels)-1
	use, wait := f.use()
	confidence := 50 + 160*(kindModels[r.model].quality-r.hard) + 10*f.rng.NormFloat64()
	return LoadInput{
		Input: Input{
			Models: make([]string, last+1), Current: r.model, Known: true, Confidence: int(min(max(confidence, 0), 100)), AttemptsLeft: r.left,
			Spent: seconds(now - r.arrived), Wait: time.Duration(wait * float64(fleetUnit)), Read: time.Duration((1 + float64(k.prompt)*largestWork/1000) * float64(fleetUnit)),
			TargetLatency: seconds(k.target), Running: len(f.engines[r.engine].running) + len(f.engines[r.engine].waiting), Slots: fleetSlots,
			Left: seconds(k.timeout - now + r.arrived), Total: seconds(k.timeout),
		},
		Rank: r.rank, Ranks: len(kinds), RelativeWork: f.mean.Relative(RequestWork(last, last+1, k.prompt, k.output, fleetSlots)),
		CapacityUse: use, Measured: true, ShortestTarget: 1500 * time.Millisecond,
	}
}

// use returns the share of the capacity in use and the least work under way.
func (f *fleet) use() (use, least float64) {
	var work []float64
	for i := range f.engines {
		if !f.engines[i].down {
			work = append(work, f.engines[i].work())
		}
	}
	slices.Sort(work)
	quarter := work[:(len(work)+3)/4]
	for _, w := range quarter {
		use += w / fleetSlots / float64(len(quarter))
	}
	return use, work[0]
}

// head handles the head of an answer: a larger model is asked, or the caller gets the answer.
func (f *fleet) head(now float64, r *fleetRequest) {
	if r.cancelled {
		return
	}
	e := &f.engines[r.engine]
	e.prefill -= f.promptWork(r)
	k := kinds[r.rank]
	if r.model < len(kindModels)-1 {
		used := f.budgetUse(now)
		in := f.input(now, r)
		if next, up := f.rule.next(in); up && used < 1 && (f.rule.budget == nil || f.rule.budget(r.rank, in.Confidence, used)) {
			f.extras = append(f.extras, now)
			f.leave(now, r)
			again := &fleetRequest{rank: r.rank, hard: r.hard, arrived: r.arrived, model: next, left: r.left - 1}
			f.place(now, again)
			return
		}
	}
	end := now + float64(k.output)*(stepTime*kindModels[r.model].pace+stepPerOther*float64(len(e.running)))
	headAfter := now - r.arrived
	f.at(end, func(now float64) {
		if r.cancelled {
			return
		}
		f.leave(now, r)
		switch {
		case r.hard >= kindModels[r.model].quality || now-r.arrived > k.timeout:
		case headAfter <= k.target:
			f.count(r, &f.out.inTime[r.rank], 1)
		default:
			f.count(r, &f.out.late[r.rank], 1)
		}
	})
}

// count adds to a count unless the request arrived before the fleet was loaded.
func (f *fleet) count(r *fleetRequest, n *float64, add float64) {
	if r.arrived >= fleetWarm {
		*n += add
	}
}

// crash ends two fifths of the engines with what runs there.
func (f *fleet) crash(float64) {
	for i := range fleetEngines * 2 / 5 {
		e := &f.engines[i]
		for _, r := range append(e.running, e.waiting...) {
			r.cancelled = true
		}
		*e = fleetEngine{down: true}
	}
}

// capacityRate returns the factor of the rates of kinds at which the slots of the fleet are in use if
// all requests that are too hard for the smallest model go to the largest one.
func capacityRate() float64 {
	demand := 0.0
	for _, k := range kinds {
		hold := func(model int) float64 {
			pace := kindModels[model].pace
			return float64(k.prompt)*pace/readRate + float64(k.output)*(stepTime*pace+stepPerOther*fleetSlots)
		}
		demand += k.rate * (kindModels[0].quality*hold(0) + (1-kindModels[0].quality)*hold(len(kindModels)-1))
	}
	return fleetEngines * fleetSlots / demand
}

// fleetLoad is the load of simulateFleet, 1 for what the engines can do if all weak answers are
// escalated to the largest model. crash ends two fifths of the engines after a third of the time.
type fleetLoad struct {
	name  string
	load  float64
	crash bool
	ratio float64 // of the retry budget
}

// simulateFleet plays the three kinds for fleetTime. All rules get the same requests of a seed.
func simulateFleet(seed uint64, l fleetLoad, rule fleetRule) fleetResult {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 5)), rule: rule, ratio: l.ratio}
	draw := rand.New(rand.NewPCG(seed, 6))
	scale := capacityRate() * l.load
	for rank, k := range kinds {
		for t := draw.ExpFloat64() / (k.rate * scale); t < fleetTime; t += draw.ExpFloat64() / (k.rate * scale) {
			r := &fleetRequest{rank: rank, hard: draw.Float64(), arrived: t, left: 2}
			f.at(t, func(now float64) { f.arrive(now, r) })
		}
	}
	if l.crash {
		f.at(fleetTime/3, f.crash)
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(fleetEvent)
		e.run(e.at)
	}
	return f.out
}

func (f *fleet) arrive(now float64, r *fleetRequest) {
	f.firsts = append(f.firsts, now)
	f.count(r, &f.out.all[r.rank], 1)
	if f.rule.first != nil {
		k, last := kinds[r.rank], len(kindModels)-1
		use, _ := f.use()
		r.model = f.rule.first(r.rank, RequestWork(last, last+1, k.prompt, k.output, fleetSlots)/max(f.mean.mean, 1), use)
	}
	f.place(now, r)
}

// playFleet adds up the results of some seeds.
func playFleet(l fleetLoad, rule fleetRule) (sum fleetResult) {
	for seed := range uint64(3) {
		r := simulateFleet(seed, l, rule)
		for i := range kinds {
			sum.all[i] += r.all[i]
			sum.inTime[i] += r.inTime[i]
			sum.late[i] += r.late[i]
		}
		sum.attempts += r.attempts
		sum.urgentCost += r.urgentCost
	}
	return sum
}
