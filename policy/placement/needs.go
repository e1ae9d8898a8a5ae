package placement

import (
	"time"

	"goldcrestfork/policy/brittle"
	"goldcrestfork/policy/rest"
)

// incarnation identifies one start of an endpoint, also across the removal of its entry and its
// return.
type incarnation struct {
	id        string
	startedAt int64
}

// needs is what one incarnation of an endpoint asked this VM for in its answers.
type needs struct {
	rest    rest.State
	leaving bool // it gets no new requests
	brittle brittle.State
}

// maxNeeds bounds the incarnations whose needs are remembered beside those in the table.
const maxNeeds = 4096

// needsOf returns the needs of an endpoint for a change.
func (t *Table) needsOf(e *endpoint) *needs {
	if e.needs == nil {
		if len(t.needs) >= maxNeeds {
			t.forgetNeeds()
		}
		e.needs = &needs{}
		t.needs[incarnation{e.ID, e.StartedAt}] = e.needs
	}
	return e.needs
}

// forgetNeeds forgets the needs of endpoints that aren't in the table.
func (t *Table) forgetNeeds() {
	for i := range t.needs {
		if e := t.endpoints[i.id]; e == nil || e.StartedAt != i.startedAt {
			delete(t.needs, i)
		}
	}
}

// AskRest records that an endpoint wants no request from this VM for a time. It reports whether it
// asked for longer than before.
func (t *Table) AskRest(now time.Time, id string, length time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	return e != nil && t.needsOf(e).rest.Ask(now, length)
}

// MarkLeaving records that an endpoint said that it leaves. It reports whether that is new.
func (t *Table) MarkLeaving(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || e.isLeaving() {
		return false
	}
	t.needsOf(e).leaving = true
	return true
}

// SetBrittle records that an endpoint stated how many requests it can turn away in a second. Until the
// others of its service state something themselves the same holds for them. It reports whether that is
// new. vms is the number of VMs that share the endpoints.
func (t *Table) SetBrittle(now time.Time, id string, bound, vms int) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || !t.needsOf(e).brittle.Stated(now, bound, e.Slots, vms) {
		return false
	}
	for _, other := range t.services[e.Service].list {
		if _, stated := t.needsOf(other).brittle.Bound(); !stated {
			other.needs.brittle.Stated(now, bound, other.Slots, vms)
		}
	}
	return true
}

// EndBrittle records that an endpoint answered a request sent at sentAt without such a statement. It
// reports whether one ended.
func (t *Table) EndBrittle(id string, sentAt time.Time) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	return e != nil && e.needs != nil && e.needs.brittle.NotStated(sentAt)
}

// ReportLoad records the number of requests that run or wait at an endpoint, as it reported.
func (t *Table) ReportLoad(now time.Time, id string, inFlight int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil && e.isBrittle() {
		e.needs.brittle.Reported(now, inFlight)
	}
}

func (e *endpoint) isBrittle() bool {
	if e.needs == nil {
		return false
	}
	_, stated := e.needs.brittle.Bound()
	return stated
}

// hasRoom reports whether the endpoint can take a request, as far as it says that it is brittle.
func (e *endpoint) hasRoom(now time.Time) bool {
	return e.needs == nil || e.needs.brittle.MaySend(now, e.requests)
}

func (e *endpoint) isResting(now time.Time) bool { return e.needs != nil && !e.needs.rest.MaySend(now) }
func (e *endpoint) isLeaving() bool              { return e.needs != nil && e.needs.leaving }

// restLeft returns the time for which the endpoint wants nothing from this VM.
func (e *endpoint) restLeft(now time.Time) time.Duration {
	if e.needs == nil {
		return 0
	}
	return e.needs.rest.Left(now)
}
