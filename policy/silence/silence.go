package silence

import (
	"sync"
	"time"
)

const (
	// probeAfter is how long nothing may be received from an endpoint with waiting requests
	// before it is probed. A shorter time probes engines that are reading a prompt; a longer
	// one leaves less of the caller's time for another endpoint.
	probeAfter = 300 * time.Millisecond
	// maxMissed is the number of failed probes in a row after which an endpoint is lost.
	maxMissed = 2
	// moveAfter is how long an endpoint may be silent before answers that have begun go on at others.
	// A sound endpoint may be silent for a second or so and go on with them itself, so that both
	// would work on them; callers leave a stream after two seconds without an event.
	moveAfter = 1500 * time.Millisecond
	// lostProbeInterval is the time between probes of a lost endpoint.
	lostProbeInterval = 300 * time.Millisecond
	// ProbeTimeout is the timeout of a probe. It covers many round trips between the data
	// centres of a region, and the delay of a VM that is short of CPU time.
	ProbeTimeout = 200 * time.Millisecond
)

// Verdict is the result of a probe.
type Verdict int

// Values of Verdict.
const (
	// Alive: the endpoint answered, something was received from it meanwhile, or no request
	// waits there any more.
	Alive Verdict = iota
	// Unsure: the endpoint must be probed again immediately.
	Unsure
	// Lost: the endpoint is lost from now on. Requests without an answer move to others.
	Lost
	// StillLost: the endpoint was lost before and still is.
	StillLost
	// Move: the endpoint has been lost for so long that answers which have begun must go on at others.
	Move
	// Back: the endpoint was lost and responds again.
	Back
)

// endpoint is the state of one address. It exists while requests wait there or the address is
// lost.
type endpoint struct {
	waiting      int       // number of requests
	lastReceived time.Time // when something was last received, or the first waiting request was sent
	probing      bool
	missed       int // failed probes in a row
	lost         bool
	moved        bool      // Move or MoveAll named the endpoint since it was lost
	nextProbe    time.Time // when to probe a lost endpoint again
}

// Detector tracks the endpoints that one VM uses, by address. It is safe for concurrent use.
type Detector struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// New returns a detector without endpoints.
func New() *Detector { return &Detector{endpoints: make(map[string]*endpoint)} }

// RequestSent records that a request was sent to an endpoint and waits for its answer.
func (d *Detector) RequestSent(now time.Time, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.endpoints[address]
	if e == nil {
		e = &endpoint{}
		d.endpoints[address] = e
	}
	if e.waiting == 0 {
		e.lastReceived = now
	}
	e.waiting++
}

// Received records that bytes were received from an endpoint.
func (d *Detector) Received(now time.Time, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.endpoints[address]; e != nil {
		e.lastReceived = now
	}
}

// RequestEnded records that a request no longer waits.
func (d *Detector) RequestEnded(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.endpoints[address]
	if e == nil {
		return
	}
	e.waiting = max(e.waiting-1, 0)
	d.removeIfUnused(address, e)
}

// Forget records that the address no longer belongs to an endpoint.
func (d *Detector) Forget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.endpoints[address]; e != nil {
		e.lost = false
		d.removeIfUnused(address, e)
	}
}

// removeIfUnused deletes an endpoint without waiting requests, probe or loss. The caller holds
// d.mu.
func (d *Detector) removeIfUnused(address string, e *endpoint) {
	if e.waiting == 0 && !e.lost && !e.probing {
		delete(d.endpoints, address)
	}
}

// DueProbes returns the addresses to probe now. The result of each probe must be reported by
// ProbeDone.
func (d *Detector) DueProbes(now time.Time) (out []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, e := range d.endpoints {
		if e.probing {
			continue
		}
		due := e.waiting > 0 && now.Sub(e.lastReceived) >= probeAfter
		if e.lost {
			due = !now.Before(e.nextProbe)
		}
		if due {
			e.probing = true
			out = append(out, address)
		}
	}
	return out
}

// ProbeDone records the result of a probe that started at began. answered says that the endpoint
// accepted or refused the connection. late says that this VM itself was delayed meanwhile, so
// that a missing answer says nothing about the endpoint.
func (d *Detector) ProbeDone(began, now time.Time, address string, answered, late bool) Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.endpoints[address]
	if e == nil {
		return Alive
	}
	switch {
	case answered || e.lastReceived.After(began):
		return d.markAlive(now, address, e)
	case e.lost:
		e.probing = false
		e.nextProbe = now.Add(lostProbeInterval)
		if !e.moved && now.Sub(e.lastReceived) >= moveAfter {
			e.moved = true
			return Move
		}
		return StillLost
	case e.waiting == 0:
		return d.markAlive(now, address, e) // No request waits for the result.
	case late:
		return Unsure
	}
	e.missed++
	if e.missed < maxMissed {
		return Unsure
	}
	e.probing, e.lost, e.moved = false, true, false
	e.nextProbe = now.Add(lostProbeInterval)
	return Lost
}

// MoveAll returns the lost endpoints for which Move wasn't returned, and marks them as if it was. It is
// for a VM that has lost its network paths, which can't hear from any endpoint.
func (d *Detector) MoveAll() (out []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, e := range d.endpoints {
		if e.lost && !e.moved {
			e.moved = true
			out = append(out, address)
		}
	}
	return out
}

// markAlive records a sign of life. The caller holds d.mu.
func (d *Detector) markAlive(now time.Time, address string, e *endpoint) Verdict {
	v := Alive
	if e.lost {
		v = Back
	}
	e.probing, e.lost, e.missed, e.lastReceived = false, false, 0, now
	d.removeIfUnused(address, e)
	return v
}
