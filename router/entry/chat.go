package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestfork/config"
	"goldcrestfork/policy/poison"
	"goldcrestfork/policy/rollout"
	"goldcrestfork/policy/room"
	"goldcrestfork/router/dispatch"
	"goldcrestfork/router/engine"
	"goldcrestfork/router/listen"
	"goldcrestfork/router/refusal"
)

// MaxBody bounds a caller's body, in bytes. A prompt of 200,000 tokens takes about 1 MB.
const MaxBody = 2 << 20

// defaultTokens is the size assumed for a request without max_tokens. Only the queue's
// estimate uses it.
const defaultTokens = 256

// blockBytes is the length of one hashed block of a prompt. It corresponds to the blocks
// that an engine caches: a block of 64 tokens takes about 256 bytes.
const blockBytes = 256

// maxBlocks bounds the hashes kept of one prompt. Beyond a common prefix of 16 KB, more
// hashes do not distinguish endpoints any further.
const maxBlocks = 64

// chatRequest is one completion request in progress.
type chatRequest struct {
	*Caller
	body   *engine.Body
	raw    []byte
	prefix []uint64
	parts  []poison.Fingerprint // see dispatch.Need
	// version is the version that must answer. newPin and movedFrom inform the caller
	// about its session: the token to send next, and the version that the session had to
	// leave.
	version   string
	newPin    string
	movedFrom string
	// sentPin is the session token that the caller sent.
	sentPin string
	// engineID is the request's id at the engines; each step of a cascade has its own.
	engineID string
	// task is the caller's label for the kind of request.
	task string
	// arm is the side of a roll-out's comparison that the outcome counts for.
	arm rollout.Arm
	// rollOut is the roll-out by which arm was chosen, at the revision of the choice.
	rollOut *config.RollOut
	// rated is set once the answer's rating is recorded.
	rated bool
	// resume and resumeFrom are the stream to resume and the position to resume from.
	resume     *resumeToken
	resumeFrom int
	// signResume signs resume tokens; nil if the answer can't be resumed.
	signResume func(resumeToken) string
}

// chatBytes and plainBytes are what a body takes for each of its bytes while its request runs: that of a completion
// as read, as fields and prompt, and as sent to an engine; that of a call of a plain service as read and as claimed.
const chatBytes, plainBytes = 4, 2

// heldBody counts the memory of one request's body.
type heldBody struct {
	room    *room.Bytes
	account string
	cost    int64 // for each byte
	bytes   int64
}

func (h *heldBody) take(n int64) bool {
	if !h.room.Take(h.account, h.cost*n) {
		return false
	}
	h.bytes += n
	return true
}

func (h *heldBody) release(n int64) {
	h.room.Release(h.account, h.cost*n)
	h.bytes -= n
}

// readBody reads a whole body of MaxBody bytes at most for which the VM has room; each of its bytes takes cost bytes.
// A body of stated length counts before it is read, up to that limit, so that bodies that arrive at once stay within
// the bound. done ends the count.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, c *Caller, cost int64) (raw []byte, done func(), bad *refusal.Refusal) {
	h := &heldBody{room: e.bodies, account: c.Account.Name, cost: cost}
	done = func() { h.release(h.bytes) }
	err := error(listen.ErrNoRoom)
	if h.take(min(max(r.ContentLength, 0), MaxBody)) {
		releaseDeadline := limitBodyRead(w, c)
		if raw, err = listen.ReadBody(r.Body, r.ContentLength, MaxBody, h.take, h.release); err == nil {
			releaseDeadline()
			return raw, done, nil
		}
	}
	done()
	switch {
	case errors.Is(err, listen.ErrNoRoom):
		return nil, nil, refusal.New(http.StatusServiceUnavailable, refusal.Overloaded, "the VM holds as many bodies as it may").WithRetryAfter(retryDelay)
	case errors.Is(err, listen.ErrBodyTooLong):
		return nil, nil, refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "a body takes at most %d bytes", MaxBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, nil, refusal.New(http.StatusRequestTimeout, refusal.BadRequest, "the body did not arrive in time")
	}
	return nil, nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "the body did not arrive whole")
}

