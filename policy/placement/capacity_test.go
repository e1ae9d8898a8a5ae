package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a pressure that is taken from idle endpoints of a version that the request may not use, or without the other VMs' work.
func TestCapacityUse(t *testing.T) {
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	table := New("a")
	for i := range 8 {
		version := "v1"
		if i >= 4 {
			version = "v2"
		}
		table.Set(now, Spec{ID: fmt.Sprintf("e%d", i), Service: "s", Version: version, Slots: 16})
	}
	shares := make(map[uint32]EndpointLoad)
	for i, e := range []string{"e0", "e1", "e2", "e3"} {
		shares[table.endpoints[e].idHash.Short()] = EndpointLoad{Work: float64(8 + 100*i)}
	}
	old := &Request{Service: "s", Version: "v1", Work: 1}
	table.SetPeerLoad(now, shares)
	use, known := table.CapacityUse(now, rng, old)
	require.True(t, known)
	require.InDelta(t, 0.5, use, 1e-9, "the least loaded of four")
	use, known = table.CapacityUse(now, rng, &Request{Service: "s", Work: 1})
	require.True(t, known)
	require.Zero(t, use, "the new version is idle")

	_, miss := table.Pick(now, rng, old)
	require.Equal(t, Picked, miss)
	use, _ = table.CapacityUse(now, rng, old)
	require.InDelta(t, 9.0/16, use, 1e-9, "this VM's work counts")

	_, known = table.CapacityUse(now.Add(time.Second), rng, old)
	require.False(t, known, "the other VMs' load is too old")
	_, known = table.CapacityUse(now, rng, &Request{Service: "none"})
	require.False(t, known)
}

// Guards against a single long prompt that stands for the whole capacity, and endpoints without slots.
func TestCapacityUseIsBounded(t *testing.T) {
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	table := New("a")
	table.Set(now, Spec{ID: "e0", Service: "s"})
	_, known := table.CapacityUse(now, rng, &Request{Service: "s"})
	require.False(t, known)
	table.Set(now, Spec{ID: "e0", Service: "s", Slots: 4})
	table.Pick(now, rng, &Request{Service: "s", Work: 1, Prefill: 80})
	use, known := table.CapacityUse(now, rng, &Request{Service: "s"})
	require.True(t, known)
	require.InDelta(t, maxUse, use, 1e-9)
}
