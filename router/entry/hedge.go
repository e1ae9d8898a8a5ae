package entry

import (
	"context"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/router/dispatch"
	"goldcrestfork/router/service"
)

// callEnd is the end of one of two parallel attempts.
type callEnd struct {
	answer service.Answer
	result service.Result
	err    error
}

// callHedged makes a call and, if it is slow, a second one at another endpoint in
// parallel. The first answer is used; the other call is cancelled and not counted
// against its endpoint.
//
// Load pattern: calls of class immediate while one endpoint is slow. Without a hedge
// each call sent to this endpoint waits for it. A hedge is extra work that is charged to
// the retry budget, so it is only made for idempotent calls of class immediate.
func (e *Entry) callHedged(ctx context.Context, p *plainRequest, t *dispatch.Ticket) (service.Answer, service.Result, error) {
	if !p.idempotent || p.Class != config.ClassImmediate {
		return e.runCall(ctx, p, t)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan callEnd, 2)
	run := func(t *dispatch.Ticket) {
		answer, result, err := e.runCall(ctx, p, t)
		ends <- callEnd{answer, result, err}
	}
	hedgeTimer := time.NewTimer(e.dispatch.HedgeAfter(t))
	defer hedgeTimer.Stop()
	go run(t)
	for running := 1; ; {
		select {
		case end := <-ends:
			running--
			if end.result == service.Answered || running == 0 {
				return end.answer, end.result, end.err
			}
		case <-hedgeTimer.C:
			if second, ok := e.dispatch.Hedge(t); ok {
				running++
				go run(second)
			}
		}
	}
}
