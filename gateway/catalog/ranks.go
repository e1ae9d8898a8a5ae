package catalog

import (
	"slices"
	"time"
)

// Standing is the standing of a priority among the routes of a service.
type Standing struct {
	// Rank is the number of the service's priorities that are more urgent, of Ranks different ones.
	Rank, Ranks int
	// ShortestTarget is the shortest target latency of the service's routes, 0 for none.
	ShortestTarget time.Duration
}

// serviceRanks are the different priorities of a service's routes, the most urgent first, and their
// shortest target latency.
type serviceRanks struct {
	priorities     []int
	shortestTarget time.Duration
}

// ranksOf returns the ranks of all services that routes name.
func ranksOf(routes []*Route) map[string]serviceRanks {
	out := make(map[string]serviceRanks)
	for _, r := range routes {
		for _, s := range r.Services {
			ranks := out[s.Service]
			if at, found := slices.BinarySearch(ranks.priorities, r.Priority); !found {
				ranks.priorities = slices.Insert(ranks.priorities, at, r.Priority)
			}
			if r.Target > 0 && (ranks.shortestTarget == 0 || r.Target < ranks.shortestTarget) {
				ranks.shortestTarget = r.Target
			}
			out[s.Service] = ranks
		}
	}
	return out
}

// Standing returns the standing of a priority at a service. An account's priority may be none of the
// routes'.
func (c *Config) Standing(service string, priority int) Standing {
	ranks := c.ranks[service]
	rank, _ := slices.BinarySearch(ranks.priorities, priority)
	return Standing{Rank: rank, Ranks: len(ranks.priorities), ShortestTarget: ranks.shortestTarget}
}
