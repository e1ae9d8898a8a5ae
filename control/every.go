package control

import (
	"context"
	"time"
)

// Every calls round at once and then each interval until ctx ends. A round that
// takes longer than the interval is followed by the next at once.
func Every(ctx context.Context, interval time.Duration, round func(context.Context)) {
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
