package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/rendezvous"
)

// Guards against an endpoint that is filled beyond its memory after a restart, since the attempts at its earlier life end and give back tokens that the new life doesn't hold.
func TestTokensOfAnEarlierLife(t *testing.T) {
	table := table(1)
	table.SetMemory(map[string]int{"s": 100_000}, nil)
	r := &Request{Service: "s", Work: 1, Tokens: 60_000}
	before, miss := table.Pick(start, rng(), r)
	require.Equal(t, Picked, miss)
	table.Set(start, Spec{ID: "e00", Service: "s", DataCentre: "a", Version: "v1", Slots: 8, StartedAt: start.Add(time.Second).UnixNano()})
	_, miss = table.Pick(start, rng(), r)
	require.Equal(t, Picked, miss)
	table.Done(start, before, NoSignal)
	_, miss = table.Pick(start, rng(), r)
	require.Equal(t, NoMemory, miss)
}

// BenchmarkPickByMemory measures a choice among 200 endpoints whose memory is half full, in a managed service
// of 85 VMs.
func BenchmarkPickByMemory(b *testing.B) {
	t, r := table(200), rng()
	var vms []string
	for i := range 85 {
		vms = append(vms, fmt.Sprint("vm", i))
	}
	t.SetAllManaged()
	t.SetMemory(map[string]int{"s": 450_000}, func() (int, func(string) int) {
		return len(vms), func(endpoint string) int { return rendezvous.Position(endpoint, "vm3", vms) }
	})
	req := &Request{Service: "s", Work: 1, Affinity: "part", Saving: 6, Tokens: 12_000}
	b.ReportAllocs()
	for now := start; b.Loop(); now = now.Add(20 * time.Millisecond) {
		t.SetTokenTotals(now, nil, 250_000)
		c, miss := t.Pick(now, r, req)
		if miss != Picked {
			b.Fatal(miss)
		}
		t.Done(now, c, Good)
	}
}