// parseChat parses a completion request.
func parseChat(raw []byte, c *Caller) (*chatRequest, *refusal.Refusal) {
	body, err := engine.ParseBody(raw)
	if err != nil {
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "the body is not a completion request: %v", err)
	}
	if body.Model == "" {
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "the body names no model")
	}
	if len(body.Messages) == 0 || string(body.Messages) == "null" {
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "the body holds no messages")
	}
	if body.MaxTokens < 0 {
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "max_tokens is negative")
	}
	return &chatRequest{Caller: c, body: body, raw: raw, prefix: hashBlocks(body.Messages), parts: sharedMessages(body.Messages)}, nil
}

// hashBlocks hashes the prompt's leading blocks; each hash covers all blocks up to its
// own.
func hashBlocks(prompt []byte) []uint64 {
	n := min(len(prompt)/blockBytes, maxBlocks)
	if n == 0 {
		return nil
	}
	out := make([]uint64, n)
	h := xxhash.New()
	for i := range out {
		_, _ = h.Write(prompt[i*blockBytes : (i+1)*blockBytes])
		out[i] = h.Sum64()
	}
	return out
}

// maxSharedMessages bounds the messages of one prompt that are examined after a crash.
const maxSharedMessages = 64

// sharedMessages returns the fingerprints of a prompt's messages but for the last, which belongs to the
// request alone. A prompt that isn't a list of messages has none.
func sharedMessages(prompt json.RawMessage) (out []poison.Fingerprint) {
	if len(prompt) == 0 || prompt[0] != '[' {
		return nil
	}
	var last []byte
	for m := range engine.Elements(prompt) {
		if last != nil {
			if f := poison.NewPart(string(last)); !slices.Contains(out, f) {
				out = append(out, f)
			}
		}
		if last = m; len(out) == maxSharedMessages {
			break
		}
	}
	return out
}

// newStream returns the stream of the answer, which begins at the position to resume
// from.
func (c *chatRequest) newStream(endpoint string) *engine.Stream {
	if c.resume != nil {
		return engine.NewResumedStream(c.resumeFrom, endpoint)
	}
	return &engine.Stream{}
}

// resumeEndpoint returns the endpoint that holds the stream to resume, or "".
func (c *chatRequest) resumeEndpoint() string {
	if c.resume == nil {
		return ""
	}
	return c.resume.Endpoint
}

// need returns the request's requirements for the dispatcher.
func (c *chatRequest) need() *dispatch.Need {
	n := &dispatch.Need{
		RequestID:   c.RequestID,
		Account:     c.Account,
		Class:       c.Class,
		Deadline:    c.Deadline,
		Size:        c.expectedTokens(),
		Pool:        c.version,
		Prefix:      c.prefix,
		Fingerprint: poison.NewFingerprint(c.Account.Name, c.body.Model, c.raw),
		Parts:       c.parts,
		Idempotent:  c.Key == "",
	}
	if c.resume != nil {
		n.OnlyEndpoint = c.resume.Endpoint
	}
	return n
}

// expectedTokens returns max_tokens, or defaultTokens if the caller sets none.
func (c *chatRequest) expectedTokens() float64 {
	if c.body.MaxTokens > 0 {
		return float64(c.body.MaxTokens)
	}
	return defaultTokens
}

// handleChat serves POST /v1/chat/completions.
func (e *Entry) handleChat(w http.ResponseWriter, r *http.Request) {
	caller, bad := e.admit(r)
	if bad != nil {
		e.refuse(w, bad, "")
		return
	}
	w.Header().Set(HeaderRequestID, caller.RequestID)
	raw, done, bad := e.readBody(w, r, caller, chatBytes)
	if bad == nil {
		defer done()
		bad = e.serveChat(w, r, raw, caller)
	}
	if bad != nil {
		e.refuse(w, bad, caller.RequestID)
	}
}

