package slot

import "time"

// Params are the bounds that exactness rests on. All processes use the same.
type Params struct {
	// Evidence is how long a process may use its slots after it asked for the
	// epoch. 30 s: three reads of the platform, and the time that cold slots go
	// on in an outage without a word from all other members (in a fleet of over
	// confirmLimit, at all).
	Evidence time.Duration
	// Start is how long after a grant its request may still reach the endpoint:
	// half of it to begin sending, half to arrive.
	Start time.Duration
	// Job is the longest an endpoint runs a request in cold start. The endpoint
	// enforces it: the router passes it on as the request's time limit.
	Job time.Duration
	// Drift is the greatest difference of a clock's rate from true, in millionths.
	// 1000: twice what NTP slews by at most.
	Drift int64
}

// Defaults are the bounds in use.
var Defaults = Params{Evidence: 30 * time.Second, Start: 2 * time.Second, Job: time.Minute, Drift: 1000}

// stretch makes a time by this process's clock last at least d by any other's.
func (p Params) stretch(d time.Duration) time.Duration {
	const million = 1_000_000
	// A slow clock of the other and a fast one here: (1+x)/(1-x) < 1+3x for x below a third.
	return d + d*time.Duration(3*p.Drift)/million + 1
}

// Wait is how long a gainer leaves a slot alone when its loser does not hand it over.
func (p Params) Wait() time.Duration { return p.stretch(p.Evidence + p.Start + p.Job) }

// loan is how long a lender counts a lent slot as used.
func (p Params) loan() time.Duration { return p.stretch(p.Start + p.Job) }
