package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
)

// A stream that began on a warm engine ends after the engine has restarted and is cold
// or unreachable. The stream's result carries the report from its beginning. This late
// report must not lift the cold limit or mark the engine as reachable, or it would
// receive a burst of requests.
func TestLateReportOfEarlierIncarnationIsIgnored(t *testing.T) {
	d := newPool()
	ticket, bad := d.Acquire(t.Context(), &Need{
		Account: &config.ClientAccount{}, Deadline: time.Now().Add(time.Minute), Size: 1, Pool: "v",
	})
	require.Nil(t, bad)
	name, begun := ticket.Endpoint, time.Now()
	state := func() (cold, down bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.endpoints[name].cold, d.endpoints[name].down
	}
	d.ApplyReport(name, Result{Reported: true, Cold: true, Incarnation: "2", Running: 0, ReadAt: begun.Add(time.Millisecond)})
	ticket.Done(Result{Failed: true, Reported: true, Incarnation: "1", Running: 3, ReadAt: begun})
	cold, down := state()
	require.True(t, cold)
	require.False(t, down)

	d.MarkUnreachable(name)
	d.ApplyReport(name, Result{Reported: true, Incarnation: "1", Running: 3, ReadAt: begun})
	cold, down = state()
	require.True(t, cold)
	require.True(t, down)

	d.ApplyReport(name, Result{Reported: true, Incarnation: "2", Running: 0, ReadAt: time.Now().Add(time.Millisecond)})
	cold, down = state()
	require.False(t, cold)
	require.False(t, down)
}
