package versiontest

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/policy/datacentre"
)

// The play of a data centre's return: three data centres as Norte's, each one
// queue. What the play leaves out: admission, cold-start limits, retries.
const (
	returnRate = 1080.0 // requests a second: 60% of what three warm data centres bear
	dcCapacity = 600.0  // units of work a second of one data centre
	// warmWork and coldWork are a request's units with its prefix cached and
	// without: without, the whole prompt is computed.
	warmWork, coldWork = 1.0, 4.0
	// cacheHits is the share of requests with a cached prefix in a warm data centre;
	// an empty one gets there as exp(-served/cacheFill) fades.
	cacheHits, cacheFill = 0.8, 5000.0
	// loadLag is the age of the load reports that the VMs choose by.
	loadLag = 2 * time.Second
	// deadline is when a caller with a customer at the counter gives up.
	deadline = time.Second
	// returnPlay is how long callers are watched after the return.
	returnPlay = 2 * time.Minute
)

// ReturnResult is what callers received in the two minutes after the return.
type ReturnResult struct {
	// Completed is the share of requests answered within the deadline.
	Completed float64
	// Worst is that share in the worst second.
	Worst float64
	// P99 is the 99th percentile of all waits.
	P99 time.Duration
	// Late is the number of requests answered after the deadline.
	Late int
}

type returnPlayer struct {
	rng     *rand.Rand
	tracker *datacentre.Tracker
	names   []string
	// free is when each data centre's queue is empty, in seconds; served how many it took.
	free, served []float64
	// reported are the queues, in seconds of work, as the VMs know them.
	reported []float64
}

// PlayReturn takes the first data centre out, lets the others carry the load for
// a minute, and brings it back empty, with the given ramp; zero is no ramp.
func PlayReturn(ramp time.Duration, seed uint64) ReturnResult {
	p := &returnPlayer{
		rng:      rand.New(rand.NewPCG(seed, 2)),
		tracker:  datacentre.NewTracker(datacentre.Settings{RampTime: ramp, Floor: datacentre.DefaultSettings().Floor}),
		names:    []string{"norte-a", "norte-b", "norte-c"},
		free:     make([]float64, 3),
		served:   []float64{math.Inf(1), math.Inf(1), math.Inf(1)},
		reported: make([]float64, 3),
	}
	p.observe(true, 0)
	p.observe(false, 0)
	p.serve(0, 60)
	p.observe(true, 60)
	p.served[0] = 0
	return summarise(p.serve(60, 60+returnPlay.Seconds()))
}

func clock(seconds float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func (p *returnPlayer) observe(in bool, at float64) {
	states := make(map[string]*config.DataCentre)
	for _, name := range p.names {
		states[name] = &config.DataCentre{Meta: config.Meta{Name: name}, State: config.DataCentreIn}
	}
	if !in {
		states[p.names[0]].State = config.DataCentreOut
	}
	p.tracker.Observe(states, clock(at))
}

// arrival is one request's second of arrival and wait.
type arrival struct{ at, wait float64 }

// serve plays Poisson arrivals between two times.
func (p *returnPlayer) serve(from, to float64) []arrival {
	var out []arrival
	nextReport := from
	for at := from; at < to; at += p.rng.ExpFloat64() / returnRate {
		if at >= nextReport {
			for i := range p.reported {
				p.reported[i] = max(0, p.free[i]-at)
			}
			nextReport += loadLag.Seconds()
		}
		out = append(out, arrival{at - from, p.request(at)})
	}
	return out
}

// request sends one to a data centre and returns its wait.
func (p *returnPlayer) request(at float64) float64 {
	i := p.pick(at)
	hits := cacheHits * (1 - math.Exp(-p.served[i]/cacheFill))
	p.served[i]++
	work := coldWork
	if p.rng.Float64() < hits {
		work = warmWork
	}
	p.free[i] = max(at, p.free[i]) + work/dcCapacity/meanWarmWork
	return p.free[i] - at
}

// meanWarmWork scales work so that dcCapacity is in requests of a warm data centre.
const meanWarmWork = cacheHits*warmWork + (1-cacheHits)*coldWork

// pick is choice of two by reported queue, among the data centres admitted now.
func (p *returnPlayer) pick(at float64) int {
	var admitted, positive []int
	for i, name := range p.names {
		if p.tracker.Weight(name, clock(at)) > 0 {
			positive = append(positive, i)
		}
		if p.tracker.Admits(name, clock(at), p.rng.Float64()) {
			admitted = append(admitted, i)
		}
	}
	if len(admitted) == 0 {
		admitted = positive
	}
	a, b := admitted[p.rng.IntN(len(admitted))], admitted[p.rng.IntN(len(admitted))]
	if p.reported[b] < p.reported[a] {
		return b
	}
	return a
}

func summarise(all []arrival) ReturnResult {
	var r ReturnResult
	seconds := make([]struct{ good, all int }, int(returnPlay.Seconds())+1)
	waits := make([]float64, 0, len(all))
	for _, a := range all {
		s := &seconds[int(a.at)]
		s.all++
		if a.wait <= deadline.Seconds() {
			s.good++
		} else {
			r.Late++
		}
		waits = append(waits, a.wait)
	}
	slices.Sort(waits)
	r.P99 = time.Duration(waits[len(waits)*99/100] * float64(time.Second)).Round(time.Millisecond)
	r.Completed = 1 - float64(r.Late)/float64(len(all))
	r.Worst = 1
	for _, s := range seconds {
		if s.all > 0 {
			r.Worst = min(r.Worst, float64(s.good)/float64(s.all))
		}
	}
	return r
}
