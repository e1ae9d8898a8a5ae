package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an endpoint that is filled beyond its memory after a restart, since the attempts at its
// earlier life end and give back tokens that the new life doesn't hold.
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
