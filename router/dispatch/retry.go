package dispatch

import (
	"time"

	"goldcrestfork/policy/retry"
)

// Failure describes an attempt without an answer, which decides what may be done next.
type Failure struct {
	// NotRun is set if the endpoint certainly did not run the attempt, so that any
	// request may be retried.
	NotRun bool
	// Resumable is set if the endpoint may still hold the stream, so that it may be
	// tried once more.
	Resumable bool
	// DoneWork is the work that the caller has already received, in the units of
	// Need.Size.
	DoneWork float64
	// NotSent is set if no byte was sent; trying another endpoint adds no work anywhere.
	NotSent bool
	// Cold is set if no byte was sent because the endpoint turned out to be in cold
	// start. The endpoint may be tried again with one of its cold slots.
	Cold bool
}

// resumeWorkShare is the extra work of a resumed stream as a share of the tokens that
// its caller has: the next endpoint reads them again as a prompt. Engines read prompts
// at least ten times as fast as they generate.
const resumeWorkShare = 0.1

// extraWork returns the work that another attempt adds. The rest of a cut stream had to
// be generated anyway. Charging it in full let the streams of one failed engine exhaust
// the retry budget of a VM that had just started, after which their callers sent the
// whole requests again.
func extraWork(n *Need, f Failure) float64 {
	if f.DoneWork == 0 {
		return n.Size
	}
	return max(resumeWorkShare*f.DoneWork, 1)
}

// DecideRetry reports whether a request is attempted again, and after which delay.
func (d *Dispatcher) DecideRetry(n *Need, t *Ticket, f Failure) (time.Duration, bool) {
	if f.Cold || f.NotSent {
		// The budget limits extra work of endpoints, and this attempt caused none. When
		// a pool restarts or part of it fails, nearly every request fails this way once;
		// a budget of a tenth would refuse most of them although endpoints are free.
		n.attempts--
		if f.NotSent {
			n.tried = append(n.tried, t.Endpoint)
		}
		return 0, time.Now().Before(n.Deadline)
	}
	// A cut stream is cheapest to resume at the endpoint that holds its cache; a second
	// failure there indicates that the endpoint is at fault.
	if f.Resumable && n.resumedOn != t.Endpoint {
		n.resumedOn = t.Endpoint
	} else {
		n.tried = append(n.tried, t.Endpoint)
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	v := t.pool.budget.Decide(now, d.rng, retry.Attempt{
		Account:    n.Account.Name,
		Idempotent: n.Idempotent || f.NotRun,
		Made:       n.attempts,
		Size:       extraWork(n, f),
		Deadline:   n.Deadline,
	})
	d.metrics.retries.WithLabelValues(string(v.Reason)).Inc()
	return v.After, v.Again
}
