package picker

import (
	"math"
	"slices"
	"time"
)

// Request is what the picker must know of a request.
type Request struct {
	// Pool is the model version, or the service.
	Pool string
	// Prefix are the hashes of the prompt's leading blocks, the longest last; each
	// covers all blocks before it. Empty for a plain service.
	Prefix []uint64
	// Exclude names endpoints already tried.
	Exclude []string
	// Only is the one endpoint that will do, which holds the stream to resume; empty for any.
	Only string
	// Probe says that it may be run on an endpoint on probation: it may be repeated,
	// and its deadline leaves time for that.
	Probe bool
	// Suspect says that the request was at a crash (see policy/poison).
	Suspect bool
}

// StateFilter decides by an endpoint's state alone; it runs when the state changes.
type StateFilter interface {
	// Eligible reports whether the endpoint may get new work.
	Eligible(e *Endpoint) bool
}

// RequestFilter decides for one request; it runs for each candidate.
type RequestFilter interface {
	// Allow reports whether the request may run on the endpoint.
	Allow(r *Request, e *Endpoint) bool
}

// Scorer rates a candidate from 0 to 1, best last.
type Scorer interface {
	Score(now time.Time, r *Request, c Candidate) float64
}

// Candidate is an endpoint with what the prefix index says of it for this request.
type Candidate struct {
	*Endpoint
	// Hit is the share of the request's prefix that the endpoint likely holds, 0..1.
	Hit float64
}

// TakesWork is the filter for operators' and detectors' states: leaving, data
// centre out, ejected, down.
type TakesWork struct{}

// Eligible implements StateFilter.
func (TakesWork) Eligible(e *Endpoint) bool {
	s := e.State
	return !s.Leaving && !s.DataCentreOut && !s.Ejected && !s.Down
}

// HasRoom is the filter for full endpoints.
type HasRoom struct{}

// Eligible implements StateFilter.
func (HasRoom) Eligible(e *Endpoint) bool { return e.InFlight() < e.Limit() }

// NotTried keeps a retry off the endpoints that were already tried, and a resumed
// stream on the one that holds it.
type NotTried struct{}

// Allow implements RequestFilter.
func (NotTried) Allow(r *Request, e *Endpoint) bool {
	return (r.Only == "" || r.Only == e.Name) && !slices.Contains(r.Exclude, e.Name)
}

// ProbesOnly keeps requests off endpoints on probation that could not be made good
// if the endpoint turns out to be as bad as before.
type ProbesOnly struct{}

// Allow implements RequestFilter.
func (ProbesOnly) Allow(r *Request, e *Endpoint) bool { return r.Probe || !e.State.Probation }

// SuspectsApart keeps a request that was at a crash off endpoints where another
// such request runs, so that the next crash tells them apart.
type SuspectsApart struct{}

// Allow implements RequestFilter.
func (SuspectsApart) Allow(r *Request, e *Endpoint) bool {
	return !r.Suspect || e.Suspects == 0
}

// reportAge is the time after which half of a report's weight is gone: reports
// come every two seconds, and a request runs for about as long.
const reportAge = 2 * time.Second

// LeastLoad rates by free room: this VM's own requests, exact and current, and
// the endpoint's report for those of the others, which counts for less as it ages
// and to which this VM's dispatches since then are added.
type LeastLoad struct{}

// Score implements Scorer.
func (LeastLoad) Score(now time.Time, _ *Request, c Candidate) float64 {
	own := float64(c.InFlight()+1) / float64(max(c.Limit(), 1))
	score := max(1-own, 0)
	if c.Report.At.IsZero() {
		return score
	}
	age := now.Sub(c.Report.At).Seconds() / reportAge.Seconds()
	trust := math.Exp2(-age) / 2
	load := float64(c.Report.InFlight + c.sinceReport)
	reported := 1 / (1 + load/fullLoad)
	return (1-trust)*score + trust*reported
}

// fullLoad is the reported load that rates one half: the slots of a usual runner
// (16 in docs/DECISIONS.md's model of the brief's pools).
const fullLoad = 16

// PrefixHit rates by the share of the prefix that is likely cached.
type PrefixHit struct{}

// Score implements Scorer.
func (PrefixHit) Score(_ time.Time, _ *Request, c Candidate) float64 { return c.Hit }

// Near rates by data centre distance.
type Near struct{}

// Score implements Scorer.
func (Near) Score(_ time.Time, _ *Request, c Candidate) float64 {
	return 1 - float64(c.Tier)/float64(tiers-1)
}

// Weighted is a scorer with its weight.
type Weighted struct {
	Scorer
	Weight float64
}

// Weights are the weights of the standard scorers.
type Weights struct {
	Load, Prefix, Near float64
}

// WeightsCost is the default where cost weighs more than latency, as for growth
// reports that can wait: a cached prefix saves work, so it may win over a lower load.
var WeightsCost = Weights{Load: 1, Prefix: 1.5, Near: 0.25}

// WeightsLatency is the default where latency weighs more, as for till lookups. The
// prefix weighs as much as the load there too: at half of it, fewer prefixes were
// found cached and immediate requests took longer (p99 0.96 s instead of 0.93 s with
// norte's prefixes). That nearness counts twice is an assumption: docs/DECISIONS.md's
// model has no network in it.
var WeightsLatency = Weights{Load: 1, Prefix: 1, Near: 0.5}

// Scorers returns the standard scorers at these weights.
func (w Weights) Scorers() []Weighted {
	return []Weighted{
		{LeastLoad{}, w.Load},
		{PrefixHit{}, w.Prefix},
		{Near{}, w.Near},
	}
}
