package view

import (
	"context"
	"errors"
	"time"

	"goldcrestfork/durable"
)

// overdueShare is the share of its wait by which a watch may be late before the platform is
// asked once more beside it. Watches may hang while other calls are answered; the word that
// readers have holds for half of the wait longer than a watch.
const overdueShare = 0.25

// answer is what one watch brought, and a time at which it was true.
type answer[T any] struct {
	changes Changes[T]
	proof   time.Duration
	err     error
	second  bool
}

// ask waits for changes at the platform. A watch that is overdue gets a second, short one
// beside it, and the first answer counts.
func (f *Follower[T]) ask(ctx context.Context, revision int64, wait time.Duration) (Changes[T], time.Duration, error) {
	cctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	if wait <= probeWait {
		a := f.askOnce(cctx, revision, wait)
		return a.changes, a.proof, a.err
	}
	answers := make(chan answer[T], 2)
	go func() { answers <- f.askOnce(cctx, revision, wait) }()
	overdue := time.NewTimer(wait + time.Duration(overdueShare*float64(wait)))
	defer overdue.Stop()
	for open := 1; ; {
		select {
		case <-overdue.C:
			open++
			go func() {
				a := f.askOnce(cctx, revision, probeWait)
				a.second = true
				answers <- a
			}()
		case a := <-answers:
			open--
			// A second call that fails says nothing of the first, which may still be answered.
			if a.second && a.err != nil && !errors.Is(a.err, durable.ErrGone) && open > 0 {
				continue
			}
			return a.changes, a.proof, a.err
		}
	}
}

func (f *Follower[T]) askOnce(ctx context.Context, revision int64, wait time.Duration) answer[T] {
	began := f.Clock()
	c, err := f.Source.Watch(ctx, revision, wait)
	a := answer[T]{changes: c, proof: began, err: err}
	// An empty answer that waited its time was true when the platform gave it, which
	// is no sooner than the wait after the question.
	if len(c.Changes) == 0 && f.Clock()-began >= wait-early {
		a.proof = began + max(wait-early, 0)
	}
	return a
}
