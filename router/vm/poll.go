package vm

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"goldcrestfork/router/dispatch"
)

const (
	// pollInterval is the interval at which an endpoint in cold start is polled for its
	// state. Cold starts take seconds to load the weights; half a second adds little.
	pollInterval = 500 * time.Millisecond
	// pollConcurrency bounds the concurrent polls when a whole pool restarts.
	pollConcurrency = 16
)

// pollCold polls the endpoints in cold start for their state until ctx ends.
func (v *VM) pollCold(ctx context.Context) {
	for wait(ctx, pollInterval) {
		var g errgroup.Group
		g.SetLimit(pollConcurrency)
		for _, p := range v.dispatch.ColdEndpoints() {
			g.Go(func() error {
				v.pollEndpoint(ctx, p)
				return nil
			})
		}
		_ = g.Wait()
	}
}

func (v *VM) pollEndpoint(ctx context.Context, p dispatch.EndpointAddress) {
	r, err := v.engines.State(ctx, p.Address)
	if err != nil {
		// The next round polls the endpoint again.
		v.dispatch.MarkUnreachable(p.Endpoint)
		return
	}
	v.dispatch.ApplyReport(p.Endpoint, dispatch.Result{
		Reported: true, Incarnation: r.Incarnation, Cold: r.Cold, Running: r.Running, ReadAt: r.At,
	})
}
