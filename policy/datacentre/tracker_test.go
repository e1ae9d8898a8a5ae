package datacentre

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcrestfork/config"
)

// dataCentres returns the configuration of data centres that are in or out.
func dataCentres(in map[string]bool) map[string]*config.DataCentre {
	out := make(map[string]*config.DataCentre)
	for name, isIn := range in {
		state := config.DataCentreOut
		if isIn {
			state = config.DataCentreIn
		}
		out[name] = &config.DataCentre{Meta: config.Meta{Name: name}, State: state}
	}
	return out
}

// TestOutAndBack covers operators who take norte-a out and bring it back. New work must
// stop as soon as the VM observes the change and grow over the ramp after the return, and
// a second cycle must restart the ramp.
func TestOutAndBack(t *testing.T) {
	s := DefaultSettings()
	tr, now := NewTracker(s), time.Unix(0, 0)
	both := dataCentres(map[string]bool{"norte-a": true, "norte-b": true})
	one := dataCentres(map[string]bool{"norte-a": false, "norte-b": true})
	require.Zero(t, tr.Weight("norte-a", now), "never observed")
	tr.Observe(both, now)
	require.Equal(t, 1.0, tr.Weight("norte-a", now))
	tr.Observe(one, now)
	require.Zero(t, tr.Weight("norte-a", now))
	require.False(t, tr.Admits("norte-a", now, 0))
	for range 2 {
		tr.Observe(one, now)
		tr.Observe(both, now)
		require.Equal(t, s.Floor, tr.Weight("norte-a", now))
		require.Equal(t, 1.0, tr.Weight("norte-b", now))
		now = now.Add(s.RampTime / 2)
		tr.Observe(both, now)
		require.InDelta(t, 0.5, tr.Weight("norte-a", now), 1e-9)
	}
	require.Equal(t, 1.0, tr.Weight("norte-a", now.Add(s.RampTime)))
	tr.Observe(dataCentres(map[string]bool{"norte-b": true, "norte-c": true}), now)
	require.Zero(t, tr.Weight("norte-a", now), "removed")
	require.Equal(t, s.Floor, tr.Weight("norte-c", now), "added")
}

// TestWeightProperties checks for random sequences of changes that a data centre that is
// out has weight zero, and that one that is in has a weight in (0,1] that does not
// decrease until the next change.
func TestWeightProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		tr, now, last, was := NewTracker(DefaultSettings()), time.Unix(0, 0), 0.0, false
		for range 40 {
			in := rng.IntN(3) > 0
			tr.Observe(dataCentres(map[string]bool{"a": in}), now)
			w := tr.Weight("a", now)
			require.Equal(t, in, w > 0)
			require.LessOrEqual(t, w, 1.0)
			if in && was {
				require.GreaterOrEqual(t, w, last)
			}
			last, was = w, in
			now = now.Add(time.Duration(rng.Int64N(int64(20 * time.Second))))
		}
	})
}
