package vm

import (
	"context"
	"errors"
	"net/http"

	"goldcrestfork/ledger"
	"goldcrestfork/router/entry"
)

// claims is the ledger's claims as the entry asks for them.
type claims struct{ ledger *ledger.Claims }

// Begin implements entry.Claims.
func (c claims) Begin(ctx context.Context, account, key string, body []byte) (entry.Claim, error) {
	start, err := c.ledger.Begin(ctx, ledger.ClaimKey{Account: account, IdempotencyKey: key}, ledger.FingerprintOf(body))
	switch {
	case errors.Is(err, ledger.ErrOtherRequest):
		return entry.Claim{State: entry.ClaimOtherBody}, nil
	case err != nil:
		return entry.Claim{}, errors.Join(entry.ErrClaimsDown, err)
	case start.Ticket != nil:
		return entry.Claim{State: entry.ClaimGranted, Handle: start.Ticket}, nil
	}
	return repeated(start.Repeat), nil
}

// repeated tells a repeat what became of the request that holds its key.
func repeated(r *ledger.Claim) entry.Claim {
	switch r.State {
	case ledger.StateDone:
		return entry.Claim{State: entry.ClaimDone, Answer: r.Answer}
	case ledger.StateOpen:
		return entry.Claim{State: entry.ClaimInProgress}
	}
	return entry.Claim{State: entry.ClaimUnknown}
}

// Finish implements entry.Claims. An outcome that can't be recorded now is kept
// by the ledger and recorded later, so that its error is nobody's to handle here.
func (c claims) Finish(ctx context.Context, claim entry.Claim, answer []byte) {
	out := ledger.Outcome{Known: answer != nil, Status: http.StatusOK, Answer: answer}
	_ = c.ledger.Finish(ctx, claim.Handle.(*ledger.Ticket), out)
}

// CloseNotRun implements entry.Claims; errors are as Finish's.
func (c claims) CloseNotRun(ctx context.Context, claim entry.Claim) {
	_ = c.ledger.CloseNotRun(ctx, claim.Handle.(*ledger.Ticket))
}
