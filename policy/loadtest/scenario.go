package loadtest

import "time"

// Scenario is one load pattern. Times are from the start of the run.
type Scenario struct {
	Name string
	// About lists the variants that the pattern tells apart, beside all and none.
	About []string
	// Load is the offered work as a share of the pool's capacity, outside of Surge.
	Load float64
	// Length is how long callers send.
	Length time.Duration
	// Surge multiplies every account's rate between From and To, Hot the hot account's.
	Surge, Hot float64
	From, To   time.Duration
	// HotImmediate lets the hot account send immediate requests only.
	HotImmediate bool
	// LongShare of requests are 20 times as long; PrefixShare share one of 60 prompt
	// starts; HotKey all use the same one.
	LongShare, PrefixShare, HotKey float64
	// StaleReports lets the VMs have load reports two seconds late.
	StaleReports bool
	// KneeShare is the share of the slots above which an endpoint's memory is full; 0 means 1.
	KneeShare float64
	// Slow and Failing endpoints, from From to To.
	Slow, Failing int
	// PoolDown takes all endpoints down at From, to be back in cold start at To; Cold
	// restarts them at once. PoolFailing lets all answer errors from From to To.
	PoolDown, Cold, PoolFailing bool
	// Poison is the number of requests that crash their endpoint, sent at From.
	Poison int
}

// Scenarios are the load patterns that the decisions are measured by.
var Scenarios = []Scenario{
	{Name: "calm", Load: 0.6, Length: 120 * time.Second},
	{Name: "burst 10x 5s", About: []string{"no admission"}, Load: 0.5, Length: 60 * time.Second, Surge: 10, From: sec(15), To: sec(20)},
	{Name: "hot caller 20x", About: []string{"no admission"}, Load: 0.6, Length: 120 * time.Second, Hot: 20, From: sec(5), To: sec(120)},
	{Name: "hot lookups", About: []string{"no admission"}, Load: 0.6, Length: 120 * time.Second, Hot: 120, HotImmediate: true, From: sec(5), To: sec(120)},
	{Name: "hot key", About: []string{"no picker"}, Load: 0.7, Length: 60 * time.Second, PrefixShare: 0.5, HotKey: 0.5},
	{Name: "prefixes", About: []string{"no picker"}, Load: 0.7, Length: 60 * time.Second, PrefixShare: 0.8},
	{Name: "slow endpoint", About: []string{"no limit", "no outlier", "no picker", "no hedge"}, Load: 0.6, Length: 60 * time.Second, Slow: 1, From: sec(15), To: sec(45)},
	{Name: "fast errors", About: []string{"no outlier", "no retry budget"}, Load: 0.6, Length: 60 * time.Second, Failing: 1, From: sec(15), To: sec(45)},
	{Name: "long jobs", About: []string{"no admission"}, Load: 1.1, Length: 90 * time.Second, LongShare: 0.03},
	{Name: "memory full", About: []string{"no limit", "no admission"}, Load: 1.2, Length: 60 * time.Second, KneeShare: 0.4},
	{Name: "overload 2x", About: []string{"no admission"}, Load: 0.9, Length: 180 * time.Second, Surge: 2 / 0.9, From: sec(15), To: sec(135)},
	{Name: "pool down", About: []string{"no admission", "no cold limit", "no retry budget"}, Load: 0.6, Length: 90 * time.Second, PoolDown: true, From: sec(20), To: sec(30)},
	{Name: "pool failing", About: []string{"no outlier", "no retry budget"}, Load: 0.6, Length: 60 * time.Second, PoolFailing: true, From: sec(20), To: sec(30)},
	{Name: "pool cold", About: []string{"no cold limit", "no admission"}, Load: 0.6, Length: 60 * time.Second, Cold: true, From: sec(20)},
	{Name: "poison", About: []string{"no poison"}, Load: 0.5, Length: 60 * time.Second, Poison: 1, From: sec(15)},
	{Name: "stale reports", About: []string{"no picker", "least reported"}, Load: 0.6, Length: 60 * time.Second, StaleReports: true},
	{
		Name: "several", About: []string{"no admission", "no limit", "no cold limit", "no picker", "no retry budget", "no hedge", "no outlier", "no poison"},
		Load: 0.6, Length: 60 * time.Second, StaleReports: true, PrefixShare: 0.5,
		Surge: 3, Hot: 5, Slow: 1, Failing: 1, Poison: 1, From: sec(15), To: sec(35),
	},
}

// Find returns the scenario of that name.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

func sec(n int) time.Duration { return time.Duration(n) * time.Second }

// rate is an account's factor on its mean rate at a time.
func (s *Scenario) rate(account int, at time.Duration) float64 {
	if at < s.From || at >= s.To {
		return 1
	}
	factor := 1.0
	if s.Surge > 0 {
		factor = s.Surge
	}
	if s.Hot > 0 && account == hotAccount {
		factor *= s.Hot
	}
	return factor
}

// maxRate bounds rate.
func (s *Scenario) maxRate(account int) float64 {
	if account != hotAccount {
		return max(s.Surge, 1)
	}
	return max(s.Surge, 1) * max(s.Hot, 1)
}
