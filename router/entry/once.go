package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/router/engine"
	"goldcrestfork/router/refusal"
	"goldcrestfork/router/service"
)

// ClaimState is the state of a claim at the time of a request for it.
type ClaimState int

// The states of a claim.
const (
	// ClaimGranted: the claim is granted to this request, which may be dispatched once.
	ClaimGranted ClaimState = iota
	// ClaimDone: an earlier send ran; its answer is recorded unless it was too long.
	ClaimDone
	// ClaimInProgress: an earlier send holds the claim and may still finish.
	ClaimInProgress
	// ClaimUnknown: an earlier send may have run; its outcome can't be determined.
	ClaimUnknown
	// ClaimOtherBody: the key was used for a different request.
	ClaimOtherBody
)

// Claim is a request's claim on its Idempotency-Key.
type Claim struct {
	State ClaimState
	// Answer is the recorded answer of ClaimDone; nil if it was too long to keep.
	Answer []byte
	// Handle is private to the implementation of Claims.
	Handle any
}

// ErrClaimsDown is returned if the store does not answer: no key was claimed and no
// state could be read.
var ErrClaimsDown = errors.New("the platform's store does not answer")

// Claims decides which send of a request runs. While the store is down, Finish and
// CloseNotRun return at once and keep trying in the background.
type Claims interface {
	// Begin claims a key durably. After an error the request must not be dispatched.
	Begin(ctx context.Context, account, key string, body []byte) (Claim, error)
	// Finish records the outcome: the answer, or, if answer is nil, that the outcome is
	// unknown.
	Finish(ctx context.Context, c Claim, answer []byte)
	// CloseNotRun records that certainly no byte was sent; the key may be claimed again.
	CloseNotRun(ctx context.Context, c Claim)
}

// recorded is an answer as stored for repeated sends.
type recorded struct {
	Status  int         `cbor:"1,keyasint"`
	Header  http.Header `cbor:"2,keyasint,omitempty"`
	Body    []byte      `cbor:"3,keyasint,omitempty"`
	Version string      `cbor:"4,keyasint,omitempty"`
}

// claim claims the key of a request. It returns a refusal, the recorded answer of an
// earlier send, or neither, in which case this request is to be dispatched.
func (e *Entry) claim(ctx context.Context, c *Caller, body []byte) (Claim, *recorded, *refusal.Refusal) {
	claim, err := e.claims.Begin(ctx, c.Account.Name, c.Key, body)
	if err != nil {
		e.metrics.claims.WithLabelValues("store-down").Inc()
		return claim, nil, storeDownRefusal(c)
	}
	switch claim.State {
	case ClaimGranted:
		e.metrics.claims.WithLabelValues("mine").Inc()
		return claim, nil, nil
	case ClaimDone:
		e.metrics.claims.WithLabelValues("repeat").Inc()
		return recordedAnswer(claim)
	case ClaimInProgress:
		e.metrics.claims.WithLabelValues("in-progress").Inc()
		return claim, nil, refusal.New(http.StatusConflict, refusal.InProgress, "an earlier send of this key is under way").WithRan(refusal.Unknown).WithRetryAfter(retryDelay)
	case ClaimOtherBody:
		e.metrics.claims.WithLabelValues("other-body").Inc()
		return claim, nil, refusal.New(http.StatusUnprocessableEntity, refusal.KeyReused, "the key was used for another request")
	default:
		e.metrics.claims.WithLabelValues("unknown").Inc()
		return claim, nil, refusal.New(http.StatusConflict, refusal.OutcomeUnknown, "an earlier send of this key may have run; it will not be run again").WithRan(refusal.Unknown)
	}
}

// storeDownRefusal refuses a keyed request while its claim can't be written. This send
// did not run, but an earlier send of the key may have: a caller that receives "not run"
// might then perform the action a second time elsewhere. Only a caller that declares its
// first send receives "not run".
func storeDownRefusal(c *Caller) *refusal.Refusal {
	r := refusal.New(http.StatusServiceUnavailable, refusal.StoreDown, "the claim can't be recorded now; this send was not run").WithRetryAfter(storeRetryDelay)
	if !c.FirstSend {
		r.Detail += "; whether an earlier send of the key ran can't be read (send " + HeaderAttempt + ": 1 with a first send)"
		r.Ran = refusal.Unknown
	}
	return r
}

// storeRetryDelay is the delay after which callers may retry while the store is down.
// The store answers in milliseconds when it is up, and its outages are long; a few
// seconds detect their end soon without a burst of retries.
const storeRetryDelay = 5 * time.Second

