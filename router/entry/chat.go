package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestfork/config"
	"goldcrestfork/policy/poison"
	"goldcrestfork/policy/rollout"
	"goldcrestfork/router/dispatch"
	"goldcrestfork/router/engine"
	"goldcrestfork/router/refusal"
)

// MaxBody bounds a caller's body, in bytes. Grounds: a prompt of 200,000 tokens takes about 1 MB.
const MaxBody = 2 << 20

// defaultTokens is the size taken for a request that names no bound, for the queue's estimate only.
const defaultTokens = 256

// blockBytes is the length of one block of prompt whose hash stands for what an
// engine caches; a block of 64 tokens takes about 256 bytes.
const blockBytes = 256

// maxBlocks bounds the hashes kept of one prompt; beyond 16 KB of common beginning
// more hashes tell endpoints no further apart.
const maxBlocks = 64

// chat is one completion request on its way.
type chat struct {
	*Caller
	body   *engine.Body
	raw    []byte
	prefix []uint64
	// version is what must answer; pin and moved tell the caller about its session.
	version string
	pin     string
	moved   string
	// pinned is the token that the caller sent.
	pinned string
	// engineID is the request's id at the engines; each step of a cascade has its own.
	engineID string
	// task is the caller's label for the kind of request.
	task string
	// arm is the side of a roll-out's comparison that the outcome counts for.
	arm rollout.Arm
	// rollOut is the one that the arm was chosen by, at the revision of the choice.
	rollOut *config.RollOut
	// rated says that the answer's rating is recorded.
	rated bool
	// resume and from say which stream the request goes on with, and where.
	resume *resumeToken
	from   int
	sign   func(resumeToken) string
}

// maxBuffered bounds the bodies held at once, in bytes: a quarter of the 256 MB a
// node may use. Queues bound their items; this bounds what those weigh together.
const maxBuffered = 64 << 20

// readBody reads a whole body within the bounds; done frees it.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, c *Caller) (raw []byte, done func(), bad *refusal.Refusal) {
	free := limitArrival(w, c)
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		free()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, nil, refusal.New(http.StatusRequestTimeout, refusal.BadRequest, "the body did not arrive in time")
	case errors.As(err, &tooLarge):
		return nil, nil, refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "a body takes at most %d bytes", MaxBody)
	case err != nil:
		return nil, nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "the body did not arrive whole")
	}
	size := int64(len(raw))
	done = func() { e.buffered.Add(-size) }
	if e.buffered.Add(size) > maxBuffered {
		done()
		return nil, nil, refusal.New(http.StatusServiceUnavailable, refusal.Overloaded, "the VM holds as many bodies as it may").After(comeBack)
	}
	return raw, done, nil
}

// parseChat reads a completion request.
func parseChat(raw []byte, c *Caller) (*chat, *refusal.Refusal) {
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
	return &chat{Caller: c, body: body, raw: raw, prefix: blocks(body.Messages)}, nil
}

