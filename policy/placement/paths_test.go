package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failAll lets the VM's attempts at some endpoints fail as if each had crashed.
func failAll(t *testing.T, tb *Table, now time.Time, endpoints int) {
	t.Helper()
	for range endpoints {
		c, miss := tb.Pick(now, rng(), &Request{Service: "s", Work: 1})
		require.Equal(t, Picked, miss)
		tb.Done(now, c, Broken)
	}
}

// Guards against a VM without paths that drives the load of the others onto the endpoints that it has not tried.
func TestVMWithoutPathsShiftsNoLoadOfOthers(t *testing.T) {
	const endpoints = 9
	now := time.Now()
	cut, other := table(endpoints), table(endpoints)
	failAll(t, cut, now, endpoints-2)
	cut.SetPathsLost(now, true)
	setPeerLoad(other, now, func(id string) EndpointLoad { return cut.LocalLoad(now)[id] })
	other.SetRecords(now, pooled([]*Table{cut, other}, now))
	chosen := make(map[string]bool)
	for range endpoints {
		c, miss := other.Pick(now, rng(), &Request{Service: "s", Work: 1})
		require.Equal(t, Picked, miss)
		chosen[c.ID] = true
	}
	require.Len(t, chosen, endpoints, "each endpoint gets its part")
}

// Guards against a VM that goes on avoiding its endpoints when its paths are back.
func TestPathsThatAreBackAreUsed(t *testing.T) {
	const endpoints = 4
	now := time.Now()
	tb := table(endpoints)
	failAll(t, tb, now, endpoints)
	_, miss := tb.Pick(now, rng(), &Request{Service: "s", Work: 1})
	require.Equal(t, NoEndpoint, miss)
	tb.SetPathsLost(now, true)
	tb.SetPathsLost(now, false)
	for range endpoints {
		_, miss = tb.Pick(now, rng(), &Request{Service: "s", Work: 1})
		require.Equal(t, Picked, miss)
	}
}

// Guards against requests that leave through other VMs, or don't, against what this VM can connect to.
func TestHasUnreachable(t *testing.T) {
	now := time.Now()
	tb := table(2)
	r := &Request{Service: "s", Work: 1}
	require.False(t, tb.HasUnreachable(now, r, nil))
	require.True(t, tb.HasUnreachable(now, r, []string{"e00"}))
	require.False(t, tb.HasUnreachable(now, &Request{Service: "s", Exclude: []string{"e00"}}, []string{"e00"}), "it ran there")
	failAll(t, tb, now, 1)
	require.True(t, tb.HasUnreachable(now, r, nil))
	require.False(t, tb.HasUnreachable(now, &Request{Service: "s", Version: "other"}, nil))
	require.False(t, tb.HasUnreachable(now, &Request{Service: "unknown"}, nil))
	for _, e := range []string{"e00", "e01"} {
		c, _ := tb.Pick(now.Add(time.Minute), rng(), &Request{Service: "s", Work: 1, Exclude: []string{fmt.Sprint("e0", 1-int(e[2]-'0'))}})
		tb.Done(now.Add(time.Minute), c, OtherIncarnation)
	}
	require.False(t, tb.HasUnreachable(now.Add(time.Minute), r, nil), "another incarnation is there for all VMs")
}
