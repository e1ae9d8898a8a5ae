package versiontest

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/policy/datacentre"
)

// The simulation of a data centre's return has three data centres, each with a single
// queue. It leaves out admission, cold-start limits and retries.
const (
	returnRate = 1080.0 // requests per second, 60% of the capacity of three warm data centres
	dcCapacity = 600.0  // capacity of one warm data centre, in requests per second
	// warmWork and coldWork are the units of work of a request whose prefix is
	// cached and of one whose prefix isn't. Without the cached prefix, the whole
	// prompt is computed.
	warmWork, coldWork = 1.0, 4.0
	// warmHitRatio is the share of requests with a cached prefix in a warm data
	// centre. An empty data centre approaches this share as
	// exp(-served/cacheFillRequests) decays.
	warmHitRatio, cacheFillRequests = 0.8, 5000.0
	// reportInterval is the period of the load reports that the VMs choose by.
	reportInterval = 2 * time.Second
	// deadline is the wait after which a caller with a customer at the counter
	// disconnects.
	deadline = time.Second
	// returnTime is how long callers are observed after the return.
	returnTime = 2 * time.Minute
)

// ReturnResult holds what callers received in the two minutes after the return.
type ReturnResult struct {
	// Completed is the share of requests answered within the deadline.
	Completed float64
	// Worst is the lowest such share of any second.
	Worst float64
	// P99 is the 99th percentile of all waits.
	P99 time.Duration
	// Late is the number of requests answered after the deadline.
	Late int
}

// returnSimulation is the state of a simulation of a data centre's return.
type returnSimulation struct {
	rng     *rand.Rand
	tracker *datacentre.Tracker
	names   []string
	// freeAt is when each data centre's queue becomes empty, in seconds; served is
	// the number of requests that it took.
	freeAt, served []float64
	// reportedQueues are the last reported queue lengths, in seconds of work.
	reportedQueues []float64
}

// SimulateReturn takes the first data centre out of service, lets the others carry
// the load for a minute, and then returns it with an empty cache. The ramp is the
// time over which its weight rises; zero disables it.
func SimulateReturn(ramp time.Duration, seed uint64) ReturnResult {
	p := &returnSimulation{
		rng:            rand.New(rand.NewPCG(seed, 2)),
		tracker:        datacentre.NewTracker(datacentre.Settings{RampTime: ramp, Floor: datacentre.DefaultSettings().Floor}),
		names:          []string{"norte-a", "norte-b", "norte-c"},
		freeAt:         make([]float64, 3),
		served:         []float64{math.Inf(1), math.Inf(1), math.Inf(1)},
		reportedQueues: make([]float64, 3),
	}
	p.observe(true, 0)
	p.observe(false, 0)
	p.serve(0, 60)
	p.observe(true, 60)
	p.served[0] = 0
	return summarise(p.serve(60, 60+returnTime.Seconds()))
}

// clock converts seconds of simulated time to a time.Time.
func clock(seconds float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// observe reports all data centres to the tracker, with the first one in or out of
// service.
func (p *returnSimulation) observe(in bool, at float64) {
	states := make(map[string]*config.DataCentre)
	for _, name := range p.names {
		states[name] = &config.DataCentre{Meta: config.Meta{Name: name}, State: config.DataCentreIn}
	}
	if !in {
		states[p.names[0]].State = config.DataCentreOut
	}
	p.tracker.Observe(states, clock(at))
}

// requestWait holds the arrival time of a request and its wait, in seconds.
type requestWait struct{ at, wait float64 }

// serve simulates Poisson arrivals between two times.
func (p *returnSimulation) serve(from, to float64) []requestWait {
	var out []requestWait
	nextReport := from
	for at := from; at < to; at += p.rng.ExpFloat64() / returnRate {
		if at >= nextReport {
			for i := range p.reportedQueues {
				p.reportedQueues[i] = max(0, p.freeAt[i]-at)
			}
			nextReport += reportInterval.Seconds()
		}
		out = append(out, requestWait{at - from, p.request(at)})
	}
	return out
}

// request assigns a request to a data centre and returns its wait in seconds.
func (p *returnSimulation) request(at float64) float64 {
	i := p.pick(at)
	hits := warmHitRatio * (1 - math.Exp(-p.served[i]/cacheFillRequests))
	p.served[i]++
	work := coldWork
	if p.rng.Float64() < hits {
		work = warmWork
	}
	p.freeAt[i] = max(at, p.freeAt[i]) + work/dcCapacity/meanWarmWork
	return p.freeAt[i] - at
}

// meanWarmWork is the mean work of a request in a warm data centre. It scales the
// work so that dcCapacity is in requests per second.
const meanWarmWork = warmHitRatio*warmWork + (1-warmHitRatio)*coldWork

// pick selects a data centre by power of two choices on the reported queues, among
// those that currently admit requests.
func (p *returnSimulation) pick(at float64) int {
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
	if p.reportedQueues[b] < p.reportedQueues[a] {
		return b
	}
	return a
}

// summarise computes the result from the waits of all requests.
func summarise(all []requestWait) ReturnResult {
	var r ReturnResult
	seconds := make([]struct{ good, all int }, int(returnTime.Seconds())+1)
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
