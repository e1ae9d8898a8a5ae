package upstream

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// streamRate, in bytes a second, and streamBurst bound what a VM takes of the streams of one endpoint
	// together. An endpoint that generates 10,000 tokens a second sends less than half of it.
	streamRate  = 2 << 20
	streamBurst = 4 << 20
	// bodyRate and bodyBurst bound the same of other answers that don't state their length, and of which
	// each may be as long as the VM's bound on answers.
	bodyRate  = 32 << 20
	bodyBurst = 32 << 20
	// maxStreamDelay is for how long the bound may hold up one stream. An endpoint that sends faster for
	// longer sends no tokens.
	maxStreamDelay = time.Second
	// maxFramingOverhead and framingShare bound the bytes of an answer that only frame its content: a
	// reader of tiny chunks takes more time for each byte than the VM has.
	maxFramingOverhead = 128 << 10
	framingShare       = 3
)

// ErrNoAnswer is in the errors of connections whose bytes can't be an answer, and of which more may come.
var ErrNoAnswer = errors.New("the endpoint's bytes are no answer")

var (
	errWastefulFraming = fmt.Errorf("%w: the chunks hold too little", ErrNoAnswer)
	errStreamTooFast   = fmt.Errorf("%w: its streams are faster than tokens are generated", ErrNoAnswer)
)

// checkFraming returns an error if too much of an answer's bytes was framing so far.
func (a *Answer) checkFraming() error {
	taken := a.conn.received - int64(a.conn.r.Buffered()+a.body.Buffered()) - a.bodyStart
	if taken-a.content > maxFramingOverhead+a.content/framingShare {
		return errWastefulFraming
	}
	return nil
}

// intake bounds the bytes of one endpoint's answers.
type intake struct{ streams, bodies *rate.Limiter }

// intakeOf returns the bounds on an endpoint's answers.
func (p *Pool) intakeOf(addr string) *intake {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.intakes[addr]
	if in == nil {
		in = &intake{streams: rate.NewLimiter(streamRate, streamBurst), bodies: rate.NewLimiter(bodyRate, bodyBurst)}
		p.intakes[addr] = in
	}
	return in
}

// PaceStream waits until the VM may take n more bytes of the endpoint's streams, which must be less than
// streamBurst. It returns an error if the stream must end.
func (a *Answer) PaceStream(ctx context.Context, n int) error {
	return a.pace(ctx, a.pool.intakeOf(a.addr).streams, n, maxStreamDelay)
}

// PaceBody waits until the VM may take n more bytes of the endpoint's other answers, which must be less than
// bodyBurst, if this one doesn't state its length.
func (a *Answer) PaceBody(ctx context.Context, n int) error {
	if a.Length >= 0 {
		return nil
	}
	return a.pace(ctx, a.pool.intakeOf(a.addr).bodies, n, math.MaxInt64)
}

func (a *Answer) pace(ctx context.Context, l *rate.Limiter, n int, most time.Duration) error {
	now := time.Now()
	r := l.ReserveN(now, n)
	wait := r.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	if a.delayed += wait; a.delayed > most {
		r.CancelAt(now)
		return errStreamTooFast
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
