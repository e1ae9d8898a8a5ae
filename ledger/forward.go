package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Waits for a shard's owner. Grounds: the owner gathers for up to 430 ms and
// writes in milliseconds; it must say "busy" before its origin stops waiting,
// and what is left of the operation's time must suffice to commit here.
const (
	forwardTimeout = time.Second
	forwardBudget  = 800 * time.Millisecond
)

// peerRequest is the body of a call to a shard's owner.
type peerRequest struct {
	Op op `cbor:"1,keyasint"`
	// Budget is how long the origin waits, in milliseconds, on the owner's own
	// clock: an owner that was frozen drops the operation instead of carrying it
	// out long after its origin has gone another way.
	Budget int64 `cbor:"2,keyasint"`
}

// peerReply is its answer; without OK the origin goes on by itself.
type peerReply struct {
	OK     bool   `cbor:"1,keyasint"`
	Result result `cbor:"2,keyasint"`
	// NoEffect: the operation was refused and will not be carried out.
	NoEffect bool `cbor:"3,keyasint"`
	// Busy: the operation's time ran out in the owner's queue.
	Busy bool `cbor:"4,keyasint"`
}

// Answers of an owner that did not commit.
var (
	errOwnerFailed = errors.New("the shard's owner can't reach the store")
	errOwnerBusy   = errors.New("the shard's owner is busy")
)

// atOwner lets the shard's owner carry out o. tried says that the owner may do
// so, now or later, whatever the error: then the same operation, by its nonce,
// is carried out here, and whichever comes second changes nothing.
func (l *Ledger) atOwner(ctx context.Context, number int, o op) (r result, tried bool, err error) {
	if l.forward == nil {
		return result{}, false, nil
	}
	vm, self := l.forward.Owner(number)
	if self || vm == "" {
		return result{}, false, nil
	}
	body, err := cbor.Marshal(peerRequest{Op: o, Budget: forwardBudget.Milliseconds()})
	if err != nil {
		return result{}, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := l.forward.Forward(ctx, vm, body)
	if err != nil {
		l.metrics.forwards.WithLabelValues("failed").Inc()
		return result{}, true, err
	}
	var p peerReply
	if err := cbor.Unmarshal(reply, &p); err != nil {
		return result{}, true, err
	}
	if p.Busy {
		l.metrics.forwards.WithLabelValues("busy").Inc()
		return result{}, !p.NoEffect, errOwnerBusy
	}
	if !p.OK {
		l.metrics.forwards.WithLabelValues("refused").Inc()
		return result{}, !p.NoEffect, errOwnerFailed
	}
	l.metrics.forwards.WithLabelValues("ok").Inc()
	return p.Result, true, nil
}

// HandlePeer serves a call that another VM's Forwarder made. It commits here
// even if this VM does not think itself the owner: passing it on could go round.
func (l *Ledger) HandlePeer(ctx context.Context, body []byte) ([]byte, error) {
	var q peerRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, trace.BadParameter("ledger: unreadable peer call: %v", err)
	}
	if len(q.Op.Value) > l.settings.MaxValue {
		return nil, trace.BadParameter("ledger: value of %d bytes", len(q.Op.Value))
	}
	budget := min(time.Duration(q.Budget)*time.Millisecond, l.settings.Timeout)
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	if l.gate.wait() > 0 {
		return cbor.Marshal(peerReply{NoEffect: true})
	}
	results, err := l.shard(q.Op.Key.Shard()).submit(ctx, []op{q.Op})
	if err != nil {
		busy := ctx.Err() != nil
		return cbor.Marshal(peerReply{NoEffect: errors.Is(err, ErrUnavailable), Busy: busy})
	}
	return cbor.Marshal(peerReply{OK: true, Result: results[0]})
}
