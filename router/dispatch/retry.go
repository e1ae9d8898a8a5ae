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
	// Done is the work that the caller has already, in the need's units.
	Done float64
	// NotSent: no byte left; another endpoint may be tried at no cost to anyone.
	NotSent bool
	// Cold: no byte left, since the endpoint turned out to be in cold start; it may
	// be tried again with one of its cold slots.
	Cold bool
}

// resumeShare is the extra work of a resumed stream, as a share of the tokens that
// its caller has: the next endpoint reads them again as a prompt. Estimated: engines
// read prompts at least ten times as fast as they generate.
const resumeShare = 0.1

// extra is the work that another attempt adds. What is left of a cut stream was to
// be done anyway; charged whole, the streams of an engine that died used up the
// budget of a young VM, and their callers asked for everything again.
func extra(n *Need, f Failure) float64 {
	if f.Done == 0 {
		return n.Size
	}
	return max(resumeShare*f.Done, 1)
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
		Size:       extra(n, f),
		Deadline:   n.Deadline,
	})
	d.metrics.retries.WithLabelValues(string(v.Reason)).Inc()
	return v.After, v.Again
}