// serveChat runs a request whose body has been read. A refusal that it returns has not
// been sent yet.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request, raw []byte, caller *Caller) *refusal.Refusal {
	c, bad := parseChat(raw, caller)
	if bad != nil {
		return bad
	}
	c.sentPin, c.task = r.Header.Get(HeaderPin), r.Header.Get(HeaderTask)
	if bad = e.readResume(r, c); bad != nil {
		return bad
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	if bad = e.chooseVersion(ctx, c); bad != nil {
		return bad
	}
	a := newAnswer(w, c)
	if c.Key != "" {
		return e.chatOnce(ctx, c, a)
	}
	plan, bad := e.planSteps(c)
	if bad != nil {
		return bad
	}
	fin := e.runCascade(ctx, c, a, plan)
	e.bill(c, fin)
	e.rateInBackground(ctx, c, fin)
	return e.finish(a, fin)
}

// finish ends a caller's answer and counts it. A refusal that it returns has not been
// sent yet.
func (e *Entry) finish(a *answer, fin requestEnd) *refusal.Refusal {
	switch {
	case fin.refusal == nil:
		e.metrics.answers.WithLabelValues("completion").Inc()
	case a.started:
		// The refusal is sent as the stream's last event. Refusals that are returned are
		// counted when they are sent.
		e.metrics.refusals.WithLabelValues(string(fin.refusal.Code), string(fin.refusal.Ran)).Inc()
	}
	return a.finish(fin)
}

// requestEnd is how a request ended over all its attempts.
type requestEnd struct {
	// refusal is nil if the answer is complete.
	refusal *refusal.Refusal
	// stream holds what was passed on to the caller.
	stream *engine.Stream
	// ran is what is known, over all attempts, about whether an endpoint ran the request.
	ran refusal.Ran
	// version is the version of the last attempt.
	version string
	// cost is the cost of all steps, in micro-units.
	cost int64
}

// runAttempts runs a request at one endpoint after another until the answer is complete,
// the caller has disconnected, or the retry budget allows no further attempt.
func (e *Entry) runAttempts(ctx context.Context, c *chatRequest, a *answer) requestEnd {
	fin := requestEnd{stream: c.newStream(e.dispatch.Address(c.resumeEndpoint())), version: c.version, ran: refusal.NotRun}
	n := c.need()
	for {
		t, bad := e.acquire(ctx, c, n, fin.stream.Next > 0)
		if bad != nil {
			return fin.withRefusal(bad)
		}
		o := e.runAttempt(ctx, c, a, t, &fin)
		switch o.Result {
		case engine.Complete:
			fin.refusal = nil
			return fin
		case engine.CallerGone:
			return fin.withRefusal(abandonedRefusal(ctx, fin.stream))
		}
		fin = fin.withRefusal(failureRefusal(o, fin.stream))
		after, again := e.dispatch.DecideRetry(n, t, dispatch.Failure{
			NotRun:    certainlyNotRun(o.Result),
			Resumable: o.Result == engine.Cut,
			DoneWork:  float64(fin.stream.Next),
			NotSent:   o.Result == engine.NotSent,
			Cold:      o.Result == engine.Cold,
		})
		if !again || !sleep(ctx, after) {
			return fin
		}
	}
}

// acquire waits for an endpoint. The request's rights are checked again once the ticket
// is granted: the wait may be long, its version may be withdrawn meanwhile, and a
// withdrawn version gets no new work.
func (e *Entry) acquire(ctx context.Context, c *chatRequest, n *dispatch.Need, started bool) (*dispatch.Ticket, *refusal.Refusal) {
	t, bad := e.dispatch.Acquire(ctx, n)
	if bad != nil {
		return nil, bad
	}
	if bad := e.checkAllowed(c, started); bad != nil {
		t.Cancel()
		return nil, bad
	}
	return t, nil
}

