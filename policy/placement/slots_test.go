package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against capacity at endpoints that take no requests.
func TestUsableSlots(t *testing.T) {
	table, now := New("a"), time.Now()
	for i, s := range []Spec{
		{Version: "v1"}, {Version: "v2"}, {Version: "v1", Draining: true}, {Version: "v1", Cold: time.Minute},
		{Version: "v1", DataCentre: "out"}, {Version: "v1"}, {Version: "v1", Service: "other"},
	} {
		s.ID, s.Address, s.Slots = string(rune('a'+i)), string(rune('a'+i)), 8
		if s.Service == "" {
			s.Service = "s"
		}
		table.Set(now, s)
	}
	table.SetOut(map[string]bool{"out": true})
	require.Equal(t, map[string]int{"v1": 16, "v2": 8}, table.UsableSlots(now, "s"))
	table.SetLost("f", true)
	require.Equal(t, map[string]int{"v1": 8, "v2": 8}, table.UsableSlots(now, "s"))
	table.MarkLeaving("a")
	require.Equal(t, map[string]int{"v2": 8}, table.UsableSlots(now, "s"))
	require.Empty(t, table.UsableSlots(now, "unknown"))
}
