package order

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stand-in that handles a delayed order wrongly: it arrives after a newer one.
// An endpoint that checks fencing numbers keeps the newer order; one that ignores them returns
// to the older.
func TestLateOrder(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			e := New(fenced)
			e.SetFaults(Faults{Delay: time.Minute})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			require.Error(t, e.Order(ctx, Order{Fence: 1, Versions: []string{"v1"}}))
			e.SetFaults(Faults{})
			require.NoError(t, e.Order(t.Context(), Order{Fence: 2, Versions: []string{"v2"}}))
			time.Sleep(2 * time.Minute)
			r, err := e.Report(t.Context())
			require.NoError(t, err)
			want := "v1"
			if fenced {
				want = "v2"
			}
			require.Equal(t, []string{want}, r.Versions)
		})
	}
}
