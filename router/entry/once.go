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

// ClaimState is how a claim stands when a request asks for it.
type ClaimState int

// The states of a claim.
const (
	// ClaimMine: this request may be dispatched, once.
	ClaimMine ClaimState = iota
	// ClaimDone: an earlier send ran; its answer is recorded, if it wasn't too long.
	ClaimDone
	// ClaimOpen: an earlier send holds the claim and may still finish.
	ClaimOpen
	// ClaimUnknown: an earlier send may have run; nobody can tell.
	ClaimUnknown
	// ClaimOtherBody: the key was used for another request.
	ClaimOtherBody
)

// Claim is one request's hold on its key.
type Claim struct {
	State ClaimState
	// Answer is the recorded answer of ClaimDone; nil when it was too long to keep.
	Answer []byte
	// Handle is the claims' own.
	Handle any
}

// ErrClaimsDown: nothing was claimed and nothing could be read.
var ErrClaimsDown = errors.New("the platform's store does not answer")

// Claims decides which send of a request runs. Finish and CloseNotRun keep at it
// in the background when the store is down; they return at once then.
type Claims interface {
	// Begin claims a key durably. After an error the request must not be dispatched.
	Begin(ctx context.Context, account, key string, body []byte) (Claim, error)
	// Finish records the outcome: the answer, or with answer nil that it is unknown.
	Finish(ctx context.Context, c Claim, answer []byte)
	// CloseNotRun records that certainly no byte was sent; the key may be claimed again.
	CloseNotRun(ctx context.Context, c Claim)
}

// recorded is an answer as kept for repeats.
type recorded struct {
	Status  int         `cbor:"1,keyasint"`
	Header  http.Header `cbor:"2,keyasint,omitempty"`
	Body    []byte      `cbor:"3,keyasint,omitempty"`
	Version string      `cbor:"4,keyasint,omitempty"`
}

// claim begins a keyed request. Without a refusal it is this request's to dispatch,
// or the recorded answer is returned.
func (e *Entry) claim(ctx context.Context, c *Caller, body []byte) (Claim, *recorded, *refusal.Refusal) {
	claim, err := e.claims.Begin(ctx, c.Account.Name, c.Key, body)
	if err != nil {
		e.metrics.claims.WithLabelValues("store-down").Inc()
		return claim, nil, storeDown(c)
	}
	switch claim.State {
	case ClaimMine:
		e.metrics.claims.WithLabelValues("mine").Inc()
		return claim, nil, nil
	case ClaimDone:
		e.metrics.claims.WithLabelValues("repeat").Inc()
		return replay(claim)
	case ClaimOpen:
		e.metrics.claims.WithLabelValues("in-progress").Inc()
		return claim, nil, refusal.New(http.StatusConflict, refusal.InProgress, "an earlier send of this key is under way").WhichRan(refusal.Unknown).After(comeBack)
	case ClaimOtherBody:
		e.metrics.claims.WithLabelValues("other-body").Inc()
		return claim, nil, refusal.New(http.StatusUnprocessableEntity, refusal.KeyReused, "the key was used for another request")
	default:
		e.metrics.claims.WithLabelValues("unknown").Inc()
		return claim, nil, refusal.New(http.StatusConflict, refusal.OutcomeUnknown, "an earlier send of this key may have run; it will not be run again").WhichRan(refusal.Unknown)
	}
}

// storeDown refuses a keyed request while its claim can't be written. This send
// did not run; but an earlier send of the key may have, and a caller that is told
// "not run" then would book the action a second time elsewhere. Only a caller
// that says this is its first send can be told for certain.
func storeDown(c *Caller) *refusal.Refusal {
	r := refusal.New(http.StatusServiceUnavailable, refusal.StoreDown, "the claim can't be recorded now; this send was not run").After(storeRetry)
	if !c.FirstSend {
		r.Detail += "; whether an earlier send of the key ran can't be read (send " + HeaderAttempt + ": 1 with a first send)"
		r.Ran = refusal.Unknown
	}
	return r
}

