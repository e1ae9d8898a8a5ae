package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
)

// ClaimRetentionHours is the retention of a claim after its last change, in hours.
const ClaimRetentionHours = 24

// Errors of Claims.
var (
	// ErrOtherRequest reports that the key was used for another request; this request did not
	// run.
	ErrOtherRequest = errors.New("idempotency key used for another request")
	// ErrClaimClosed reports that the ticket's claim is closed with another outcome; nothing was
	// recorded.
	ErrClaimClosed = errors.New("the claim is closed already")
)

// ClaimKey identifies a request that may run at most once.
type ClaimKey struct {
	// Account is the client account; equal idempotency keys of two accounts are different
	// claims.
	Account string
	// IdempotencyKey is the key that the caller sent with the request.
	IdempotencyKey string
}

func (k ClaimKey) digest() Key { return MakeKey(SpaceClaim, k.Account, k.IdempotencyKey) }

// Ticket is the permission to dispatch a request exactly once. It exists only in memory: a VM
// that loses it can never dispatch the request.
type Ticket struct {
	// Generation counts the claims of the key; it increases after each StateNotRun.
	Generation uint32
	key        Key
	nonce      uint64
}

// Claim describes the request that holds a key, for the answer to a repeat of that request.
type Claim struct {
	// State is StateOpen only while the claiming VM is known to be alive. An open claim of a VM
	// that is gone, or whose state is not known, is reported as StateUnknown.
	State State
	// Status and Answer are the recorded ones if State is StateDone.
	Status int
	Answer []byte
	// AnswerOmitted is set if the request is done and its answer was too long to record.
	AnswerOmitted bool
	// VM and Incarnation identify the process that claimed the key.
	VM          string
	Incarnation uint64
	Generation  uint32
}

// BeginResult is the result of Claims.Begin: exactly one field is set.
type BeginResult struct {
	// Ticket is set if the request is claimed. The caller dispatches it once and then calls
	// Finish or CloseNotRun.
	Ticket *Ticket
	// Repeat is set if an earlier request holds the key. The caller must not dispatch this one.
	Repeat *Claim
}

// IsAlive reports whether a VM's incarnation is known to be alive. It may be wrong either way:
// "in progress" and "outcome unknown" both forbid another run.
type IsAlive func(vm string, incarnation uint64) bool

// Claims ensures that a request runs at most once.
//
// A claim is durable before any byte is sent to an endpoint. A claim without an outcome is
// never run again and never reported as "not run", because its VM may have dispatched the
// request just before it crashed. CloseNotRun is for the one case that proves the contrary: no
// connection to the endpoint could be made.
type Claims struct {
	ledger  *Ledger
	isAlive IsAlive
	settler settler
}

// NewClaims returns the claims of a ledger. If isAlive is nil, open claims of other VMs are
// reported as unknown.
func NewClaims(l *Ledger, isAlive IsAlive) *Claims {
	c := &Claims{ledger: l, isAlive: isAlive}
	c.settler.ledger = l
	return c
}

// Begin claims a key for a request.
//
// After any error this VM holds no ticket and never dispatches the request, so that the answer
// "not run" is true. If the claim's own write had no reply (ErrUnknown), the entry may exist or
// appear later; Begin then closes it as not-run in the background. Until this succeeds, a
// repeat gets the answer "in progress" or "unknown", which is imprecise but not wrong. If this
// VM crashes first, that lasts until the claim expires.
func (c *Claims) Begin(ctx context.Context, key ClaimKey, f Fingerprint) (BeginResult, error) {
	o := op{
		Kind: opBegin, Key: key.digest(), Nonce: rand.Uint64(), Hours: ClaimRetentionHours, Fingerprint: f,
		VM: c.ledger.settings.VM, Incarnation: c.ledger.settings.Incarnation,
	}
	r, err := c.ledger.execute(ctx, o)
	if errors.Is(err, ErrUnavailable) {
		return BeginResult{}, err
	}
	if err != nil {
		o.Kind = opClose
		c.settler.add(o)
		return BeginResult{}, err
	}
	switch r.Verdict {
	case verdictMine:
		return BeginResult{Ticket: &Ticket{Generation: r.Entry.Generation, key: o.Key, nonce: o.Nonce}}, nil
	case verdictOtherBody:
		return BeginResult{}, ErrOtherRequest
	case verdictOther:
		return BeginResult{Repeat: c.claimOf(r.Entry)}, nil
	}
	return BeginResult{}, ErrUnavailable
}

// claimOf returns an entry's claim for the answer to a repeat.
func (c *Claims) claimOf(e Entry) *Claim {
	out := &Claim{
		State: e.State, Status: int(e.Status), Answer: e.Value, AnswerOmitted: e.Omitted,
		VM: e.VM, Incarnation: e.Incarnation, Generation: e.Generation,
	}
	if e.State == StateOpen && !c.claimantAlive(e) {
		out.State = StateUnknown
	}
	return out
}

func (c *Claims) claimantAlive(e Entry) bool {
	s := c.ledger.settings
	if e.VM == s.VM {
		return e.Incarnation == s.Incarnation
	}
	return c.isAlive != nil && c.isAlive(e.VM, e.Incarnation)
}

// Outcome is the outcome of a dispatched request.
type Outcome struct {
	// Known is false if it can't be determined whether the request ran.
	Known bool
	// Status is the HTTP status of the endpoint's answer.
	Status int
	// Answer is the body of the endpoint's answer. It is recorded unless it is longer than
	// Settings.MaxValue.
	Answer []byte
}

// Finish records the outcome of a dispatched request. If the store can't be reached, the
// outcome is kept and recorded later (see Close). An error other than ErrClaimClosed only means
// that the outcome is not recorded yet; the answer may go to the caller.
func (c *Claims) Finish(ctx context.Context, t *Ticket, out Outcome) error {
	o := op{Kind: opFinish, Key: t.key, Nonce: t.nonce, Hours: ClaimRetentionHours, State: StateUnknown}
	if out.Known {
		o.State, o.Status = StateDone, uint16(out.Status)
		o.Value = out.Answer
	}
	if len(o.Value) > c.ledger.settings.MaxValue {
		o.Value, o.Omitted = nil, true
	}
	return c.recordOutcome(ctx, o)
}

// CloseNotRun records that no byte of the request left this VM, so that a repeat may claim the
// key again. The caller must be certain of it, as after a failed dial; a timeout is not enough.
// The answer "not run" is true whatever the error, which has the same meaning as that of Finish.
func (c *Claims) CloseNotRun(ctx context.Context, t *Ticket) error {
	return c.recordOutcome(ctx, op{Kind: opClose, Key: t.key, Nonce: t.nonce, Hours: ClaimRetentionHours})
}

// recordOutcome changes a claim of this VM, now or, after an error, in the background.
func (c *Claims) recordOutcome(ctx context.Context, o op) error {
	r, err := c.ledger.execute(ctx, o)
	if err != nil {
		c.settler.add(o)
		return err
	}
	if r.Verdict != verdictMine {
		return ErrClaimClosed
	}
	return nil
}

// Close records the pending outcomes until the context ends, then stops the background work. It
// returns how many outcomes remain; their claims stay "unknown" to repeats.
func (c *Claims) Close(ctx context.Context) int { return c.settler.close(ctx) }
