package loadtest

import "time"

// Scenario is one load pattern. Times are measured from the start of the run.
type Scenario struct {
	Name string
	// RelevantVariants lists the variants to compare for this pattern, in addition
	// to all and none.
	RelevantVariants []string
	// Load is the offered work as a share of the pool's capacity, without
	// SurgeFactor and HotFactor.
	Load float64
	// Length is how long callers send new requests.
	Length time.Duration
	// SurgeFactor multiplies every account's rate between From and To, and
	// HotFactor that of the hot account in addition. Zero leaves the rate
	// unchanged.
	SurgeFactor, HotFactor float64
	From, To               time.Duration
	// HotImmediate makes the hot account send immediate requests only.
	HotImmediate bool
	// LongShare is the share of requests that are 20 times as long. PrefixShare is
	// the share that start with one of 60 shared prompt prefixes, and
	// HotPrefixShare the share that all use the same prefix.
	LongShare, PrefixShare, HotPrefixShare float64
	// StaleReports makes the VMs receive load reports two seconds late.
	StaleReports bool
	// KneeShare is the share of the slots above which an endpoint's memory is full.
	// Zero means 1.
	KneeShare float64
	// SlowEndpoints and FailingEndpoints are the numbers of endpoints that are slow
	// or answer with errors between From and To.
	SlowEndpoints, FailingEndpoints int
	// PoolDown takes all endpoints down at From and returns them in cold start
	// at To. PoolRestart restarts them all at From, in cold start after a
	// millisecond. PoolFailing makes all endpoints answer with errors between From
	// and To.
	PoolDown, PoolRestart, PoolFailing bool
	// PoisonRequests is the number of requests, sent at From, that crash the
	// endpoint that runs them.
	PoisonRequests int
}

// Scenarios are the load patterns used to measure the decisions.
var Scenarios = []Scenario{
	{Name: "calm", Load: 0.6, Length: 120 * time.Second},
	{Name: "burst 10x 5s", RelevantVariants: []string{"no admission"}, Load: 0.5, Length: 60 * time.Second, SurgeFactor: 10, From: sec(15), To: sec(20)},
	{Name: "hot caller 20x", RelevantVariants: []string{"no admission"}, Load: 0.6, Length: 120 * time.Second, HotFactor: 20, From: sec(5), To: sec(120)},
	{Name: "hot lookups", RelevantVariants: []string{"no admission"}, Load: 0.6, Length: 120 * time.Second, HotFactor: 120, HotImmediate: true, From: sec(5), To: sec(120)},
	{Name: "hot key", RelevantVariants: []string{"no picker"}, Load: 0.7, Length: 60 * time.Second, PrefixShare: 0.5, HotPrefixShare: 0.5},
	{Name: "prefixes", RelevantVariants: []string{"no picker"}, Load: 0.7, Length: 60 * time.Second, PrefixShare: 0.8},
	{Name: "slow endpoint", RelevantVariants: []string{"no limit", "no outlier", "no picker", "no hedge"}, Load: 0.6, Length: 60 * time.Second, SlowEndpoints: 1, From: sec(15), To: sec(45)},
	{Name: "fast errors", RelevantVariants: []string{"no outlier", "no retry budget"}, Load: 0.6, Length: 60 * time.Second, FailingEndpoints: 1, From: sec(15), To: sec(45)},
	{Name: "long jobs", RelevantVariants: []string{"no admission"}, Load: 1.1, Length: 90 * time.Second, LongShare: 0.03},
	{Name: "memory full", RelevantVariants: []string{"no limit", "no admission"}, Load: 1.2, Length: 60 * time.Second, KneeShare: 0.4},
	{Name: "overload 2x", RelevantVariants: []string{"no admission"}, Load: 0.9, Length: 180 * time.Second, SurgeFactor: 2 / 0.9, From: sec(15), To: sec(135)},
	{Name: "pool down", RelevantVariants: []string{"no admission", "no cold limit", "no retry budget"}, Load: 0.6, Length: 90 * time.Second, PoolDown: true, From: sec(20), To: sec(30)},
	{Name: "pool failing", RelevantVariants: []string{"no outlier", "no retry budget"}, Load: 0.6, Length: 60 * time.Second, PoolFailing: true, From: sec(20), To: sec(30)},
	{Name: "pool cold", RelevantVariants: []string{"no cold limit", "no admission"}, Load: 0.6, Length: 60 * time.Second, PoolRestart: true, From: sec(20)},
	{Name: "poison", RelevantVariants: []string{"no poison"}, Load: 0.5, Length: 60 * time.Second, PoisonRequests: 1, From: sec(15)},
	{Name: "stale reports", RelevantVariants: []string{"no picker", "least reported"}, Load: 0.6, Length: 60 * time.Second, StaleReports: true},
	{
		Name: "several", RelevantVariants: []string{"no admission", "no limit", "no cold limit", "no picker", "no retry budget", "no hedge", "no outlier", "no poison"},
		Load: 0.6, Length: 60 * time.Second, StaleReports: true, PrefixShare: 0.5,
		SurgeFactor: 3, HotFactor: 5, SlowEndpoints: 1, FailingEndpoints: 1, PoisonRequests: 1, From: sec(15), To: sec(35),
	},
}

// Find returns the scenario with the given name, and false if there is none.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

func sec(n int) time.Duration { return time.Duration(n) * time.Second }

// rateFactor returns the factor on an account's mean rate at a time since the
// start.
func (s *Scenario) rateFactor(account int, at time.Duration) float64 {
	if at < s.From || at >= s.To {
		return 1
	}
	factor := 1.0
	if s.SurgeFactor > 0 {
		factor = s.SurgeFactor
	}
	if s.HotFactor > 0 && account == hotAccount {
		factor *= s.HotFactor
	}
	return factor
}

// maxRateFactor returns an upper bound of rateFactor for an account.
func (s *Scenario) maxRateFactor(account int) float64 {
	if account != hotAccount {
		return max(s.SurgeFactor, 1)
	}
	return max(s.SurgeFactor, 1) * max(s.HotFactor, 1)
}