// blocks hashes the prompt's leading blocks, each hash over all before it.
func blocks(prompt []byte) []uint64 {
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

// stream is where the answer starts.
func (c *chat) stream(endpoint string) *engine.Stream {
	if c.resume != nil {
		return engine.NewResumedStream(c.from, endpoint)
	}
	return &engine.Stream{}
}

// holder names the endpoint that holds the stream to resume.
func (c *chat) holder() string {
	if c.resume == nil {
		return ""
	}
	return c.resume.Endpoint
}

// need is what the request asks of the dispatcher.
func (c *chat) need() *dispatch.Need {
	n := &dispatch.Need{
		RequestID:   c.RequestID,
		Account:     c.Account,
		Class:       c.Class,
		Deadline:    c.Deadline,
		Size:        c.size(),
		Pool:        c.version,
		Prefix:      c.prefix,
		Fingerprint: poison.Of(c.Account.Name, c.body.Model, c.raw),
		Idempotent:  c.Key == "",
	}
	if c.resume != nil {
		n.OnlyEndpoint = c.resume.Endpoint
	}
	return n
}

// size is the expected work in tokens.
func (c *chat) size() float64 {
	if c.body.MaxTokens > 0 {
		return float64(c.body.MaxTokens)
	}
	return defaultTokens
}

// handleChat serves POST /v1/chat/completions.
func (e *Entry) handleChat(w http.ResponseWriter, r *http.Request) {
	caller, bad := e.open(r)
	if bad != nil {
		e.refuse(w, bad, "")
		return
	}
	w.Header().Set(HeaderRequestID, caller.RequestID)
	raw, done, bad := e.readBody(w, r, caller)
	if bad == nil {
		defer done()
		bad = e.chatBody(w, r, raw, caller)
	}
	if bad != nil {
		e.refuse(w, bad, caller.RequestID)
	}
}

// chatBody runs a request whose body is there. A refusal that it returns has not been sent yet.
func (e *Entry) chatBody(w http.ResponseWriter, r *http.Request, raw []byte, caller *Caller) *refusal.Refusal {
	c, bad := parseChat(raw, caller)
	if bad != nil {
		return bad
	}
	c.pinned, c.task = r.Header.Get(HeaderPin), r.Header.Get(HeaderTask)
	if bad = e.readResume(r, c); bad != nil {
		return bad
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	if bad = e.choose(ctx, c); bad != nil {
		return bad
	}
	a := newAnswer(w, c)
	if c.Key != "" {
		return e.chatOnce(ctx, c, a)
	}
	plan, bad := e.plan(c)
	if bad != nil {
		return bad
	}
	fin := e.cascaded(ctx, c, a, plan)
	e.bill(c, fin)
	e.sample(ctx, c, fin)
	return e.finish(a, fin)
}

// finish ends a caller's answer and counts what it got. A refusal that it returns
// has not been sent yet.
func (e *Entry) finish(a *answer, fin end) *refusal.Refusal {
	switch {
	case fin.refusal == nil:
		e.metrics.answers.WithLabelValues("completion").Inc()
	case a.started:
		// It goes out as the stream's last event; refusals that are answers are counted
		// when they are sent.
		e.metrics.refusals.WithLabelValues(string(fin.refusal.Code), string(fin.refusal.Ran)).Inc()
	}
	return a.finish(fin)
}

// end is how a request ended over all its attempts.
type end struct {
	// refusal is nil when the answer is whole.
	refusal *refusal.Refusal
	// stream is what was passed on.
	stream *engine.Stream
	// ran says that some endpoint ran it, at least in part, or may have.
	ran refusal.Ran
	// version is that of the last attempt.
	version string
	// cost is that of all steps, in micro-units.
	cost int64
}

// attempts runs a request at one endpoint after the other until the answer is
// whole, the caller has gone, or the retry budget says that it's over.
func (e *Entry) attempts(ctx context.Context, c *chat, a *answer) end {
	fin := end{stream: c.stream(e.dispatch.Address(c.holder())), version: c.version, ran: refusal.NotRun}
	n := c.need()
	for {
		t, bad := e.acquire(ctx, c, n, fin.stream.Next > 0)
		if bad != nil {
			return fin.with(bad)
		}
		o := e.attempt(ctx, c, a, t, &fin)
		switch o.Result {
		case engine.Complete:
			fin.refusal = nil
			return fin
		case engine.CallerGone:
			return fin.with(gone(ctx, fin.stream))
		}
		fin = fin.with(failure(o, fin.stream))
		after, again := e.dispatch.DecideRetry(n, t, dispatch.Failure{
			NotRun:    notRun(o.Result),
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

// acquire waits for an endpoint. The wait may be long: what was allowed when the
// request came may be withdrawn by the time it is its turn, and a withdrawn
// version gets no new work, so that the check is made again with the ticket in hand.
func (e *Entry) acquire(ctx context.Context, c *chat, n *dispatch.Need, started bool) (*dispatch.Ticket, *refusal.Refusal) {
	t, bad := e.dispatch.Acquire(ctx, n)
	if bad != nil {
		return nil, bad
	}
	if bad := e.stillAllowed(c, started); bad != nil {
		t.Cancel()
		return nil, bad
	}
	return t, nil
}

// attempt is one run at one endpoint.
func (e *Entry) attempt(ctx context.Context, c *chat, a *answer, t *dispatch.Ticket, fin *end) engine.Outcome {
	a.from(t.Endpoint)
	call := engine.Call{
		RequestID: c.engineID,
		Address:   t.Address,
		Version:   c.version,
		Class:     int(c.Class),
		Body:      c.body,
	}
	if t.Cold != nil {
		call.MayStart = t.Cold.MayStart
	}
	o := e.engines.Stream(ctx, call, fin.stream, a.frame)
	t.Done(resultOf(o, fin.stream))
	e.outcomes.ended(c, o)
	if o.Result == engine.WrongVersion {
		e.wrongVersion(t.Endpoint)
	}
	if !notRun(o.Result) {
		fin.ran = refusal.Unknown
	}
	return o
}

// notRun says that an attempt certainly did not run.
func notRun(r engine.Result) bool {
	return r == engine.NotSent || r == engine.Refused || r == engine.Cold
}

// resultOf tells the dispatcher what an attempt says about its endpoint.
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
		At:          o.Report.At,
	}
	switch o.Result {
	case engine.Complete:
		r.Work, r.Ended = float64(s.Next), true
	case engine.NotSent, engine.Refused, engine.Failed, engine.Cold, engine.Forgotten:
		r.Ended = true
	}
	return r
}

// with ends the request with a refusal that is truthful over all attempts: an
// earlier attempt may have run although the last one did not.
func (fin end) with(bad *refusal.Refusal) end {
	if fin.ran != refusal.NotRun && bad.Ran == refusal.NotRun {
		bad.Ran = fin.ran
	}
	fin.refusal = bad
	return fin
}

// sleep waits for d; false when the request ended before.
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

// statusClosed is the customary status of a request whose caller left; only logs and metrics see it.
const statusClosed = 499

// gone is the end of a request whose deadline passed or whose caller left.
func gone(ctx context.Context, s *engine.Stream) *refusal.Refusal {
	r := refusal.New(statusClosed, refusal.AnswerCut, "the caller left after %d tokens", s.Next)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r = refusal.New(http.StatusGatewayTimeout, refusal.DeadlineTooShort, "the deadline passed after %d tokens", s.Next)
	}
	if s.Next == 0 {
		return r.WhichRan(refusal.Unknown)
	}
	return r.WhichRan(refusal.DidRun)
}

// comeBack is when a caller may try a pool again whose endpoints failed. Grounds:
// the outlier detector ejects a failing endpoint within a few answers, well within a second.
const comeBack = time.Second

// failure is the refusal if no further attempt is made.
func failure(o engine.Outcome, s *engine.Stream) *refusal.Refusal {
	switch {
	case s.Next > 0:
		return refusal.New(http.StatusBadGateway, refusal.AnswerCut, "the answer was cut after %d tokens: %v", s.Next, o.Err).WhichRan(refusal.DidRun)
	case notRun(o.Result):
		return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint took the request: %v", o.Err).After(max(o.RetryAfter, comeBack))
	default:
		return refusal.New(http.StatusBadGateway, refusal.EndpointFailed, "the endpoint failed: %v", o.Err).WhichRan(refusal.Unknown).After(comeBack)
	}
}
