package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const known = 12

func fail(t *Tracker, now time.Time, n int) {
	for i := range n {
		t.Failed(now, fmt.Sprint("e", i))
	}
}

// Guards against a VM that takes the crash of some endpoints for the loss of its paths.
func TestFailuresBesideAnswersAreNoLoss(t *testing.T) {
	tr, now := New(), time.Now()
	for range 100 {
		fail(tr, now, minFailed-1)
		require.False(t, tr.DueProbe(now, known))
		tr.Received(now)
		now = now.Add(time.Millisecond)
	}
}

// Guards against a VM that notices the loss of its paths late, or never if it knows few endpoints.
func TestFailuresWithoutAnswersLoseThePaths(t *testing.T) {
	for endpoints := 1; endpoints <= known; endpoints++ {
		tr, now := New(), time.Now()
		fail(tr, now, min(minFailed, endpoints))
		require.True(t, tr.DueProbe(now, endpoints))
		require.False(t, tr.DueProbe(now, endpoints), "one probe at a time")
		require.Equal(t, PathsLost, tr.ProbeDone(now, now.Add(time.Second), false))
		require.True(t, tr.Lost())
	}
}

// Guards against a VM that keeps to a probe's failure although an endpoint answered during the probe.
func TestAnswerDuringAProbeCounts(t *testing.T) {
	tr, now := New(), time.Now()
	fail(tr, now, minFailed)
	require.True(t, tr.DueProbe(now, known))
	tr.Received(now.Add(time.Millisecond))
	require.Equal(t, Unchanged, tr.ProbeDone(now, now.Add(time.Second), false))
	require.False(t, tr.Lost())
}

// Guards against a VM that probes without a pause while it has no paths, or goes on without them once they are back.
func TestLostPathsAreProbedUntilOneSucceeds(t *testing.T) {
	tr, now := New(), time.Now()
	fail(tr, now, minFailed)
	require.True(t, tr.DueProbe(now, known))
	tr.ProbeDone(now, now, false)
	for range 10 {
		require.False(t, tr.DueProbe(now.Add(probeInterval-1), known))
		now = now.Add(probeInterval)
		require.True(t, tr.DueProbe(now, known))
		require.Equal(t, Unchanged, tr.ProbeDone(now, now, false))
	}
	now = now.Add(probeInterval)
	require.True(t, tr.DueProbe(now, known))
	require.Equal(t, PathsRegained, tr.ProbeDone(now, now, true))
	require.False(t, tr.Lost())
	require.False(t, tr.DueProbe(now, known))
}

// Guards against a VM that takes its paths for intact, again and again, because connections open and are reset some time later.
func TestProbesThatCarryNothingTakeLonger(t *testing.T) {
	for _, resetAfter := range []time.Duration{0, 60 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond} {
		tr, now := New(), time.Now()
		probes := 0
		for ; !tr.Lost(); probes++ {
			require.Less(t, probes, 8, resetAfter)
			fail(tr, now, minFailed)
			require.True(t, tr.DueProbe(now, known))
			began, settle := now, tr.SettleTime()
			now = now.Add(settle)
			tr.ProbeDone(began, now, settle <= resetAfter)
		}
		tr.Received(now)
		require.False(t, tr.Lost())
		require.Equal(t, minSettleTime, tr.SettleTime())
	}
}
