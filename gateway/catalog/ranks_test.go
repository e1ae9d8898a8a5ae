package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against ranks that count routes of other services, or one priority twice.
func TestStanding(t *testing.T) {
	route := func(service string, priority int, target time.Duration) *Route {
		return &Route{Priority: priority, Target: target, Services: []WeightedService{{Service: service, Weight: 1}}}
	}
	c := NewConfig(1, 1, []*Route{
		route("s", 4, 6*time.Second), route("s", 0, 0), route("s", 4, 2*time.Second), route("s", 1, 3*time.Second), route("other", 2, time.Second),
	}, nil, nil, false, Limits{})
	for priority, rank := range map[int]int{0: 0, 1: 1, 2: 2, 4: 2, 9: 3} {
		require.Equal(t, Standing{Rank: rank, Ranks: 3, ShortestTarget: 2 * time.Second}, c.Standing("s", priority), priority)
	}
	require.Equal(t, Standing{}, c.Standing("none", 3))
}
