package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
)

// ClaimHours is how long a claim is kept after its last change, in hours.
const ClaimHours = 24

// Errors of Claims.
var (
	// ErrOtherRequest: the key was used for another request; this one did not run.
	ErrOtherRequest = errors.New("idempotency key used for another request")
	// ErrStale: the ticket's claim is closed otherwise; nothing was recorded.
	ErrStale = errors.New("the claim is closed already")
)

// ClaimKey names a request that may run at most once.
type ClaimKey struct {
	// Account is the client account; keys of two accounts never meet.
	Account string
	// IdempotencyKey is the caller's.
	IdempotencyKey string
}

func (k ClaimKey) digest() Key { return MakeKey(SpaceClaim, k.Account, k.IdempotencyKey) }

// Ticket is the right to dispatch a request exactly once. It is not kept
// anywhere: a VM that loses it can never dispatch.
type Ticket struct {
	// Generation counts the key's claims; it grows after each proved not-run.
	Generation uint32
	key        Key
	nonce      uint64
}

// Claim is what a repeat is told of the request that holds its key.
type Claim struct {
	// State is StateOpen only while the claiming VM is known to live; a claim of
	// a VM that is gone or can't be judged is StateUnknown.
	State State
	// Status and Answer are those recorded, when State is StateDone.
	Status int
	Answer []byte
	// AnswerOmitted: the request was done; its answer was too long to record.
	AnswerOmitted bool
	// VM and Incarnation claimed the key.
	VM          string
	Incarnation uint64
	Generation  uint32
}

// Start is the outcome of Begin: exactly one field is set.
type Start struct {
	// Ticket: the request is claimed; dispatch it once, then Finish or CloseNotRun.
	Ticket *Ticket
	// Repeat: an earlier request holds the key; this one must not be dispatched.
	Repeat *Claim
}

// Living tells whether a VM's incarnation is known to be alive. It may be wrong
// either way: "in progress" and "outcome unknown" both forbid another run.
type Living func(vm string, incarnation uint64) bool

// Claims lets requests run at most once.
//
// A claim is durable before a byte goes to an endpoint. A claim without an
// outcome is never run again and never called "not run": its VM may have
// dispatched it a moment before it died. CloseNotRun is for the one case that
// proves the contrary, when no connection to the endpoint was had.
type Claims struct {
	ledger *Ledger
	living Living
	settle settler
}

// NewClaims returns the claims of a ledger; without living, open claims of
// other VMs count as unknown.
func NewClaims(l *Ledger, living Living) *Claims {
	c := &Claims{ledger: l, living: living}
	c.settle.ledger = l
	return c
}

// Begin claims a key for a request.
//
// After any error this VM holds no ticket and will never dispatch the request,
// so that "not run" is true and may be said. When the claim's own write had no
// reply (ErrUnknown), an entry may exist or come to exist all the same: Begin
// then has it closed as not-run in the background. Until that is done a repeat
// is told "in progress" or "unknown", which is imprecise but not untrue; if this
// VM dies first, that lasts until the claim expires.
func (c *Claims) Begin(ctx context.Context, key ClaimKey, f Fingerprint) (Start, error) {
	o := op{
		Kind: opBegin, Key: key.digest(), Nonce: rand.Uint64(), Hours: ClaimHours, Fingerprint: f,
		VM: c.ledger.settings.VM, Incarnation: c.ledger.settings.Incarnation,
	}
	r, err := c.ledger.do(ctx, o)
	if errors.Is(err, ErrUnavailable) {
		return Start{}, err
	}
	if err != nil {
		o.Kind = opClose
		c.settle.add(o)
		return Start{}, err
	}
	switch r.Verdict {
	case verdictMine:
		return Start{Ticket: &Ticket{Generation: r.Entry.Generation, key: o.Key, nonce: o.Nonce}}, nil
	case verdictOtherBody:
		return Start{}, ErrOtherRequest
	case verdictOther:
		return Start{Repeat: c.claim(r.Entry)}, nil
	}
	return Start{}, ErrUnavailable
}

// claim tells a repeat about an entry.
func (c *Claims) claim(e Entry) *Claim {
	out := &Claim{
		State: e.State, Status: int(e.Status), Answer: e.Value, AnswerOmitted: e.Omitted,
		VM: e.VM, Incarnation: e.Incarnation, Generation: e.Generation,
	}
	if e.State == StateOpen && !c.lives(e) {
		out.State = StateUnknown
	}
	return out
}

func (c *Claims) lives(e Entry) bool {
	s := c.ledger.settings
	if e.VM == s.VM {
		return e.Incarnation == s.Incarnation
	}
	return c.living != nil && c.living(e.VM, e.Incarnation)
}

// Outcome is what became of a dispatched request.
type Outcome struct {
	// Known is false when nobody can tell whether the request ran.
	Known bool
	// Status is the endpoint's answer's.
	Status int
	// Answer is recorded while it is not longer than Settings.MaxValue.
	Answer []byte
}

// Finish records the outcome of a dispatched request. When the store can't be
// reached the outcome is kept and recorded later (see Close); the error then
// says only that it isn't recorded yet, and the answer may go to the caller.
func (c *Claims) Finish(ctx context.Context, t *Ticket, out Outcome) error {
	o := op{Kind: opFinish, Key: t.key, Nonce: t.nonce, Hours: ClaimHours, State: StateUnknown}
	if out.Known {
		o.State, o.Status = StateDone, uint16(out.Status)
		o.Value = out.Answer
	}
	if len(o.Value) > c.ledger.settings.MaxValue {
		o.Value, o.Omitted = nil, true
	}
	return c.record(ctx, o)
}

// CloseNotRun records that no byte of the request left this VM, so that a
// repeat may claim the key afresh. The caller must have proof, such as a dial
// that failed; a time-out is none. "Not run" is true, and may be said, whatever
// the error, which is as Finish's.
func (c *Claims) CloseNotRun(ctx context.Context, t *Ticket) error {
	return c.record(ctx, op{Kind: opClose, Key: t.key, Nonce: t.nonce, Hours: ClaimHours})
}

// record changes a claim of this VM, now or later.
func (c *Claims) record(ctx context.Context, o op) error {
	r, err := c.ledger.do(ctx, o)
	if err != nil {
		c.settle.add(o)
		return err
	}
	if r.Verdict != verdictMine {
		return ErrStale
	}
	return nil
}

// Close records what is still owed, until the context ends, and ends the
// background work; it gives how many outcomes remain. Their claims stay
// "unknown" to repeats.
func (c *Claims) Close(ctx context.Context) int { return c.settle.drain(ctx) }