// storeRetry is when to come back while the store is down. Grounds: it answers in
// milliseconds when it is up, and its outages are long (brief); a few seconds
// find its end soon without a crowd at the door.
const storeRetry = 5 * time.Second

func replay(claim Claim) (Claim, *recorded, *refusal.Refusal) {
	var r recorded
	if claim.Answer == nil || cbor.Unmarshal(claim.Answer, &r) != nil {
		return claim, nil, refusal.New(http.StatusConflict, refusal.AnswerNotKept, "the request ran once; its answer was too long to keep").WhichRan(refusal.DidRun)
	}
	return claim, &r, nil
}

// settle records how a keyed request ended.
func (e *Entry) settle(ctx context.Context, claim Claim, bad *refusal.Refusal, answer *recorded) {
	// The outcome outlives the caller's patience.
	ctx = context.WithoutCancel(ctx)
	switch {
	case bad == nil:
		// The struct holds only plain values; encoding cannot fail.
		raw, _ := cbor.Marshal(answer)
		e.claims.Finish(ctx, claim, raw)
	case bad.Ran == refusal.NotRun:
		e.claims.CloseNotRun(ctx, claim)
	default:
		e.claims.Finish(ctx, claim, nil)
	}
}

// plainOnce runs a call of a plain service that may run at most once.
func (e *Entry) plainOnce(ctx context.Context, w http.ResponseWriter, p *plain) *refusal.Refusal {
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
	keep := recorded{Status: answer.Status, Header: keptHeader(answer.Header), Body: answer.Body}
	e.settle(ctx, claim, bad, &keep)
	if bad != nil {
		return bad
	}
	e.billPlain(p)
	e.metrics.answers.WithLabelValues("plain").Inc()
	writeAnswer(w, answer)
	return nil
}

// claimBody is what must be the same in each send of a key.
func claimBody(target string, body []byte) []byte {
	return append([]byte(target+"\x00"), body...)
}

func keptHeader(h http.Header) http.Header {
	out := http.Header{}
	for _, k := range passed {
		if v := h.Values(k); len(v) > 0 {
			out[k] = v
		}
	}
	return out
}

// chatOnce runs a completion with an Idempotency-Key: the first send runs, each
// repeat gets the recorded answer.
func (e *Entry) chatOnce(ctx context.Context, c *chat, a *answer) *refusal.Refusal {
	claim, earlier, bad := e.claim(ctx, c.Caller, claimBody("chat", c.raw))
	if bad != nil {
		return bad
	}
	if earlier != nil {
		return a.replay(earlier)
	}
	plan, bad := e.plan(c)
	if bad != nil {
		e.claims.CloseNotRun(context.WithoutCancel(ctx), claim)
		return bad
	}
	fin := e.cascaded(ctx, c, a, plan)
	var keep recorded
	if fin.refusal == nil {
		// A completion always encodes.
		body, _ := json.Marshal(newCompletion(c, fin.stream))
		keep = recorded{Status: http.StatusOK, Body: body, Version: c.version}
	}
	e.settle(ctx, claim, fin.refusal, &keep)
	e.bill(c, fin)
	return e.finish(a, fin)
}

// replay answers with what an earlier send got.
func (a *answer) replay(r *recorded) *refusal.Refusal {
	a.w.Header().Set(HeaderReplayed, "true")
	a.c.version = r.Version
	var doc completion
	if err := json.Unmarshal(r.Body, &doc); err != nil || len(doc.Choices) == 0 {
		return refusal.New(http.StatusConflict, refusal.AnswerNotKept, "the recorded answer can't be read").WhichRan(refusal.DidRun)
	}
	if !a.c.body.Stream {
		a.head()
		a.w.Header().Set("Content-Type", "application/json")
		_, _ = a.w.Write(r.Body)
		return nil
	}
	s := &engine.Stream{Finish: doc.Choices[0].FinishReason, Usage: doc.Usage}
	f := engine.WholeFrame(doc.ID, doc.Choices[0].Message.Content, s.Finish, s.Usage)
	a.c.sign = nil
	if err := a.frame(f); err != nil {
		return nil
	}
	return a.finish(end{stream: s})
}
