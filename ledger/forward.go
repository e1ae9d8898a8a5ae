package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Timeouts of calls to a shard's owner. The owner collects operations for up to 430 ms and
// writes in milliseconds. It must answer "busy" before the origin stops waiting, and the rest
// of the operation's time must suffice to commit on the origin.
const (
	forwardTimeout = time.Second
	forwardBudget  = 800 * time.Millisecond
)

// peerRequest is the body of a call from an operation's origin to the shard's owner.
type peerRequest struct {
	Op op `cbor:"1,keyasint"`
	// Budget is how long the origin waits, in milliseconds, measured by the owner's own clock.
	// An owner that was suspended then drops the operation; without the budget it would commit it
	// long after the origin went on by itself.
	Budget int64 `cbor:"2,keyasint"`
}

// peerReply is the owner's answer. Unless OK is set, the origin commits by itself or refuses
// the operation.
type peerReply struct {
	OK     bool   `cbor:"1,keyasint"`
	Result result `cbor:"2,keyasint"`
	// NoEffect is set if the operation was refused and will not be carried out.
	NoEffect bool `cbor:"3,keyasint"`
	// Busy is set if the operation's time ended in the owner's queue.
	Busy bool `cbor:"4,keyasint"`
}

// Errors for answers of an owner that did not commit.
var (
	errOwnerFailed = errors.New("the shard's owner can't reach the store")
	errOwnerBusy   = errors.New("the shard's owner is busy")
)

// forwardToOwner lets the shard's owner carry out o. tried reports that the owner may do so,
// now or later, whatever the error. The same operation, with the same nonce, may then be
// carried out on this VM; the later one of the two changes nothing.
func (l *Ledger) forwardToOwner(ctx context.Context, number int, o op) (r result, tried bool, err error) {
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

// HandlePeer serves a call from another VM's Forwarder and returns the encoded answer. It
// commits on this VM even if this VM is not the owner in its own view, because forwarding again
// could lead to a loop.
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
	if l.breaker.wait() > 0 {
		return cbor.Marshal(peerReply{NoEffect: true})
	}
	results, err := l.shard(q.Op.Key.Shard()).submit(ctx, []op{q.Op})
	if err != nil {
		busy := ctx.Err() != nil
		return cbor.Marshal(peerReply{NoEffect: errors.Is(err, ErrUnavailable), Busy: busy})
	}
	return cbor.Marshal(peerReply{OK: true, Result: results[0]})
}
