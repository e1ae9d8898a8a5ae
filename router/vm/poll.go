package vm

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"goldcrestfork/router/dispatch"
)

const (
	// pollEvery is how often an endpoint in cold start is asked for its state. Grounds:
	// cold starts take seconds (weights are loaded), and half a second adds little to that.
	pollEvery = 500 * time.Millisecond
	// pollAtOnce bounds the questions under way when a whole pool starts anew.
	pollAtOnce = 16
)

// pollCold asks endpoints in cold start whether they are warm, until ctx ends.
func (v *VM) pollCold(ctx context.Context) {
	for wait(ctx, pollEvery) {
		var g errgroup.Group
		g.SetLimit(pollAtOnce)
		for _, p := range v.dispatch.ColdEndpoints() {
			g.Go(func() error {
				v.ask(ctx, p)
				return nil
			})
		}
		_ = g.Wait()
	}
}

func (v *VM) ask(ctx context.Context, p dispatch.EndpointAddress) {
	r, err := v.engines.State(ctx, p.Address)
	if err != nil {
		// The next round asks again.
		v.dispatch.MarkUnreachable(p.Endpoint)
		return
	}
	v.dispatch.ApplyReport(p.Endpoint, dispatch.Result{
		Reported: true, Incarnation: r.Incarnation, Cold: r.Cold, Running: r.Running, ReadAt: r.At,
	})
}
