package silence

import (
	"sync"
	"time"
)

const (
	// quietFor is how long nothing may come from an endpoint where requests wait before it
	// is asked. A shorter time asks engines that only read a prompt; a longer one leaves less
	// of the caller's time for another endpoint.
	quietFor = 300 * time.Millisecond
	// questions that must stay unanswered in a row.
	questions = 2
	// lostEvery is the time between questions to an endpoint that is lost.
	lostEvery = 300 * time.Millisecond
	// AnswerWithin is how long an endpoint may take to answer a question: many round trips
	// between data centres of a region, and some for a VM that has little processor time.
	AnswerWithin = 200 * time.Millisecond
)

// Verdict is what a question told.
type Verdict int

// The verdicts.
const (
	// Alive: the endpoint answered, or was heard meanwhile.
	Alive Verdict = iota
	// Unsure: it has to be asked once more, at once.
	Unsure
	// Lost: it is lost from now on.
	Lost
	// StillLost: it was lost before, and is.
	StillLost
	// Back: it was lost and is no more.
	Back
)

// endpoint is what is known of one address. It exists while requests wait there or it is
// lost.
type endpoint struct {
	waiting int       // requests
	heard   time.Time // when something last came, or the first of those requests was sent
	asking  bool
	missed  int // questions in a row without an answer
	lost    bool
	next    time.Time // when to ask a lost one
}

// Detector watches the endpoints of one VM, by address. It is safe for concurrent use.
type Detector struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// New returns a detector that watches nothing yet.
func New() *Detector { return &Detector{endpoints: make(map[string]*endpoint)} }

// Sent says that a request went to an endpoint and waits for its answer.
func (d *Detector) Sent(now time.Time, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.endpoints[address]
	if e == nil {
		e = &endpoint{}
		d.endpoints[address] = e
	}
	if e.waiting == 0 {
		e.heard = now
	}
	e.waiting++
}

// Heard says that bytes came from an endpoint.
func (d *Detector) Heard(now time.Time, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.endpoints[address]; e != nil {
		e.heard = now
	}
}

// Ended says that a request waits no more.
func (d *Detector) Ended(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.endpoints[address]
	if e == nil {
		return
	}
	e.waiting = max(e.waiting-1, 0)
	d.drop(address, e)
}

// Forget says that the address belongs to no endpoint any more.
func (d *Detector) Forget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.endpoints[address]; e != nil {
		e.lost = false
		d.drop(address, e)
	}
}

// drop takes out an endpoint of which there is nothing to know. Callers hold d.mu.
func (d *Detector) drop(address string, e *endpoint) {
	if e.waiting == 0 && !e.lost && !e.asking {
		delete(d.endpoints, address)
	}
}

// Due returns the endpoints to be asked now. Each must be followed by Asked.
func (d *Detector) Due(now time.Time) (out []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, e := range d.endpoints {
		if e.asking {
			continue
		}
		due := e.waiting > 0 && now.Sub(e.heard) >= quietFor
		if e.lost {
			due = !now.Before(e.next)
		}
		if due {
			e.asking = true
			out = append(out, address)
		}
	}
	return out
}

// Asked takes what became of a question that was put at began. late says that this VM
// itself was held up meanwhile, so that a missing answer tells nothing.
func (d *Detector) Asked(began, now time.Time, address string, answered, late bool) Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.endpoints[address]
	if e == nil {
		return Alive
	}
	switch {
	case answered || e.heard.After(began):
		return d.alive(now, address, e)
	case e.lost:
		e.asking = false
		e.next = now.Add(lostEvery)
		return StillLost
	case e.waiting == 0:
		return d.alive(now, address, e) // nobody needs to know
	case late:
		return Unsure
	}
	e.missed++
	if e.missed < questions {
		return Unsure
	}
	e.asking, e.lost = false, true
	e.next = now.Add(lostEvery)
	return Lost
}

// alive notes a sign of life. Callers hold d.mu.
func (d *Detector) alive(now time.Time, address string, e *endpoint) Verdict {
	v := Alive
	if e.lost {
		v = Back
	}
	e.asking, e.lost, e.missed, e.heard = false, false, 0, now
	d.drop(address, e)
	return v
}
