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

// Ticket is the permission to send one request to one endpoint once. Exactly one of Done
// and Cancel must be called.
type Ticket struct {
	// Endpoint is the name of the endpoint; Address is its "ip:port".
	Endpoint string
	Address  string
	// Cold is the endpoint's cold slot that the ticket holds; nil for a warm endpoint.
	Cold ColdSlot

	d       *Dispatcher
	pool    *poolState
	need    *Need
	item    admission.Item
	picked  *picker.Endpoint
	request *picker.Request
	start   time.Time
	cold    bool
}

// Acquire waits for an endpoint. A refusal that it returns is final. A queued request
// that can't be completed by its deadline is refused at once, with the delay after which
// a retry helps.
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
	ps, bad := d.enqueue(now, n, it)
	if bad != nil {
		return nil, bad
	}
	for {
		select {
		case g := <-w.done:
			if g.ticket == nil || !g.ticket.cold || d.takeCold(ctx, g.ticket) {
				return g.ticket, g.refusal
			}
			// No cold slot was available; the request keeps its place in the queue.
			g.ticket.requeue()
			continue
		case <-ctx.Done():
		}
		break
	}
	if !ps.queue.Remove(it) {
		// The request was granted or refused at the same moment; a granted slot is
		// returned.
		if g := <-w.done; g.ticket != nil {
			g.ticket.Cancel()
		}
	}
	return nil, refusal.New(http.StatusGatewayTimeout, refusal.DeadlineTooShort, "the request ended while it waited")
}

// pick chooses the endpoint and takes its slots. Callers hold d.mu.
func (d *Dispatcher) pick(ps *poolState, now time.Time, n *Need, it admission.Item) (*Ticket, picker.NoChoiceReason) {
	r := &picker.Request{
		Pool:    n.Pool,
		Prefix:  n.Prefix,
		Exclude: n.tried,
		Only:    n.OnlyEndpoint,
		Probe:   n.Idempotent,
		Suspect: ps.tracker.IsSuspect(now, n.Fingerprint),
	}
	p, miss := d.table.Pick(now, d.rng, r)
	if p == nil {
		return nil, miss
	}
	e := d.endpoints[p.Name]
	t := &Ticket{
		Endpoint: p.Name, Address: e.spec.Address, cold: e.cold,
		d: d, pool: ps, need: n, item: it, picked: p, request: r, start: now,
	}
	e.running[it.ID] = n
	n.attempts++
	if !n.counted {
		// Only started requests add to the retry budget: in an overload, refused ones
		// would fill it with retries for which the endpoints have no capacity.
		n.counted = true
		ps.budget.RecordFirst(it.Account, n.Size)
	}
	return t, picker.Picked
}

// Cancel returns a ticket that was not used.
func (t *Ticket) Cancel() { t.release(Result{Running: -1}, false) }

// Done returns a ticket with the result of its attempt.
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
		// The sample uses the work that the answer took, not the expected work: a short
		// answer to a request with a high max_tokens does not indicate a fast endpoint.
		size = r.Work
	}
	d.table.Release(now, t.picked, t.request, limit.Sample{
		Latency: took, Size: size, Refused: r.Refused, Failed: bad || !used,
	})
	elapsed := took
	if bad || r.Refused || !used {
		elapsed = 0
	}
	t.pool.queue.Release(now, t.item, elapsed, r.Work)
	if used {
		t.recordResult(now, r)
	}
	if e := d.endpoints[t.Endpoint]; e != nil {
		delete(e.running, t.item.ID)
		if t.Cold != nil {
			e.coldHeld--
			d.table.SetBounds(t.Endpoint, d.bounds(e))
		}
		d.refreshPools(e, now)
	}
}

// Result is what an attempt shows about its endpoint.
type Result struct {
	// Failed is set if the endpoint did not give the answer that it should have.
	Failed bool
	// Refused is set if the endpoint reported that it is at capacity.
	Refused bool
	// Crashed is set if the connection broke in a way that a crash of the endpoint
	// explains.
	Crashed bool
	// Unreached is set if the connection could not be made.
	Unreached bool
	// Abandoned is set if the caller disconnected or its deadline passed before the end,
	// which shows nothing about the endpoint.
	Abandoned bool
	// Incarnation and Cold are the endpoint's own report; they are valid if Reported is
	// set.
	Reported    bool
	Incarnation string
	Cold        bool
	// Running is the endpoint's number of running requests; -1 if it was not reported.
	Running int
	// ReadAt is when the report was read.
	ReadAt time.Time
	// Ended is set if the endpoint certainly no longer runs the request.
	Ended bool
	// Work is the work that the request took, in the units of Need.Size; 0 if unknown.
	Work float64
}

// recordResult updates the endpoint's state and the pool's statistics with the result of
// an attempt. Callers hold d.mu.
func (t *Ticket) recordResult(now time.Time, r Result) {
	d, e := t.d, t.d.endpoints[t.Endpoint]
	if e == nil {
		return
	}
	if r.Reported {
		d.applyReport(t.Endpoint, e, r)
	}
	if r.Abandoned {
		return
	}
	if !r.Refused {
		bad := r.Failed || r.Crashed || r.Unreached
		c, changed := t.pool.detector.Record(now, outlier.Result{Endpoint: t.Endpoint, Failed: bad})
		if changed {
			d.applyDetection(now, t.pool, c)
		}
	}
	if r.Crashed {
		d.recordCrash(now, t, e)
	} else if !r.Failed && !r.Refused && !r.Unreached {
		e.lastSuccess[t.pool.name] = now
		t.pool.tracker.RecordSuccess(t.need.Fingerprint)
		if len(t.need.Parts) > 0 {
			t.pool.tracker.RecordAnswer(now, t.start, t.need.Parts)
		}
	}
	if (r.Crashed || r.Unreached) && e.spec.Service == "" {
		// The process that next answers on this address is a new one. Until it reports
		// its state it gets no more than an endpoint in cold start.
		e.reportedAt = now
		d.setCold(t.Endpoint, e, true)
	}
	if r.Unreached && e.spec.Service == "" {
		d.setDown(t.Endpoint, e, true)
	}
}
