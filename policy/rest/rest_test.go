package rest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against requests during a rest, also after a second refusal that asks for less.
func TestNothingIsSentDuringRest(t *testing.T) {
	var s State
	require.True(t, s.MaySend(start))
	require.False(t, s.Ask(start, 0))
	require.True(t, s.Ask(start, 3*time.Second))
	require.False(t, s.Ask(start.Add(time.Second), time.Second), "it ends sooner")
	require.False(t, s.MaySend(start.Add(3*time.Second-1)))
	require.Equal(t, time.Second, s.Left(start.Add(2*time.Second)))
	require.True(t, s.MaySend(start.Add(3*time.Second)))
	require.Zero(t, s.Left(start.Add(4*time.Second)))
}