// runAttempt runs one attempt at one endpoint.
func (e *Entry) runAttempt(ctx context.Context, c *chatRequest, a *answer, t *dispatch.Ticket, fin *requestEnd) engine.Outcome {
	a.setEndpoint(t.Endpoint)
	call := engine.Call{
		RequestID:  c.engineID,
		Address:    t.Address,
		Version:    c.version,
		Class:      int(c.Class),
		Body:       c.body,
		AtMostOnce: c.Key != "",
	}
	if t.Cold != nil {
		call.MayStart = t.Cold.MayStart
	}
	o := e.engines.Stream(ctx, call, fin.stream, a.writeFrame)
	t.Done(resultOf(o, fin.stream))
	e.outcomes.recordAttempt(c, o)
	if o.Result == engine.WrongVersion {
		e.onWrongVersion(t.Endpoint)
	}
	if !certainlyNotRun(o.Result) {
		fin.ran = refusal.Unknown
	}
	return o
}

// certainlyNotRun reports whether an attempt certainly did not run.
func certainlyNotRun(r engine.Result) bool {
	return r == engine.NotSent || r == engine.Refused || r == engine.Cold
}

// resultOf converts an attempt's outcome into the dispatcher's Result.
func resultOf(o engine.Outcome, s *engine.Stream) dispatch.Result {
	r := dispatch.Result{
		Failed:      o.Result == engine.Failed || o.Result == engine.WrongVersion || o.Result == engine.Cut,
		Refused:     o.Result == engine.Refused || o.Result == engine.Cold,
		Crashed:     o.Result == engine.Crashed,
		Unreached:   o.Result == engine.NotSent,
		Abandoned:   o.Result == engine.CallerGone,
		Reported:    o.Reported,
		Incarnation: o.Report.Incarnation,
		Cold:        o.Report.Cold,
		Running:     o.Report.Running,
		ReadAt:      o.Report.At,
	}
	switch o.Result {
	case engine.Complete:
		r.Work, r.Ended = float64(s.Next), true
	case engine.NotSent, engine.Refused, engine.Failed, engine.Cold, engine.Forgotten:
		r.Ended = true
	}
	return r
}

// withRefusal ends the request with a refusal that is correct over all attempts: an
// earlier attempt may have run although the last one did not.
func (fin requestEnd) withRefusal(bad *refusal.Refusal) requestEnd {
	if fin.ran != refusal.NotRun && bad.Ran == refusal.NotRun {
		bad.Ran = fin.ran
	}
	fin.refusal = bad
	return fin
}

// sleep waits for d. It returns false if the request ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// statusClientClosedRequest is the usual non-standard status of a request whose caller
// disconnected; only logs and metrics show it.
const statusClientClosedRequest = 499

// abandonedRefusal returns the refusal of a request whose deadline passed, whose caller
// disconnected, or that the VM ends since it stops.
func abandonedRefusal(ctx context.Context, s *engine.Stream) *refusal.Refusal {
	r := refusal.New(statusClientClosedRequest, refusal.AnswerCut, "the caller left after %d tokens", s.Next)
	switch {
	case errors.Is(context.Cause(ctx), errStopping):
		r = refusal.New(http.StatusBadGateway, refusal.AnswerCut, "the VM stops after %d tokens", s.Next)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r = refusal.New(http.StatusGatewayTimeout, refusal.DeadlineTooShort, "the deadline passed after %d tokens", s.Next)
	}
	if s.Next == 0 {
		return r.WithRan(refusal.Unknown)
	}
	return r.WithRan(refusal.DidRun)
}

// retryDelay is the delay after which a caller may retry in a pool whose endpoints
// failed. The outlier detector ejects a failing endpoint within a few answers, well
// within a second.
const retryDelay = time.Second

// failureRefusal returns the refusal for the case that no further attempt is made.
func failureRefusal(o engine.Outcome, s *engine.Stream) *refusal.Refusal {
	switch {
	case s.Next > 0:
		return refusal.New(http.StatusBadGateway, refusal.AnswerCut, "the answer was cut after %d tokens: %v", s.Next, o.Err).WithRan(refusal.DidRun)
	case certainlyNotRun(o.Result):
		return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint took the request: %v", o.Err).WithRetryAfter(max(o.RetryAfter, retryDelay))
	default:
		return refusal.New(http.StatusBadGateway, refusal.EndpointFailed, "the endpoint failed: %v", o.Err).WithRan(refusal.Unknown).WithRetryAfter(retryDelay)
	}
}
