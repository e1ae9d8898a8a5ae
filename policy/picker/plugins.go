package picker

import (
	"math"
	"slices"
	"time"
)

// Request describes a request to filters and scorers.
type Request struct {
	// Pool is the name of the model version or service.
	Pool string
	// Prefix holds the hashes of the prompt's leading blocks, the longest last; each hash
	// covers all blocks before it. It is empty for a service without prompts.
	Prefix []uint64
	// Exclude holds the names of the endpoints already tried.
	Exclude []string
	// Only is the name of the endpoint that holds the stream to resume, which is then the
	// only one allowed. It is empty for any endpoint.
	Only string
	// Probe means that the request may run on an endpoint on probation: it may be
	// repeated, and its deadline leaves time for that.
	Probe bool
	// Suspect means that the request was in flight at a crash (see policy/poison).
	Suspect bool
}

// StateFilter decides by the state of an endpoint alone. It runs when the state changes.
type StateFilter interface {
	// Eligible reports whether the endpoint may get new work.
	Eligible(e *Endpoint) bool
}

// RequestFilter decides for one request. It runs for each candidate.
type RequestFilter interface {
	// Allow reports whether the request may run on the endpoint.
	Allow(r *Request, e *Endpoint) bool
}

// Scorer rates a candidate from 0 to 1; higher is better.
type Scorer interface {
	// Score returns the rating of the candidate for the request.
	Score(now time.Time, r *Request, c Candidate) float64
}

// Candidate is an endpoint with the result of the prefix index for this request.
type Candidate struct {
	*Endpoint
	// Hit is the share of the request's prefix, 0..1, that the endpoint likely holds.
	Hit float64
}

// TakesWork is the filter for the states that operators and detectors set: leaving, data
// centre out, ejected and down.
type TakesWork struct{}

// Eligible implements StateFilter.
func (TakesWork) Eligible(e *Endpoint) bool {
	s := e.State
	return !s.Leaving && !s.DataCentreOut && !s.Ejected && !s.Down
}

// HasFreeCapacity is the filter that excludes endpoints at capacity.
type HasFreeCapacity struct{}

// Eligible implements StateFilter.
func (HasFreeCapacity) Eligible(e *Endpoint) bool { return e.InFlight() < e.Limit() }

// NotTried excludes endpoints that a retry has already tried, and restricts a resumed
// stream to the endpoint that holds it.
type NotTried struct{}

// Allow implements RequestFilter.
func (NotTried) Allow(r *Request, e *Endpoint) bool {
	return (r.Only == "" || r.Only == e.Name) && !slices.Contains(r.Exclude, e.Name)
}

// ProbesOnly excludes endpoints on probation for requests that could not be repeated in
// time if the endpoint fails again.
type ProbesOnly struct{}

// Allow implements RequestFilter.
func (ProbesOnly) Allow(r *Request, e *Endpoint) bool { return r.Probe || !e.State.Probation }

// SeparateSuspects excludes endpoints where another suspect runs from suspect requests,
// so that the next crash has one suspect only.
type SeparateSuspects struct{}

// Allow implements RequestFilter.
func (SeparateSuspects) Allow(r *Request, e *Endpoint) bool {
	return !r.Suspect || e.Suspects == 0
}

// reportHalfLife is the time in which the weight of a load report halves. Reports arrive
// every two seconds, and a request runs for about as long.
const reportHalfLife = 2 * time.Second

// LeastLoad rates by free capacity. It combines this VM's own requests, which are exact
// and current, with the endpoint's load report, which covers the other VMs. The weight of
// the report decreases with its age, and this VM's dispatches since then are added to its
// load.
type LeastLoad struct{}

// Score implements Scorer.
func (LeastLoad) Score(now time.Time, _ *Request, c Candidate) float64 {
	own := float64(c.InFlight()+1) / float64(max(c.Limit(), 1))
	score := max(1-own, 0)
	if c.Report.At.IsZero() {
		return score
	}
	age := now.Sub(c.Report.At).Seconds() / reportHalfLife.Seconds()
	trust := math.Exp2(-age) / 2
	load := float64(c.Report.InFlight + c.sinceReport)
	reported := 1 / (1 + load/halfScoreLoad)
	return (1-trust)*score + trust*reported
}

// halfScoreLoad is the reported load with a score of one half: the 16 slots of a typical
// engine (docs/DECISIONS.md).
const halfScoreLoad = 16

// PrefixHit rates by the share of the prefix that is likely cached.
type PrefixHit struct{}

// Score implements Scorer.
func (PrefixHit) Score(_ time.Time, _ *Request, c Candidate) float64 { return c.Hit }

// Near rates by the distance of the data centre.
type Near struct{}

// Score implements Scorer.
func (Near) Score(_ time.Time, _ *Request, c Candidate) float64 {
	return 1 - float64(c.Tier)/float64(tiers-1)
}

// Weighted is a scorer with its weight in the sum of scores.
type Weighted struct {
	Scorer
	Weight float64
}

// Weights holds the weights of the standard scorers.
type Weights struct {
	Load, Prefix, Near float64
}

// WeightsCost is the default where cost matters more than latency, such as for reports
// that can wait. A cached prefix saves work, so it may outweigh a lower load.
var WeightsCost = Weights{Load: 1, Prefix: 1.5, Near: 0.25}

// WeightsLatency is the default where latency matters more than cost, such as for short
// lookups. The prefix weighs as much as the load here too: at half of it, fewer prefixes
// are found cached and immediate requests take longer (p99 0.96 s instead of 0.93 s). The
// double weight of nearness is an assumption, since the model in docs/DECISIONS.md has no
// network latency.
var WeightsLatency = Weights{Load: 1, Prefix: 1, Near: 0.5}

// Scorers returns the standard scorers with these weights.
func (w Weights) Scorers() []Weighted {
	return []Weighted{
		{LeastLoad{}, w.Load},
		{PrefixHit{}, w.Prefix},
		{Near{}, w.Near},
	}
}
