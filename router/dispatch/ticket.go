package dispatch

import (
	"context"
	"net/http"
	"time"

	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/limit"
	"goldcrestfork/policy/outlier"
	"goldcrestfork/policy/picker"
	"goldcrestfork/router/refusal"
)

// Ticket is the right to send one request to one endpoint once. Exactly one of
// Done and Cancel must be called.
type Ticket struct {
	// Endpoint and Address say where.
	Endpoint string
	Address  string
	// Cold is the endpoint's cold slot that the ticket holds; nil for a warm endpoint.
	Cold ColdSlot

	d       *Dispatcher
	line    *line
	need    *Need
	item    admission.Item
	picked  *picker.Endpoint
	request *picker.Request
	start   time.Time
	cold    bool
}

// Acquire waits for an endpoint. It returns a refusal that is final: queued
// requests that can't be done by their deadline are told so at once, with when to
// come back.
func (d *Dispatcher) Acquire(ctx context.Context, n *Need) (*Ticket, *refusal.Refusal) {
	now := time.Now()
	w := &waiter{need: n, done: make(chan grant, 1)}
	it := admission.Item{
		ID:       d.nextID.Add(1),
		Value:    w,
		Account:  n.Account.Name,
		Weight:   weightOf(n.Account),
		Class:    n.Class,
		Deadline: n.Deadline,
		Size:     n.Size,
	}
	l, bad := d.offer(now, n, it)
	if bad != nil {
		return nil, bad
	}
	for {
		select {
		case g := <-w.done:
			if g.ticket == nil || !g.ticket.cold || d.takeCold(ctx, g.ticket) {
				return g.ticket, g.refusal
			}
			// No cold slot was to be had; the request waits at its place.
			g.ticket.putBack()
			continue
		case <-ctx.Done():
		}
		break
	}
	if !l.queue.Remove(it) {
		// It was granted or refused at the same moment; a granted slot goes back.
		if g := <-w.done; g.ticket != nil {
			g.ticket.Cancel()
		}
	}
	return nil, refusal.New(http.StatusGatewayTimeout, refusal.DeadlineTooShort, "the request ended while it waited")
}

// pick chooses the endpoint and takes its slots. Callers hold d.mu.
func (d *Dispatcher) pick(l *line, now time.Time, n *Need, it admission.Item) (*Ticket, picker.Miss) {
	r := &picker.Request{
		Pool:    n.Pool,
		Prefix:  n.Prefix,
		Exclude: n.tried,
		Only:    n.Only,
		Probe:   n.Idempotent,
		Suspect: l.tracker.Suspect(now, n.Fingerprint),
	}
	p, miss := d.table.Pick(now, d.rng, r)
	if p == nil {
		return nil, miss
	}
	e := d.endpoints[p.Name]
	t := &Ticket{
		Endpoint: p.Name, Address: e.spec.Address, cold: e.cold,
		d: d, line: l, need: n, item: it, picked: p, request: r, start: now,
	}
	e.running[it.ID] = n.Fingerprint
	n.made++
	if !n.paid {
		// Refused requests pay nothing in: in an overload they would fill the budget
		// for retries that the endpoints have no room for.
		n.paid = true
		l.budget.First(it.Account, n.Size)
	}
	return t, picker.Picked
}

// Cancel gives a ticket back that was not used.
func (t *Ticket) Cancel() { t.release(Result{Running: -1}, false) }

// Done gives a ticket back with what the attempt told.
func (t *Ticket) Done(r Result) { t.release(r, true) }

func (t *Ticket) release(r Result, used bool) {
	d := t.d
	now := time.Now()
	if t.Cold != nil {
		t.Cold.Release(r.Ended || !used)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	took := now.Sub(t.start)
	bad := r.Failed || r.Crashed || r.Unreached || r.Abandoned
	size := t.need.Size
	if r.Work > 0 {
		// By what the answer took, not by what was expected of it: a short answer to a
		// request with a high bound is no sign of a fast endpoint.
		size = r.Work
	}
	d.table.Done(now, t.picked, t.request, limit.Sample{
		Latency: took, Size: size, Refused: r.Refused, Failed: bad || !used,
	})
	elapsed := took
	if bad || r.Refused || !used {
		elapsed = 0
	}
	t.line.queue.Done(now, t.item, elapsed, r.Work)
	if used {
		t.learn(now, r)
	}
	if e := d.endpoints[t.Endpoint]; e != nil {
		delete(e.running, t.item.ID)
		if t.Cold != nil {
			e.granted--
			d.table.SetBounds(t.Endpoint, d.bounds(e))
		}
		d.pumpAll(e, now)
	}
}

// Result is what an attempt tells about its endpoint.
type Result struct {
	// Failed: the endpoint did not give the answer it should have.
	Failed bool
	// Refused: the endpoint said it was full.
	Refused bool
	// Crashed: the connection broke in a way that a crash of the endpoint explains.
	Crashed bool
	// Unreached: the connect failed.
	Unreached bool
	// Abandoned: the caller left or its deadline passed before the end, which tells
	// nothing of the endpoint either way.
	Abandoned bool
	// Incarnation and Cold are the endpoint's own words, when Reported.
	Reported    bool
	Incarnation string
	Cold        bool
	// Running is the endpoint's number of requests; -1 when it didn't say.
	Running int
	// At is when these words were read.
	At time.Time
	// Ended: the endpoint certainly runs the request no more.
	Ended bool
	// Work is what the request took, 0 if not known.
	Work float64
}

// learn passes on what an attempt told about its endpoint. Callers hold d.mu.
func (t *Ticket) learn(now time.Time, r Result) {
	d, e := t.d, t.d.endpoints[t.Endpoint]
	if e == nil {
		return
	}
	if r.Reported {
		d.reported(t.Endpoint, e, r)
	}
	if r.Abandoned {
		return
	}
	if !r.Refused {
		bad := r.Failed || r.Crashed || r.Unreached
		c, changed := t.line.detector.Record(now, outlier.Result{Endpoint: t.Endpoint, Failed: bad})
		if changed {
			d.apply(now, t.line, c)
		}
	}
	if r.Crashed {
		d.crashed(now, t, e)
	} else if !r.Failed && !r.Refused && !r.Unreached {
		e.answered[t.line.name] = now
		t.line.tracker.Survived(t.need.Fingerprint)
	}
	if (r.Crashed || r.Unreached) && e.spec.Service == "" {
		// What comes back on this address has started anew: until it says otherwise
		// it bears no more than an endpoint in cold start.
		e.heard = now
		d.setCold(t.Endpoint, e, true)
	}
	if r.Unreached && e.spec.Service == "" {
		d.setDown(t.Endpoint, e, true)
	}
}
