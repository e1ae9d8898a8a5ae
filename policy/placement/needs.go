package placement

import (
	"time"

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

func (e *endpoint) isResting(now time.Time) bool { return e.needs != nil && !e.needs.rest.MaySend(now) }
func (e *endpoint) isLeaving() bool              { return e.needs != nil && e.needs.leaving }

// restLeft returns the time for which the endpoint wants nothing from this VM.
func (e *endpoint) restLeft(now time.Time) time.Duration {
	if e.needs == nil {
		return 0
	}
	return e.needs.rest.Left(now)
}