// recordedAnswer decodes the recorded answer of a claim.
func recordedAnswer(claim Claim) (Claim, *recorded, *refusal.Refusal) {
	var r recorded
	if claim.Answer == nil || cbor.Unmarshal(claim.Answer, &r) != nil {
		return claim, nil, refusal.New(http.StatusConflict, refusal.AnswerNotKept, "the request ran once; its answer was too long to keep").WithRan(refusal.DidRun)
	}
	return claim, &r, nil
}

// settleClaim records how a keyed request ended.
func (e *Entry) settleClaim(ctx context.Context, claim Claim, bad *refusal.Refusal, answer *recorded) {
	// The outcome is recorded even if the caller has disconnected.
	ctx = context.WithoutCancel(ctx)
	switch {
	case bad == nil:
		// The struct holds only plain values, so encoding can't fail.
		raw, _ := cbor.Marshal(answer)
		e.claims.Finish(ctx, claim, raw)
	case bad.Ran == refusal.NotRun:
		e.claims.CloseNotRun(ctx, claim)
	default:
		e.claims.Finish(ctx, claim, nil)
	}
}

// plainOnce runs a call of a plain service that may run at most once.
func (e *Entry) plainOnce(ctx context.Context, w http.ResponseWriter, p *plainRequest) *refusal.Refusal {
	claim, earlier, bad := e.claim(ctx, p.Caller, claimBody(p.method+" "+p.service+p.path, p.body))
	if bad != nil {
		return bad
	}
	if earlier != nil {
		w.Header().Set(HeaderReplayed, "true")
		writeAnswer(w, service.Answer{Status: earlier.Status, Header: earlier.Header, Body: earlier.Body})
		return nil
	}
	answer, bad := e.callService(ctx, p)
	keep := recorded{Status: answer.Status, Header: filterHeader(answer.Header), Body: answer.Body}
	e.settleClaim(ctx, claim, bad, &keep)
	if bad != nil {
		return bad
	}
	e.billPlain(p)
	e.metrics.answers.WithLabelValues("plain").Inc()
	writeAnswer(w, answer)
	return nil
}

// claimBody returns the content that must be identical in each send of a key.
func claimBody(target string, body []byte) []byte {
	return append([]byte(target+"\x00"), body...)
}

// filterHeader returns the headers of a service's answer that the caller receives.
func filterHeader(h http.Header) http.Header {
	out := http.Header{}
	for _, k := range passedHeaders {
		if v := h.Values(k); len(v) > 0 {
			out[k] = v
		}
	}
	return out
}

// chatOnce runs a completion with an Idempotency-Key: the first send runs, and each
// repeated send gets the recorded answer.
func (e *Entry) chatOnce(ctx context.Context, c *chatRequest, a *answer) *refusal.Refusal {
	claim, earlier, bad := e.claim(ctx, c.Caller, claimBody("chat", c.raw))
	if bad != nil {
		return bad
	}
	if earlier != nil {
		return a.replay(earlier)
	}
	plan, bad := e.planSteps(c)
	if bad != nil {
		e.claims.CloseNotRun(context.WithoutCancel(ctx), claim)
		return bad
	}
	fin := e.runCascade(ctx, c, a, plan)
	var keep recorded
	if fin.refusal == nil {
		// Encoding a completion can't fail.
		body, _ := json.Marshal(newCompletion(c, fin.stream))
		keep = recorded{Status: http.StatusOK, Body: body, Version: c.version}
	}
	e.settleClaim(ctx, claim, fin.refusal, &keep)
	e.bill(c, fin)
	return e.finish(a, fin)
}

// replay sends the recorded answer of an earlier send.
func (a *answer) replay(r *recorded) *refusal.Refusal {
	a.w.Header().Set(HeaderReplayed, "true")
	a.c.version = r.Version
	var doc completion
	if err := json.Unmarshal(r.Body, &doc); err != nil || len(doc.Choices) == 0 {
		return refusal.New(http.StatusConflict, refusal.AnswerNotKept, "the recorded answer can't be read").WithRan(refusal.DidRun)
	}
	if !a.c.body.Stream {
		a.setHeaders()
		a.w.Header().Set("Content-Type", "application/json")
		_, _ = a.w.Write(r.Body)
		return nil
	}
	s := &engine.Stream{Finish: doc.Choices[0].FinishReason, Usage: doc.Usage}
	f := engine.WholeFrame(doc.ID, doc.Choices[0].Message.Content, s.Finish, s.Usage)
	a.c.signResume = nil
	if err := a.writeFrame(f); err != nil {
		return nil
	}
	return a.finish(requestEnd{stream: s})
}
