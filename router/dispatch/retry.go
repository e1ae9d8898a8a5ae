package dispatch

import (
	"time"

	"goldcrestfork/policy/retry"
)

// Failure says what an attempt without an answer allows next.
type Failure struct {
	// NotRun: the attempt certainly did not run, so that any request may try again.
	NotRun bool
	// Resumable: the endpoint may still hold the stream, so that it may be tried once more.
	Resumable bool
	// Done is the work that the caller has already, in the need's units: a resumed
	// stream costs what is left.
	Done float64
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
		Size:       max(n.Size-f.Done, 1),
		Deadline:   n.Deadline,
	})
	d.metrics.retries.WithLabelValues(string(v.Reason)).Inc()
	return v.After, v.Again
}
