package dispatch

import (
	"math"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/policy/limit"
	"goldcrestfork/policy/outlier"
	"goldcrestfork/policy/picker"
	"goldcrestfork/policy/poison"
)

// endpoint is what is known of an endpoint beside the picker's table.
type endpoint struct {
	spec        *config.Endpoint
	pools       []string
	incarnation string
	cold        bool
	// heard is when the words on its state that are in force were read.
	heard time.Time
	// down says that it can't be reached; out that operators keep work from it.
	down, out bool
	running   map[uint64]poison.Fingerprint
	// detected is the detectors' decision in force.
	detected outlier.State
	// answered is when each of its pools last had a good answer from it.
	answered map[string]time.Time
	// share is this VM's part of its warm slots.
	share int
	// granted is the number of its cold slots that this VM holds; until blocked passes
	// no more are asked for, since none was to be had.
	granted int
	blocked time.Time
}

// bounds are this VM's slots of an endpoint. In a data centre that has just come
// back they grow over its ramp: its endpoints have empty caches, and the whole
// load at once would meet them as a burst. In cold start they are the cold slots
// held, and one more while it makes sense to ask for one.
func (d *Dispatcher) bounds(e *endpoint) limit.Bounds {
	now, weight, cold := time.Now(), 1.0, e.granted
	if d.ramping[e.spec.DataCentre] {
		weight = d.centres.Weight(e.spec.DataCentre, now)
	}
	if !now.Before(e.blocked) {
		cold++
	}
	return limit.Bounds{
		Slots: int(math.Ceil(float64(e.share) * weight)),
		Cold:  min(cold, e.spec.ColdSlots),
	}
}

// otherAnswer is how recent another version's good answer must be to clear an
// endpoint: about the time in which a detector sees the failures that condemn it.
const otherAnswer = 5 * time.Second

// apply passes a detector's decision on to the picker. Callers hold d.mu.
func (d *Dispatcher) apply(now time.Time, l *line, c outlier.Change) {
	if c.State == outlier.Ejected && d.cleared(now, l.name, c.Endpoint) {
		d.metrics.ejections.WithLabelValues("cleared").Inc()
		return
	}
	d.metrics.ejections.WithLabelValues(stateNames[c.State]).Inc()
	if e := d.endpoints[c.Endpoint]; e != nil {
		e.detected = c.State
	}
	d.table.Update(c.Endpoint, func(s *picker.State) {
		s.Ejected = c.State == outlier.Ejected
		s.Probation = c.State == outlier.Probation
	})
}

// cleared says that an endpoint which fails one version serves another one well.
// A version that turns bad fails on every endpoint that has it loaded; ejecting
// them would take a third of the good version's endpoints away with it. The bad
// version's own circuit and its roll-out deal with it.
func (d *Dispatcher) cleared(now time.Time, pool, endpoint string) bool {
	e := d.endpoints[endpoint]
	if e == nil {
		return false
	}
	for other, at := range e.answered {
		if other != pool && now.Sub(at) < otherAnswer {
			return true
		}
	}
	return false
}

// setDown keeps work from an endpoint that can't be reached, until it answers the
// question for its state. Callers hold d.mu.
func (d *Dispatcher) setDown(name string, e *endpoint, down bool) {
	if e.down == down {
		return
	}
	e.down = down
	d.table.Update(name, func(s *picker.State) { s.Down = down })
}

// Unreachable tells that an endpoint did not answer the question for its state.
func (d *Dispatcher) Unreachable(endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.endpoints[endpoint]; e != nil {
		e.heard = time.Now()
		d.setDown(endpoint, e, true)
		d.pumpAll(e, time.Now())
	}
}

// setCold changes an endpoint's state of start. Callers hold d.mu.
func (d *Dispatcher) setCold(name string, e *endpoint, cold bool) {
	if e.cold == cold {
		return
	}
	e.cold = cold
	d.table.SetCold(name, cold)
}

// crashed blames an endpoint's crash on what ran there. Callers hold d.mu.
func (d *Dispatcher) crashed(now time.Time, t *Ticket, e *endpoint) {
	suspects := make([]poison.Fingerprint, 0, len(e.running))
	for _, f := range e.running {
		suspects = append(suspects, f)
	}
	others := max(t.picked.Report.InFlight-len(suspects), 0)
	t.line.tracker.Crashed(now, t.Endpoint, suspects, others)
}

// reported takes an endpoint's word on itself. Callers hold d.mu.
func (d *Dispatcher) reported(name string, e *endpoint, r Result) {
	if r.At.Before(e.heard) {
		// A stream's head came when it began. Taken at its end, a head from before the
		// endpoint started anew would call it warm and up again.
		return
	}
	e.heard = r.At
	e.incarnation = r.Incarnation
	d.setDown(name, e, false)
	d.setCold(name, e, r.Cold)
	if r.Running >= 0 {
		d.table.Report(name, picker.Report{InFlight: r.Running, At: r.At})
	}
}

// Reported takes an endpoint's word on itself that came without a request.
func (d *Dispatcher) Reported(endpoint string, r Result) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.endpoints[endpoint]
	if e == nil {
		return
	}
	d.reported(endpoint, e, r)
	d.pumpAll(e, now)
}

// Place is an endpoint and its "ip:port".
type Place struct{ Endpoint, Address string }

// Cold returns the endpoints in cold start of which this VM has slots. Requests may
// be too few to tell when they are warm, so somebody has to ask them.
func (d *Dispatcher) Cold() []Place {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Place
	for name, e := range d.endpoints {
		if e.cold && d.bounds(e).Slots > 0 {
			out = append(out, Place{Endpoint: name, Address: e.spec.Address})
		}
	}
	return out
}
