package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
)

// A stream began while its engine was warm; the engine has started anew since and
// said that it is cold, or does not answer at all. The stream's end comes with the
// head of its beginning. That late word must not lift the cold limit, nor call a
// dead engine up, or a burst of first attempts would find out one by one.
func TestLateWordOfAnEarlierStart(t *testing.T) {
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
	d.Reported(name, Result{Reported: true, Cold: true, Incarnation: "2", Running: 0, At: begun.Add(time.Millisecond)})
	ticket.Done(Result{Failed: true, Reported: true, Incarnation: "1", Running: 3, At: begun})
	cold, down := state()
	require.True(t, cold)
	require.False(t, down)

	d.Unreachable(name)
	d.Reported(name, Result{Reported: true, Incarnation: "1", Running: 3, At: begun})
	cold, down = state()
	require.True(t, cold)
	require.True(t, down)

	d.Reported(name, Result{Reported: true, Incarnation: "2", Running: 0, At: time.Now().Add(time.Millisecond)})
	cold, down = state()
	require.False(t, cold)
	require.False(t, down)
}
