package control

import (
	"context"
	"time"
)

// RunEvery calls round immediately and then once per interval until ctx ends. After a
// round that took longer than the interval the next one starts immediately.
func RunEvery(ctx context.Context, interval time.Duration, round func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
