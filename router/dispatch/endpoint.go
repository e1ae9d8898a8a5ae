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

// endpoint is the state of an endpoint that the picker's table does not hold.
type endpoint struct {
	spec        *config.Endpoint
	pools       []string
	incarnation string
	cold        bool
	// reportedAt is when the report on the endpoint's state that is in force was read.
	reportedAt time.Time
	// down is set while the endpoint can't be reached; outOfService is set while
	// operators keep work from it, because it or its data centre is being taken out.
	down, outOfService bool
	running            map[uint64]*Need
	// detected is the outlier detector's decision in force.
	detected outlier.State
	// lastSuccess is, by pool, the time of the last successful answer of the endpoint.
	lastSuccess map[string]time.Time
	// share is the number of the endpoint's warm slots that are assigned to this VM.
	share int
	// coldHeld is the number of the endpoint's cold slots that this VM holds. No more
	// are requested until coldBlockedUntil, since the last request for one failed.
	coldHeld         int
	coldBlockedUntil time.Time
}

// bounds returns this VM's slots of an endpoint. In a data centre that has just returned
// to service the warm slots grow gradually: its endpoints have empty caches, and the
// whole load at once would reach them as a burst. The bound in cold start is the number
// of cold slots held, plus one unless requests for cold slots are blocked.
func (d *Dispatcher) bounds(e *endpoint) limit.Bounds {
	now, weight, cold := time.Now(), 1.0, e.coldHeld
	if d.ramping[e.spec.DataCentre] {
		weight = d.centres.Weight(e.spec.DataCentre, now)
	}
	if !now.Before(e.coldBlockedUntil) {
		cold++
	}
	return limit.Bounds{
		Slots: int(math.Ceil(float64(e.share) * weight)),
		Cold:  min(cold, e.spec.ColdSlots),
	}
}

// otherPoolWindow is how recent another pool's successful answer must be to keep an
// endpoint from being ejected. It is about the time in which a detector observes the
// failures that lead to an ejection.
const otherPoolWindow = 5 * time.Second

// applyDetection applies a detector's decision to the picker's table, unless the
// decision is an ejection and servesOtherPool returns true. Callers hold d.mu.
func (d *Dispatcher) applyDetection(now time.Time, ps *poolState, c outlier.Change) {
	if c.State == outlier.Ejected && d.servesOtherPool(now, ps.name, c.Endpoint) {
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

// servesOtherPool reports whether an endpoint that fails in one pool recently gave a
// successful answer in another one. A version that turns bad fails on every endpoint that
// has it loaded; ejecting these would also remove a third of the good version's endpoints.
// The bad version's own circuit breaker and its roll-out handle that version instead.
func (d *Dispatcher) servesOtherPool(now time.Time, pool, endpoint string) bool {
	e := d.endpoints[endpoint]
	if e == nil {
		return false
	}
	for other, at := range e.lastSuccess {
		if other != pool && now.Sub(at) < otherPoolWindow {
			return true
		}
	}
	return false
}

// setDown keeps work from an endpoint that can't be reached until it answers a state
// query. Callers hold d.mu.
func (d *Dispatcher) setDown(name string, e *endpoint, down bool) {
	if e.down == down {
		return
	}
	e.down = down
	d.table.Update(name, func(s *picker.State) { s.Down = down })
}

// MarkUnreachable records that an endpoint did not answer a state query.
func (d *Dispatcher) MarkUnreachable(endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.endpoints[endpoint]; e != nil {
		e.reportedAt = time.Now()
		d.setDown(endpoint, e, true)
		d.refreshPools(e, time.Now())
	}
}

// setCold records whether an endpoint is in cold start. Callers hold d.mu.
func (d *Dispatcher) setCold(name string, e *endpoint, cold bool) {
	if e.cold == cold {
		return
	}
	e.cold = cold
	d.table.SetCold(name, cold)
}

// recordCrash blames an endpoint's crash on the requests that were in flight there.
// Callers hold d.mu.
func (d *Dispatcher) recordCrash(now time.Time, t *Ticket, e *endpoint) {
	suspects := make([]poison.Fingerprint, 0, len(e.running))
	for _, n := range e.running {
		suspects = append(suspects, n.Fingerprint)
	}
	others := max(t.picked.Report.InFlight-len(suspects), 0)
	t.pool.tracker.RecordCrash(now, t.Endpoint, suspects, others)
	for _, n := range e.running {
		if len(n.Parts) > 0 {
			t.pool.tracker.RecordParts(now, t.Endpoint, n.Fingerprint, n.Parts)
		}
	}
}

// applyReport applies an endpoint's report on its own state. Callers hold d.mu.
func (d *Dispatcher) applyReport(name string, e *endpoint, r Result) {
	if r.ReadAt.Before(e.reportedAt) {
		// A stream's result carries the report from the stream's beginning. A report from
		// before a restart would mark the endpoint as warm and reachable again.
		return
	}
	e.reportedAt = r.ReadAt
	e.incarnation = r.Incarnation
	d.setDown(name, e, false)
	d.setCold(name, e, r.Cold)
	if r.Running >= 0 {
		d.table.ApplyLoadReport(name, picker.LoadReport{InFlight: r.Running, At: r.ReadAt})
	}
}

// ApplyReport applies an endpoint's report on its own state that came without a request. A
// report older than the one in force is ignored.
func (d *Dispatcher) ApplyReport(endpoint string, r Result) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.endpoints[endpoint]
	if e == nil {
		return
	}
	d.applyReport(endpoint, e, r)
	d.refreshPools(e, now)
}

// EndpointAddress is an endpoint and its "ip:port".
type EndpointAddress struct{ Endpoint, Address string }

// ColdEndpoints returns the endpoints in cold start of which this VM has slots. Their
// state must be queried, since there may be too few requests to show when they are warm.
func (d *Dispatcher) ColdEndpoints() []EndpointAddress {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []EndpointAddress
	for name, e := range d.endpoints {
		if e.cold && d.bounds(e).Slots > 0 {
			out = append(out, EndpointAddress{Endpoint: name, Address: e.spec.Address})
		}
	}
	return out
}
