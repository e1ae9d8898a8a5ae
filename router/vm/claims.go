package vm

import (
	"context"
	"errors"
	"net/http"

	"goldcrestfork/ledger"
	"goldcrestfork/router/entry"
)

// claims adapts the ledger's claims to entry.Claims.
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
	return repeatedClaim(start.Repeat), nil
}

// repeatedClaim converts the claim of an earlier request with the same key.
func repeatedClaim(r *ledger.Claim) entry.Claim {
	switch r.State {
	case ledger.StateDone:
		return entry.Claim{State: entry.ClaimDone, Answer: r.Answer}
	case ledger.StateOpen:
		return entry.Claim{State: entry.ClaimInProgress}
	}
	return entry.Claim{State: entry.ClaimUnknown}
}

// Finish implements entry.Claims. The ledger keeps an outcome that it can't record now
// and retries it, so the error needs no handling here.
func (c claims) Finish(ctx context.Context, claim entry.Claim, answer []byte) {
	out := ledger.Outcome{Known: answer != nil, Status: http.StatusOK, Answer: answer}
	_ = c.ledger.Finish(ctx, claim.Handle.(*ledger.Ticket), out)
}

// CloseNotRun implements entry.Claims. Errors are ignored for the same reason as in Finish.
func (c claims) CloseNotRun(ctx context.Context, claim entry.Claim) {
	_ = c.ledger.CloseNotRun(ctx, claim.Handle.(*ledger.Ticket))
}
