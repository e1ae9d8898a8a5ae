package entry

import (
	"context"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/router/dispatch"
	"goldcrestfork/router/service"
)

// called is how one of two attempts ended.
type called struct {
	answer service.Answer
	result service.Result
	err    error
}

// callHedged makes a call, and beside a slow one a second at another endpoint.
//
// Load pattern: look-ups that cannot wait, before endpoints of which one is slow
// for a while. Without it each look-up that meets the slow one waits for it. Only
// for calls that may be repeated and can't wait: a hedge is extra work, paid from
// the retry budget. The first answer wins; the other call is cut off, which is held
// against nobody.
func (e *Entry) callHedged(ctx context.Context, p *plain, t *dispatch.Ticket) (service.Answer, service.Result, error) {
	if !p.idempotent || p.Class != config.ClassImmediate {
		return e.callOnce(ctx, p, t)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan called, 2)
	run := func(t *dispatch.Ticket) {
		answer, result, err := e.callOnce(ctx, p, t)
		ends <- called{answer, result, err}
	}
	slow := time.NewTimer(e.dispatch.HedgeAfter(t))
	defer slow.Stop()
	go run(t)
	for running := 1; ; {
		select {
		case end := <-ends:
			running--
			if end.result == service.Answered || running == 0 {
				return end.answer, end.result, end.err
			}
		case <-slow.C:
			if second, ok := e.dispatch.Hedge(t); ok {
				running++
				go run(second)
			}
		}
	}
}
