package dispatch

import (
	"context"
	"net/http"
	"time"

	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/limit"
	"goldcrestfork/policy/outlier"
	"goldcrestfork/policy/picker"
	"goldcrestfork/policy/poison"
	"goldcrestfork/policy/retry"
	"goldcrestfork/router/refusal"
)

// waiter is a request in a queue; its channel takes exactly one grant, without blocking.
type waiter struct {
	need *Need
	done chan grant
}

// grant is a ticket or a final refusal.
type grant struct {
	ticket  *Ticket
	refusal *refusal.Refusal
}

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
	l, bad := d.offer(now, n, it, w)
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

// offer puts a request into its queue, or refuses it.
func (d *Dispatcher) offer(now time.Time, n *Need, it admission.Item, w *waiter) (*line, *refusal.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lines[n.Pool]
	if l == nil {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint serves %s", n.Pool)
	}
	if l.tracker.Quarantined(now, n.Fingerprint) {
		d.metrics.quarantined.Inc()
		return nil, refusal.New(http.StatusUnprocessableEntity, refusal.Quarantined, "this request crashed the endpoints that ran it")
	}
	if l.detector.Broken(now) {
		return nil, d.refusal(admission.ReasonBroken, l.queue.RetryAfter(now, it, admission.ReasonBroken))
	}
	v := l.queue.Offer(now, it)
	switch v.Outcome {
	case admission.Refused:
		return nil, d.refusal(v.Reason, v.RetryAfter)
	case admission.Run:
		d.run(l, now, it, w)
	}
	d.answerRefused(l, now)
	return l, nil
}

