package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
)

func TestBrakes(t *testing.T) {
	var b Brakes
	r := rollOut(3)
	version := func(usable func(string) bool) string {
		var at string // a key that the new version's share covers
		for _, key := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			if HashPosition(r, key) < Share(r) {
				at = key
			}
		}
		c, ok := b.Choose(r, at, usable)
		require.True(t, ok)
		return c.Version
	}
	require.Equal(t, "v2", version(all))
	b.Set("r", r.Revision)
	b.Set("r", r.Revision-1)
	require.Equal(t, "v1", version(all))
	require.Equal(t, "v2", version(func(v string) bool { return v == "v2" }), "a braked version serves if no other is usable")
	r.Revision++
	require.Equal(t, "v2", version(all), "a change of the roll-out ends the brake")
	b.Set("r", r.Revision)
	b.Prune(&config.Snapshot{})
	require.False(t, b.IsBraked(r))
}
