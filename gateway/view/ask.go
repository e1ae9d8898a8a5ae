package view

import (
	"context"
	"errors"
	"time"

	"goldcrestfork/durable"
)

// overdueShare is the share of a watch's wait by which it may be late before a second call is
// sent to the platform. Watches may hang while other calls are answered. A feed's limit is at
// least 1.5 times the wait of a watch, so the second call is answered before the feed expires.
const overdueShare = 0.25

// watchResult is the result of one watch, with a time at which it was the newest state.
type watchResult[T any] struct {
	changes     Changes[T]
	confirmedAt time.Duration
	err         error
	second      bool
}

// watchPlatform waits for changes at the platform. If the watch is overdue, a second call with
// a short wait runs beside it, and the first answer is used.
func (f *Follower[T]) watchPlatform(ctx context.Context, revision int64, wait time.Duration) (Changes[T], time.Duration, error) {
	cctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	if wait <= probeWait {
		a := f.watchOnce(cctx, revision, wait)
		return a.changes, a.confirmedAt, a.err
	}
	answers := make(chan watchResult[T], 2)
	go func() { answers <- f.watchOnce(cctx, revision, wait) }()
	overdue := time.NewTimer(wait + time.Duration(overdueShare*float64(wait)))
	defer overdue.Stop()
	for open := 1; ; {
		select {
		case <-overdue.C:
			open++
			go func() {
				a := f.watchOnce(cctx, revision, probeWait)
				a.second = true
				answers <- a
			}()
		case a := <-answers:
			open--
			// An error of the second call does not mean that the first fails: it may still be
			// answered.
			if a.second && a.err != nil && !errors.Is(a.err, durable.ErrGone) && open > 0 {
				continue
			}
			return a.changes, a.confirmedAt, a.err
		}
	}
}

func (f *Follower[T]) watchOnce(ctx context.Context, revision int64, wait time.Duration) watchResult[T] {
	began := f.Clock()
	c, err := f.Source.Watch(ctx, revision, wait)
	a := watchResult[T]{changes: c, confirmedAt: began, err: err}
	// The platform gives an empty answer only after the wait has passed, so the state was still
	// the newest at that time.
	if len(c.Changes) == 0 && f.Clock()-began >= wait-earlyTolerance {
		a.confirmedAt = began + max(wait-earlyTolerance, 0)
	}
	return a
}