// run gives an item that holds a slot its endpoint, or queues it again. Callers hold d.mu.
func (d *Dispatcher) run(l *line, now time.Time, it admission.Item, w *waiter) {
	t, miss := d.pick(l, now, w.need, it)
	if t != nil {
		w.done <- grant{ticket: t}
		return
	}
	if bad := d.missed(l, w.need, miss); bad != nil {
		l.queue.Done(now, it, 0, 0)
		w.done <- grant{refusal: bad}
		return
	}
	l.queue.PutBack(now, it)
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

// coldRetry is how long no cold slot of an endpoint is asked for after none was to
// be had. Grounds: a cold engine runs its few requests for a second or more, so that
// asking sooner finds them still running; a fifth of that loses little.
const coldRetry = 200 * time.Millisecond

// takeCold gets the cold slot that a ticket needs. It may ask other VMs, so that no
// lock is held.
func (d *Dispatcher) takeCold(ctx context.Context, t *Ticket) bool {
	d.mu.Lock()
	e := d.endpoints[t.Endpoint]
	limit := 0
	if e != nil {
		limit = e.spec.ColdSlots
	}
	d.mu.Unlock()
	slot, ok := d.cfg.Slots.TakeCold(ctx, t.Endpoint, limit)
	d.mu.Lock()
	defer d.mu.Unlock()
	if e = d.endpoints[t.Endpoint]; e == nil {
		if ok {
			slot.Release(true)
		}
		return false
	}
	if ok {
		t.Cold = slot
		e.granted++
	} else {
		e.blocked = time.Now().Add(coldRetry)
	}
	d.table.SetBounds(t.Endpoint, d.bounds(e))
	d.pumpAll(e, time.Now())
	return ok
}

// unblock lets cold slots be asked for again. Callers hold d.mu.
func (d *Dispatcher) unblock(now time.Time) {
	for name, e := range d.endpoints {
		if e.cold && !e.blocked.IsZero() && !now.Before(e.blocked) {
			e.blocked = time.Time{}
			d.table.SetBounds(name, d.bounds(e))
		}
	}
}

// pumpAll starts what fits in the pools of an endpoint. Callers hold d.mu.
func (d *Dispatcher) pumpAll(e *endpoint, now time.Time) {
	for _, pool := range e.pools {
		if l := d.lines[pool]; l != nil {
			d.refresh(l, now)
		}
	}
}

// putBack gives a ticket back whose request goes on waiting.
func (t *Ticket) putBack() {
	d, now := t.d, time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Done(now, t.picked, t.request, limit.Sample{Failed: true})
	if e := d.endpoints[t.Endpoint]; e != nil {
		delete(e.running, t.item.ID)
	}
	t.need.made--
	t.line.queue.PutBack(now, t.item)
	d.refresh(t.line, now)
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
	// Incarnation and Cold are the endpoint's own words, when Reported.
	Reported    bool
	Incarnation string
	Cold        bool
	// Running is the endpoint's number of requests; -1 when it didn't say.
	Running int
	// Ended: the endpoint certainly runs the request no more.
	Ended bool
	// Work is what the request took, 0 if not known.
	Work float64
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
	bad := r.Failed || r.Crashed || r.Unreached
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
		t.learn(now, r, took)
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

// learn passes on what an attempt told about its endpoint. Callers hold d.mu.
func (t *Ticket) learn(now time.Time, r Result, took time.Duration) {
	d, e := t.d, t.d.endpoints[t.Endpoint]
	if e == nil {
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
	if r.Reported {
		d.reported(now, t.Endpoint, e, r)
	}
	if (r.Crashed || r.Unreached) && e.spec.Service == "" {
		// What comes back on this address has started anew: until it says otherwise
		// it bears no more than an endpoint in cold start.
		d.setCold(t.Endpoint, e, true)
	}
	if r.Unreached && e.spec.Service == "" {
		d.setDown(t.Endpoint, e, true)
	}
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
		d.setDown(endpoint, e, true)
		d.pumpAll(e, time.Now())
	}
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
func (d *Dispatcher) reported(now time.Time, name string, e *endpoint, r Result) {
	e.incarnation = r.Incarnation
	d.setDown(name, e, false)
	d.setCold(name, e, r.Cold)
	if r.Running >= 0 {
		d.table.Report(name, picker.Report{InFlight: r.Running, At: now})
	}
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

// Reported takes an endpoint's word on itself that came without a request.
func (d *Dispatcher) Reported(endpoint string, r Result) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.endpoints[endpoint]
	if e == nil {
		return
	}
	d.reported(now, endpoint, e, r)
	d.pumpAll(e, now)
}

// setCold changes an endpoint's state of start. Callers hold d.mu.
func (d *Dispatcher) setCold(name string, e *endpoint, cold bool) {
	if e.cold == cold {
		return
	}
	e.cold = cold
	d.table.SetCold(name, cold)
}

// Failure says what an attempt without an answer allows next.
type Failure struct {
	// NotRun: the attempt certainly did not run, so that any request may try again.
	NotRun bool
	// Resumable: the endpoint may still hold the stream, so that it may be tried once more.
	Resumable bool
	// NotSent: no byte left; another endpoint may be tried at no cost to anyone.
	NotSent bool
	// Cold: no byte left, since the endpoint turned out to be in cold start; it may
	// be tried again with one of its cold slots.
	Cold bool
}

// Again decides whether a request is attempted again, and after how long.
func (d *Dispatcher) Again(n *Need, t *Ticket, f Failure) (time.Duration, bool) {
	if f.Cold || f.NotSent {
		// The budget is for extra work of endpoints, and there was none. When a pool
		// starts anew, or part of it dies, nearly every request meets this once;
		// a budget of a tenth would refuse the others although endpoints are free.
		n.made--
		if f.NotSent {
			n.tried = append(n.tried, t.Endpoint)
		}
		return 0, time.Now().Before(n.Deadline)
	}
	// A cut stream is cheapest to resume where its cache is; a second failure there
	// says that the endpoint is at fault.
	if f.Resumable && n.resumed != t.Endpoint {
		n.resumed = t.Endpoint
	} else {
		n.tried = append(n.tried, t.Endpoint)
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	v := t.line.budget.Decide(now, d.rng, retry.Attempt{
		Account:    n.Account.Name,
		Idempotent: n.Idempotent || f.NotRun,
		Made:       n.made,
		Size:       n.Size,
		Deadline:   n.Deadline,
	})
	d.metrics.retries.WithLabelValues(string(v.Reason)).Inc()
	return v.After, v.Again
}
