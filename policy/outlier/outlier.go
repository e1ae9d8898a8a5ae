// Package outlier ejects endpoints that answer with errors and returns them on
// probation.
//
// The package covers one endpoint that fails fast, and a pool that fails as a whole. An
// endpoint that fails fast always has the fewest requests in flight, so without
// ejection it attracts a growing part of all requests.
//
// At most MaxShare of a pool is ejected: when most endpoints look faulty, the cause is
// shared (a bad input, a failed network), and ejecting more would put all load on the
// few that remain. When nearly all requests to a pool fail, its circuit opens instead:
// CircuitOpen reports it, and the caller refuses requests at once apart from probes.
//
// Endpoints are not ejected for their latency, since each return of a slow endpoint on
// probation delays as many requests as it delayed before. The adaptive limit and hedges
// cover slow endpoints (docs/DECISIONS.md).
package outlier

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxShare is the part of a pool that may be ejected at once, rounded down, but at
	// least one endpoint. With a third ejected, the other endpoints of a pool at 65% load
	// can carry the rest.
	MaxShare = 0.34
	// consecutiveErrors is the number of errors in a row that eject an endpoint. At an
	// error rate of 5%, five in a row occur by chance once in three million.
	consecutiveErrors = 5
	// errorRate is the error rate above which an endpoint that fails in part is ejected,
	// after at least minSamples answers.
	errorRate  = 0.5
	minSamples = 10
	// endpointGain is the weight of one answer in the error rate of an endpoint, which
	// averages over about ten answers.
	endpointGain = 0.1
	// baseEjection is the duration of the first ejection. It doubles for each one in a
	// row, up to maxEjection.
	baseEjection = 5 * time.Second
	maxEjection  = 60 * time.Second
	// probationPasses is the number of successful answers in a row that end the
	// probation.
	probationPasses = 3
	// brokenRate is the error rate of the pool at which its circuit opens, after at least
	// brokenSamples answers.
	brokenRate    = 0.8
	brokenSamples = 20
	// probeInterval is the time between two requests that pass an open circuit.
	probeInterval = time.Second
	// poolGain is the weight of one answer in the error rate of the pool. Twenty failures
	// in a row open the circuit, as many as one VM's part of a pool gives in two seconds.
	poolGain = 0.08
)

// State is the state of an endpoint.
type State int

// The states of an endpoint.
const (
	// Healthy means that the endpoint accepts work.
	Healthy State = iota
	// Ejected means that the endpoint gets no work until its ejection ends.
	Ejected
	// Probation means that the endpoint gets one request at a time until it has passed.
	Probation
)

// Result is the outcome of one answer. Errors caused by the caller, such as a malformed
// request, and refusals by an endpoint at capacity are not failures.
type Result struct {
	Endpoint string
	Failed   bool
}

// Change is a change of an endpoint's state, to be passed on to the picker.
type Change struct {
	Endpoint string
	State    State
}

// endpoint holds the state and error statistics of one endpoint.
type endpoint struct {
	state        State
	samples      int
	errors       float64 // exponentially weighted error rate
	consecutive  int     // errors in a row
	successes    int     // successful answers on probation
	ejections    int     // ejections in a row, which determine the duration of the next
	ejectedUntil time.Time
}

// Detector detects failing endpoints of one pool. It is safe for concurrent use. Its
// mutex is a leaf of the lock order.
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

// SetEndpoints replaces the endpoints of the pool. Endpoints that stay keep their state.
func (d *Detector) SetEndpoints(names []string) {
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

// Record records one answer. It returns the change of state that the answer causes, and
// whether there is one.
func (d *Detector) Record(now time.Time, r Result) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.endpoints[r.Endpoint]
	if e == nil {
		return Change{}, false
	}
	d.updateRates(e, r)
	switch {
	case e.state == Ejected:
		return Change{}, false
	case e.state == Probation:
		return d.recordProbation(now, e, r)
	case e.failing() && d.mayEject():
		return d.eject(now, e, r.Endpoint), true
	}
	return Change{}, false
}

// StartProbations puts the endpoints whose ejection has ended on probation and returns their
// changes.
func (d *Detector) StartProbations(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ejected == 0 {
		return nil
	}
	var out []Change
	for name, e := range d.endpoints {
		if e.state != Ejected || now.Before(e.ejectedUntil) {
			continue
		}
		e.state = Probation
		e.successes = 0
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

// State returns the state of an endpoint.
func (d *Detector) State(name string) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.endpoints[name]; e != nil {
		return e.state
	}
	return Healthy
}

// CircuitOpen reports whether the pool's circuit is open and the request is to be refused at
// once. While the circuit is open, CircuitOpen returns false for one request per
// probeInterval, which serves as a probe.
func (d *Detector) CircuitOpen(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.samples < brokenSamples || d.errors < brokenRate {
		return false
	}
	if now.Sub(d.lastProbe) >= probeInterval {
		d.lastProbe = now
		return false
	}
	return true
}

// updateRates adds a result to the error rates of the endpoint and the pool.
func (d *Detector) updateRates(e *endpoint, r Result) {
	failed := 0.0
	if r.Failed {
		failed = 1
		e.consecutive++
	} else {
		e.consecutive = 0
	}
	e.samples++
	e.errors += endpointGain * (failed - e.errors)
	d.samples++
	d.errors += poolGain * (failed - d.errors)
	if !r.Failed && d.errors >= brokenRate {
		// One success closes the circuit: only probes run while it is open, and the pool
		// must not wait for fifty of them. Some further failures open it again.
		d.errors = brokenRate - poolGain
	}
}

// failing reports whether the endpoint is to be ejected according to its own errors.
func (e *endpoint) failing() bool {
	if e.consecutive >= consecutiveErrors {
		return true
	}
	return e.samples >= minSamples && e.errors > errorRate
}

// mayEject reports whether one more endpoint of the pool may be ejected. A pool's only
// endpoint never is.
func (d *Detector) mayEject() bool {
	n := len(d.endpoints)
	if n < 2 {
		return false
	}
	return d.ejected < max(1, int(MaxShare*float64(n)))
}

// eject ejects the endpoint. Each ejection in a row lasts twice as long, up to
// maxEjection.
func (d *Detector) eject(now time.Time, e *endpoint, name string) Change {
	length := min(baseEjection<<min(e.ejections, 8), maxEjection)
	*e = endpoint{state: Ejected, ejections: e.ejections + 1, ejectedUntil: now.Add(length)}
	d.ejected++
	return Change{Endpoint: name, State: Ejected}
}

// recordProbation applies a result of an endpoint on probation, which ends after
// probationPasses successful answers in a row or with the first failure.
func (d *Detector) recordProbation(now time.Time, e *endpoint, r Result) (Change, bool) {
	if r.Failed {
		if !d.mayEject() {
			return Change{}, false
		}
		return d.eject(now, e, r.Endpoint), true
	}
	e.successes++
	if e.successes < probationPasses {
		return Change{}, false
	}
	*e = endpoint{}
	return Change{Endpoint: r.Endpoint, State: Healthy}, true
}
