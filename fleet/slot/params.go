package slot

import "time"

// Params are the time bounds on which the exact limit depends. All processes use the
// same values.
type Params struct {
	// MaxEvidenceAge is how long a process may use its slots after the start of the read or
	// confirmation that showed the epoch to be current. 30 s allow three reads of the
	// platform. In an outage cold slots remain usable for this time without a
	// confirmation from all other members; with more than maxConfirmMembers members
	// there is no confirmation, so they stop after it.
	MaxEvidenceAge time.Duration
	// Start is how long after a grant its request may still reach the endpoint: half of
	// it to begin sending, half to arrive.
	Start time.Duration
	// MaxJob is the longest time that an endpoint runs a request in cold start. The
	// endpoint enforces it; the router passes it on as the request's time limit.
	MaxJob time.Duration
	// Drift is the largest deviation of a clock's rate from true time, in millionths.
	// 1000 is twice the largest rate at which NTP slews.
	Drift int64
}

// Defaults are the bounds in production.
var Defaults = Params{MaxEvidenceAge: 30 * time.Second, Start: 2 * time.Second, MaxJob: time.Minute, Drift: 1000}

// stretch extends d so that the result, measured by this process's clock, lasts at
// least d by any other process's clock.
func (p Params) stretch(d time.Duration) time.Duration {
	const million = 1_000_000
	// The other clock may be slow while this one is fast: (1+x)/(1-x) < 1+3x for x
	// below a third.
	return d + d*time.Duration(3*p.Drift)/million + 1
}

// Wait is how long a new holder leaves a slot unused when the previous holder does not
// hand it over.
func (p Params) Wait() time.Duration { return p.stretch(p.MaxEvidenceAge + p.Start + p.MaxJob) }

// loanTime is how long a lender counts a lent slot as used.
func (p Params) loanTime() time.Duration { return p.stretch(p.Start + p.MaxJob) }
