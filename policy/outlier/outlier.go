// Package outlier ejects endpoints that answer with errors, and takes them back on
// probation.
//
// Load pattern: one endpoint fails fast, so that it always has the least in
// flight and draws the traffic of the pool; or the whole pool fails.
//
// Without it: the failing endpoint is a black hole that takes a growing part of
// all requests.
//
// At most MaxShare of a pool is ejected: when most of a pool looks bad, the cause
// is common to it (a bad input, a dead network), and ejecting the rest would put
// all load on the few that are left. A pool in which nearly everything fails opens
// its circuit instead: Broken, and the caller refuses at once but for probes.
//
// There is no ejection by latency: each return of a slow endpoint on probation costs as
// many requests as it held before. The adaptive limit and hedges answer that pattern
// (docs/DECISIONS.md).
package outlier

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxShare is the part of a pool that may be ejected at once, rounded down but at
	// least one endpoint. With a third out, the others of a pool at 65% load carry the rest.
	MaxShare = 0.34
	// consecutiveErrors ejects by errors alone: five in a row by chance, at an
	// error rate of 5%, is one in three million.
	consecutiveErrors = 5
	// errorRate ejects an endpoint that fails in part, with minSamples behind it.
	errorRate  = 0.5
	minSamples = 10
	// gain is the weight of one answer in the running rates: about the last ten.
	gain = 0.1
	// baseEjection is the first ejection's length, doubled for each in a row.
	baseEjection = 5 * time.Second
	maxEjection  = 60 * time.Second
	// probationPasses is the number of good answers in a row that end the probation.
	probationPasses = 3
	// brokenRate opens the pool's circuit; brokenSamples is its least evidence.
	brokenRate    = 0.8
	brokenSamples = 20
	// probeEvery is the time between two requests that are let through an open circuit.
	probeEvery = time.Second
	// poolGain is the weight of one answer in the pool's error rate: twenty failures in
	// a row open the circuit, two seconds' worth of one VM's part of a pool.
	poolGain = 0.08
)

// State is where an endpoint stands.
type State int

// The states of an endpoint.
const (
	// Healthy takes work.
	Healthy State = iota
	// Ejected takes none until its time is over.
	Ejected
	// Probation takes one request at a time until it has passed.
	Probation
)

// Result is what one answer tells about its endpoint. Errors that the caller
// caused (a malformed request) and refusals for want of room are no failures.
type Result struct {
	Endpoint string
	Failed   bool
}

// Change is a change of an endpoint's state, to be passed on to the picker.
type Change struct {
	Endpoint string
	State    State
}

type endpoint struct {
	state     State
	samples   int
	errors    float64 // running error rate
	inRow     int     // errors in a row
	passes    int     // good answers in probation
	ejections int     // in a row, for the length of the next
	until     time.Time
}

// Detector watches one pool. It is safe for concurrent use; its mutex is a leaf.
type Detector struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
	ejected   int
	errors    float64
	samples   int
	lastProbe time.Time
}

// New returns a detector without endpoints.
func New() *Detector {
	return &Detector{endpoints: make(map[string]*endpoint)}
}

// Set makes names the pool's endpoints; what is known of those that stay is kept.
func (d *Detector) Set(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := make(map[string]*endpoint, len(names))
	d.ejected = 0
	for _, name := range names {
		e := d.endpoints[name]
		if e == nil {
			e = &endpoint{}
		}
		if e.state == Ejected {
			d.ejected++
		}
		keep[name] = e
	}
	d.endpoints = keep
}

// Record takes one answer and returns the change of state that it causes.
func (d *Detector) Record(now time.Time, r Result) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.endpoints[r.Endpoint]
	if e == nil {
		return Change{}, false
	}
	d.learn(e, r)
	switch {
	case e.state == Ejected:
		return Change{}, false
	case e.state == Probation:
		return d.probation(now, e, r)
	case e.bad() && d.mayEject():
		return d.eject(now, e, r.Endpoint), true
	}
	return Change{}, false
}

// Due returns the endpoints whose ejection has ended; they are on probation now.
func (d *Detector) Due(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ejected == 0 {
		return nil
	}
	var out []Change
	for name, e := range d.endpoints {
		if e.state != Ejected || now.Before(e.until) {
			continue
		}
		e.state = Probation
		e.passes = 0
		d.ejected--
		out = append(out, Change{Endpoint: name, State: Probation})
	}
	slices.SortFunc(out, func(a, b Change) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	return out
}

// State returns an endpoint's state.
func (d *Detector) State(name string) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.endpoints[name]; e != nil {
		return e.state
	}
	return Healthy
}

// Broken reports whether the pool's circuit is open. Then one request each
// probeEvery is let through (Broken returns false for it), and the rest is to be
// refused at once.
func (d *Detector) Broken(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.samples < brokenSamples || d.errors < brokenRate {
		return false
	}
	if now.Sub(d.lastProbe) >= probeEvery {
		d.lastProbe = now
		return false
	}
	return true
}

func (d *Detector) learn(e *endpoint, r Result) {
	failed := 0.0
	if r.Failed {
		failed = 1
		e.inRow++
	} else {
		e.inRow = 0
	}
	e.samples++
	e.errors += gain * (failed - e.errors)
	d.samples++
	d.errors += poolGain * (failed - d.errors)
	if !r.Failed && d.errors >= brokenRate {
		// One success closes the circuit: only probes run then, and the pool must not
		// wait for fifty of them. If it was luck, some failures open it again.
		d.errors = brokenRate - poolGain
	}
}

// bad judges an endpoint by its own errors alone.
func (e *endpoint) bad() bool {
	if e.inRow >= consecutiveErrors {
		return true
	}
	return e.samples >= minSamples && e.errors > errorRate
}

func (d *Detector) mayEject() bool {
	n := len(d.endpoints)
	if n < 2 {
		return false
	}
	return d.ejected < max(1, int(MaxShare*float64(n)))
}

func (d *Detector) eject(now time.Time, e *endpoint, name string) Change {
	length := min(baseEjection<<min(e.ejections, 8), maxEjection)
	*e = endpoint{state: Ejected, ejections: e.ejections + 1, until: now.Add(length)}
	d.ejected++
	return Change{Endpoint: name, State: Ejected}
}

// probation ends after probationPasses good answers in a row, or with the first failure.
func (d *Detector) probation(now time.Time, e *endpoint, r Result) (Change, bool) {
	if r.Failed {
		if !d.mayEject() {
			return Change{}, false
		}
		return d.eject(now, e, r.Endpoint), true
	}
	e.passes++
	if e.passes < probationPasses {
		return Change{}, false
	}
	*e = endpoint{}
	return Change{Endpoint: r.Endpoint, State: Healthy}, true
}
