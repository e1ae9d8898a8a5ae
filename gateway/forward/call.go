package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/poison"
	"goldcrestfork/policy/reach"
	"goldcrestfork/policy/retry"
	"goldcrestfork/policy/sizing"
	"goldcrestfork/router/refusal"
)

// call is one caller's request from its arrival to its answer.
type call struct {
	h     *Handler
	w     http.ResponseWriter
	r     *http.Request
	start time.Time
	id    string

	conf        *catalog.Config
	configAge   time.Duration // time since the configuration was confirmed as the newest
	route       *catalog.Route
	account     *catalog.Account
	priority    int
	timeout     time.Duration
	deadline    time.Time
	body        []byte
	bodyRead    bool  // nothing of the body is left to read
	bodyBytes   int64 // counted by Config.Memory for the body
	answerBytes int64 // counted by Config.Memory for answers
	eventBytes  int64 // counted by Config.Memory for an event of a stream
	prompt      prompt
	tokens      int    // tokens of an endpoint's memory that the request may take
	fingerprint uint64 // fingerprint of the request's content, for package poison

	service      string
	model        int      // index in the route's models, smallest first
	tried        []string // endpoints that got the request or refused the connection
	possibleRuns int      // attempts that ran or may have run
	misdirected  int      // endpoints that refused as an unexpected incarnation; they ran nothing
	atCapacity   int      // endpoints that refused for lack of capacity; they ran nothing
	failedDials  int      // connections that could not be established
	// unreached are the endpoints in tried that took no connection or ended one without an answer, and
	// pathFailures sums them up.
	unreached      []string
	pathFailures   reach.Request
	status         int        // status code of the answer that was passed on
	grant          *retry.Use // the retry budget's grant of the next attempt, nil for none
	peerGrant      *retry.Use // the grant of the attempt that another VM has, nil for none
	rerouted       bool       // an overdue attempt was sent to another endpoint
	ran            refusal.Ran
	attemptRecords []attemptRecord
	pin            Pin           // nil before the service is known
	rationale      ChoiceReason  // reason for the last choice of a version
	version        VersionChoice // the versions among which the last endpoint was picked
	// detail is the description of the refusal, for the log.
	detail string
	// sizingNote holds, for the log, the last answer's confidence and load and the estimate for the
	// largest model, or why a connection failed or broke.
	sizingNote string
	sentAt     time.Time     // when the current attempt was sent
	timed      *timedAttempt // the current attempt's time limit, nil for none
	conn       int64         // the pool's number of the current attempt's connection, 0 for none
	sentModel  int           // the model that it asked, an index in the route's models
	statedLoad endpointLoad  // by the current attempt's answer
	answer     answerProgress
	begun      bool // the current attempt was sent
	// closedByPeer says why the connection of the current attempt broke; it is set for resultBroken.
	closedByPeer bool
	limitNotes   []limitNote
	repeatNotes  []string          // decisions of the retry budget, for the log
	scarce       bool              // the next model may find no endpoint
	confidence   int               // of the last answer of a managed service
	reserved     *placement.Choice // the endpoint for the next attempt, if it was picked already
	slots        slotUse

	// forwardedBy is the VM that sent the request here, "" for none, and maxForwardedAttempts the
	// number of attempts that it allows.
	forwardedBy          string
	maxForwardedAttempts int
	// counted is set once this VM or another one has counted the request's first attempt, reachedByPeer
	// if another VM may have sent it to an endpoint.
	counted, reachedByPeer bool
	// via is the VM that the current attempt goes through, nil for none. peersTried are those that the
	// request was sent to, and peersWithoutEndpoint is how many of them reached no endpoint.
	via                  *Peer
	peersTried           []string
	peersWithoutEndpoint int
}

// attemptRecord is one attempt in the request's log line.
type attemptRecord struct {
	sentAt     time.Duration // since the request's start
	endedAt    time.Duration // since the request's start
	askedAt    time.Duration // when the endpoint was asked to stop, since the request's start; 0 if it wasn't
	endpoint   string
	conn       int64 // the pool's number of its connection, 0 for none
	model      string
	result     string
	sizingNote string
	version    string
	answer     answerProgress
}

const (
	// maxFailedDials bounds the failed connections of a request: each costs up to the dial
	// timeout, and if a whole data centre crashes, the endpoints of the others remain.
	maxFailedDials = 4
	// maxQuickFailedDials applies instead while quickDialWindow has not passed since the
	// request's start: a crashed endpoint refuses a connection at once, and half of sixty
	// endpoints may be down before the VMs detect it.
	maxQuickFailedDials = 16
	quickDialWindow     = 150 * time.Millisecond
	// maxMisdirected bounds the endpoints that answer as another incarnation: each costs a
	// round trip, and all endpoints of a data centre may restart at once.
	maxMisdirected = 8
	// maxAtCapacity bounds the endpoints that refuse for lack of capacity: each further attempt
	// loads another endpoint with a request that it must refuse.
	maxAtCapacity = 3
)

// nextAction is what to do with a request after an attempt.
type nextAction int

const (
	done    nextAction = iota // the caller has its answer
	tryNext                   // another endpoint may be tried
	giveUp                    // no further attempt is allowed
)

// run tries endpoints until the caller has an answer or a refusal.
func (c *call) run() {
	c.ran = refusal.NotRun
	c.fingerprint = uint64(poison.NewFingerprint(c.accountName(), c.r.RequestURI, c.body))
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.pin = c.h.cfg.Versions.Begin(c.service, c.session(), c.deadline)
	for {
		choice, refused := c.reservedOrNextEndpoint(ctx)
		if refused != nil {
			c.refuse(refused)
			return
		}
		var next nextAction
		if c.route.Kind == catalog.Streaming {
			next, refused = c.attemptStream(ctx, choice)
		} else {
			next, refused = c.attemptPlain(ctx, choice)
		}
		switch next {
		case done:
			c.h.wholeTimes.Add(c.route.Name, time.Since(c.start))
			c.finish("answered", c.status)
			return
		case giveUp:
			c.refuse(refused)
			return
		}
	}
}

func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// pickService picks one of the route's services at random, by weight.
func (c *call) pickService() string {
	s := c.route.Services
	if len(s) == 1 {
		return s[0].Service
	}
	sum := 0.0
	for _, b := range s {
		sum += b.Weight
	}
	point := newRand().Float64() * sum
	for _, b := range s {
		if point -= b.Weight; point < 0 {
			return b.Service
		}
	}
	return s[len(s)-1].Service
}

// placementRequest describes the request to package placement, for the current model.
func (c *call) placementRequest(v VersionChoice) *placement.Request { return c.requestFor(v, c.model) }

// requestFor describes the request for the given index in the route's models.
func (c *call) requestFor(v VersionChoice, model int) *placement.Request {
	r := &placement.Request{
		Service: c.service, Version: v.Version, NotVersion: v.ExcludedVersion, Regions: c.route.Regions,
		Exclude: c.tried, Work: 1, Tokens: c.tokens, LoadUnknown: !c.countsTowardLoad(),
	}
	weight := 1.0
	if c.prompt.wildcard {
		weight = sizing.Work(model, len(c.route.Models))
	}
	r.Prefill = weight * float64(c.prompt.totalTokens) / tokensPerWorkUnit
	if c.prompt.sharedPrefix != "" {
		r.Affinity = c.prompt.sharedPrefix + "/" + strconv.Itoa(model)
		r.Saving = weight * float64(c.prompt.sharedTokens) / tokensPerWorkUnit
	}
	return r
}

// pickEndpoint picks an endpoint of the session's version. If that version has no endpoint, it
// picks one of any version that is not excluded.
func (c *call) pickEndpoint(ctx context.Context) (placement.Choice, placement.NoChoiceReason) {
	if c.countsTowardLoad() {
		c.h.cfg.Load.Refresh(ctx)
		defer c.h.cfg.Load.ReportChange()
	}
	var v VersionChoice
	v, c.rationale = c.pin.Choose(ctx)
	if v.Stopped {
		c.version = v
		return placement.Choice{}, placement.NoEndpoint
	}
	ch, miss := c.pickWithinLimits(ctx, c.placementRequest(v))
	if miss == placement.NoEndpoint && v.Version != "" {
		v = VersionChoice{ExcludedVersion: v.ExcludedVersion}
		ch, miss = c.pickWithinLimits(ctx, c.placementRequest(v))
	}
	c.version = v
	return ch, miss
}

// session returns the id of the request's session; empty for none.
func (c *call) session() string { return c.r.Header.Get(c.h.cfg.Names.Session) }

// countsTowardLoad reports whether the request occupies an endpoint long enough to count in the
// load that the VMs exchange.
func (c *call) countsTowardLoad() bool { return c.route.Kind == catalog.Streaming || c.serviceBusy() }

// tokensPerWorkUnit converts tokens to placement's unit of work: the smallest model reads that
// many tokens in the time by which one more running request delays the others at its engine.
const tokensPerWorkUnit = 1000

// reservedOrNextEndpoint returns the endpoint that was picked for the next attempt, or picks one.
func (c *call) reservedOrNextEndpoint(ctx context.Context) (placement.Choice, *refusal.Refusal) {
	if r := c.reserved; r != nil {
		c.reserved = nil
		return *r, nil
	}
	return c.nextEndpoint(ctx)
}

// nextEndpoint picks the endpoint for the next attempt, or returns a refusal if no attempt is
// allowed or possible.
func (c *call) nextEndpoint(ctx context.Context) (placement.Choice, *refusal.Refusal) {
	if ctx.Err() != nil {
		return placement.Choice{}, c.contextRefusal(ctx)
	}
	// The request's own last attempts may have decided it.
	if c.h.cfg.Poison.Quarantined(c.service, c.fingerprint, c.prompt.sharedParts...) {
		return placement.Choice{}, c.refuseQuarantined()
	}
	if c.reachedBefore() && !c.h.cfg.Poison.MayRepeat(c.service, c.prompt.sharedParts...) {
		return placement.Choice{}, c.refuseQuarantined()
	}
	if c.possibleRuns >= c.maxAttempts() {
		return placement.Choice{}, c.refuseFurther("all attempts failed")
	}
	if c.misdirected > maxMisdirected || c.atCapacity >= maxAtCapacity {
		return placement.Choice{}, c.refuseFurther("the endpoints that were tried did not run it")
	}
	if c.reachedBefore() && c.grant == nil && !c.takeExtra() {
		return placement.Choice{}, c.refuseFurther("too many requests are being tried again")
	}
	if choice, ok := c.nextPeer(false); ok {
		return choice, nil
	}
	c.via = nil
	if c.forwardedBy != "" && c.h.cfg.Detours.Needed(c.pathFailures) {
		// The VM that sent it here can try another one.
		return placement.Choice{}, c.refuseUnreachable("this VM reaches no endpoint")
	}
	if c.failedDials > maxFailedDials && (c.failedDials > maxQuickFailedDials || time.Since(c.start) > quickDialWindow) {
		return c.peerOrRefuse("no endpoint could be reached")
	}
	choice, miss := c.pickEndpoint(ctx)
	if c.version.Stopped {
		return placement.Choice{}, c.refuseStopped()
	}
	if miss == placement.NoMemory {
		c.h.cfg.Metrics.memory.refused.WithLabelValues(memoryOfEndpoint).Inc()
	}
	if miss != placement.Picked {
		return c.peerOrRefuse(missDetails[miss])
	}
	return choice, nil
}

// endpointsReached returns the number of endpoints that the request reached, whether they ran
// it or not.
func (c *call) endpointsReached() int { return c.possibleRuns + c.misdirected + c.atCapacity }

var missDetails = map[placement.NoChoiceReason]string{
	placement.NoEndpoint: "no endpoint serves this now",
	placement.AllCold:    "the endpoints are in cold start",
	placement.AllTried:   "all endpoints were tried",
	placement.AllLimited: "the endpoints take no more requests now",
	placement.AllResting: "the endpoints asked for rest",
	placement.AllFull:    "the endpoints have no room",
	placement.NoMemory:   "the endpoints have no memory for it",
}

// refuseFurther returns the refusal if no further attempt is made. It states whether an earlier
// attempt may have run.
func (c *call) refuseFurther(detail string) *refusal.Refusal {
	if c.ran != refusal.NotRun {
		return refusal.New(http.StatusBadGateway, refusal.EndpointFailed, "%s", detail).WithRan(c.ran)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.Overloaded, "%s", detail).WithRetryAfter(c.retryAfter())
}

// refuseStopped returns the refusal of a request whose service's only version is stopped.
func (c *call) refuseStopped() *refusal.Refusal {
	const detail = "the answers of the service's version fail"
	if c.ran != refusal.NotRun {
		return refusal.New(http.StatusBadGateway, refusal.EndpointFailed, detail).WithRan(c.ran)
	}
	after := time.Duration(float64(c.version.RetryAfter) * (1 + newRand().Float64()))
	return refusal.New(http.StatusServiceUnavailable, refusal.NoVersion, detail).WithRetryAfter(after)
}

// refuseQuarantined returns the refusal of a request that crashes endpoints.
func (c *call) refuseQuarantined() *refusal.Refusal {
	status := http.StatusServiceUnavailable
	if c.ran != refusal.NotRun {
		status = http.StatusBadGateway
	}
	return refusal.New(status, refusal.Quarantined, "this request, or others with a part of its prompt, crashed the endpoints that ran it").WithRan(c.ran)
}

// retryAfter returns the delay after which a refused caller should retry: long enough for
// running requests to end, short enough to meet the deadline, and with jitter so that callers
// refused together don't return together.
func (c *call) retryAfter() time.Duration {
	left := time.Until(c.deadline)
	return max(min(left/4, time.Second), 0)/2 + time.Duration(newRand().Float64()*float64(max(min(left/4, time.Second), 1))/2)
}

// contextRefusal returns the refusal for a request whose context has ended: its deadline has passed, the VM
// stops, or its caller disconnected.
func (c *call) contextRefusal(ctx context.Context) *refusal.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(http.StatusGatewayTimeout, refusal.DeadlineTooShort, "no answer in time").WithRan(c.ran)
	case errors.Is(context.Cause(ctx), errStopping) && c.ran == refusal.NotRun:
		return refuseStopping("this VM stops")
	case errors.Is(context.Cause(ctx), errStopping):
		return refusal.New(http.StatusBadGateway, refusal.OutcomeUnknown, "this VM stops before the answer").WithRan(c.ran)
	}
	return refusal.New(statusClientClosedRequest, refusal.DeadlineTooShort, "the caller left").WithRan(c.ran)
}

// statusClientClosedRequest is logged if the caller disconnected; it is never sent.
const statusClientClosedRequest = 499

// send makes one attempt and returns the head of its answer; t is nil if the attempt has no time limits of its own. A
// stream continues after lastEvent unless that is empty.
func (c *call) send(ctx context.Context, ch placement.Choice, t *timedAttempt, lastEvent string) (*upstream.Answer, error) {
	if c.via != nil {
		return c.sendToPeer(ctx, ch, lastEvent)
	}
	c.answer.reset()
	c.sentModel, c.statedLoad = c.model, endpointLoad{}
	n := &c.h.cfg.Names
	head := endToEnd(c.r.Header)
	for _, name := range n.Owned {
		head.Del(name)
	}
	head.Set(n.RequestID, c.id)
	head.Set(n.ExpectInstance, ch.ID)
	head.Set(n.Deadline, upstream.RemainingMillis(c.deadline, time.Now()))
	if c.account != nil {
		head.Set(n.Account, c.account.Name)
	}
	if c.prompt.wildcard {
		head.Set(n.Model, c.route.Models[c.model])
	}
	if c.h.cfg.Table.Managed(c.service) {
		head.Set(n.Priority, strconv.Itoa(c.endpointPriority()))
	}
	if lastEvent != "" {
		head.Set(n.LastEventID, lastEvent)
	}
	req := &upstream.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: head, Body: c.body,
		ID: c.id, IDHeader: n.RequestID, AtMostOnce: !c.repeatable(),
		OnSend: func(conn int64) {
			c.begun = true
			c.conn = conn
			c.grant = nil
			c.countFirst()
			c.useSlot(ch)
			c.h.cfg.Poison.Begin(c.service, ch.ID, c.fingerprint, c.prompt.sharedParts...)
		},
	}
	if c.timed = t; t != nil {
		req.StopAsked = t.stopAsked
	}
	c.conn, c.sentAt = 0, time.Now()
	a, err := c.h.cfg.Pool.Send(ctx, ch.Address, req)
	if err == nil {
		c.answer.head = time.Now()
		if a.Foreign > 0 {
			c.statementLine(ch).Int("bytes", a.Foreign).Msg("bytes ahead of the answer, skipped")
		}
		c.recordAnswerHead(ch, a)
	}
	return a, err
}

// repeatable reports whether the request may run more than once.
func (c *call) repeatable() bool {
	return c.route.Kind == catalog.Idempotent || c.route.Kind == catalog.Streaming && c.route.Resume
}

// recordAnswerHead updates the placement table with what an answer's head states about its
// endpoint.
func (c *call) recordAnswerHead(ch placement.Choice, a *upstream.Answer) {
	now := time.Now()
	if c.route.Kind == catalog.Streaming && a.Status < 300 {
		c.h.cfg.Table.FirstEvent(now, ch)
	}
	if c.countsTowardLoad() {
		c.h.cfg.Table.PromptRead(now, ch)
		c.h.cfg.Load.ReportChange()
	}
	c.recordStatements(now, ch, a)
	c.noteSlots(now, a)
}

// handleSendError ends an attempt that got no answer head; t is nil if the attempt had no time
// limit of its own.
func (c *call) handleSendError(ctx context.Context, ch placement.Choice, t *timedAttempt, err error) (nextAction, *refusal.Refusal) {
	if c.via != nil {
		return c.handlePeerError(ctx, ch, err)
	}
	var e *upstream.Error
	sent := !errors.As(err, &e) || e.Sent
	if sent && t != nil && t.isOverdue(err) && ctx.Err() == nil {
		c.ran = refusal.Unknown
		c.rerouteOverdue(ch)
		return tryNext, nil
	}
	if !sent && ctx.Err() == nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.h.cfg.Poison.Refused(c.service, ch.ID, ch.Address)
		}
		c.sizingNote = dialFailure(err)
		c.finishAttempt(ch, placement.Unreached, "unreached")
		c.failedDials++
		c.tried = append(c.tried, ch.ID)
		c.recordPathFailure(ch.ID, err)
		return tryNext, nil
	}
	if sent {
		c.possibleRuns++
		c.ran = refusal.Unknown
		c.tried = append(c.tried, ch.ID)
	}
	if ctx.Err() != nil {
		c.finishAttempt(ch, placement.NoSignal, "ended")
		if sent {
			c.reportGivenUp(ch)
		}
		return giveUp, c.contextRefusal(ctx)
	}
	if errors.Is(err, upstream.ErrInvalidHead) {
		c.sizingNote = noteInvalidHead
		c.finishAttempt(ch, placement.Failed, "unsound")
		c.reportFailure(ch, false)
		return c.outcomeUnknown("the head of the endpoint's answer isn't valid")
	}
	c.closedByPeer = isClosedByPeer(err)
	if errors.Is(err, upstream.ErrForeignAnswer) {
		c.sizingNote = noteForeign
	}
	c.recordPathFailure(ch.ID, err)
	c.finishAttempt(ch, placement.Broken, resultBroken)
	c.reportFailure(ch, true)
	return c.outcomeUnknown("the connection broke")
}

// isClosedByPeer reports whether a connection broke because the endpoint's machine closed or reset
// it. A machine without power or network does neither: the VM gives the connection up.
func isClosedByPeer(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// outcomeUnknown handles an attempt that may have run or that gave no valid answer: a
// repeatable request is tried again, any other is refused with an unknown outcome.
func (c *call) outcomeUnknown(detail string) (nextAction, *refusal.Refusal) {
	if c.repeatable() {
		return tryNext, nil
	}
	return giveUp, refusal.New(http.StatusBadGateway, refusal.OutcomeUnknown, "%s", detail).WithRan(c.ran)
}

// handleNotRun ends an attempt whose endpoint states that it did not run the request, which
// doesn't count towards the route's MaxAttempts. It returns false for other answers.
func (c *call) handleNotRun(ch placement.Choice, a *upstream.Answer) bool {
	if c.via != nil {
		return c.handlePeerNotRun(ch, a)
	}
	if !c.believesRefusal(a) {
		return false
	}
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		c.finishAttempt(ch, placement.OtherIncarnation, "misdirected")
		c.misdirected++
	case a.Header.Get(c.h.cfg.Names.NotRun) != "" && a.Status >= 400:
		c.finishAttempt(ch, placement.AtCapacity, resultFull)
		c.atCapacity++
	default:
		return false
	}
	if !c.repeatable() {
		c.statementLine(ch).Int("status", a.Status).Bool("reused", a.Reused).Int64("conn", c.conn).Msg("refusal believed, sent elsewhere")
	}
	c.tried = append(c.tried, ch.ID)
	return true
}

// believesRefusal reports whether the request may be sent elsewhere if the answer says that it did not run.
// An endpoint signs what it ran. On a connection with bytes that belong to no request, only a signed
// answer is believed for a request that must not run twice.
func (c *call) believesRefusal(a *upstream.Answer) bool {
	return a.Header.Get(c.h.cfg.Names.Signature) == "" && (c.repeatable() || a.Foreign == 0)
}

// resultOK is the result of a complete answer, resultFull that of a refusal for want of room, and
// resultBroken that of a broken connection.
// docs/OPERATIONS.md lists the other results.
const (
	resultOK     = "ok"
	resultFull   = "full"
	resultBroken = "broken"
)

// noteForeign is the note on an attempt whose connection carried only answers without the request's id.
const noteForeign = "foreign"

// noteInvalidHead is the note on an attempt whose answer had a head that isn't valid.
const noteInvalidHead = "invalid-head"

// finishAttempt releases the attempt's slot at the endpoint and records the attempt in the
// load, the poison detector, the log line and the metrics.
func (c *call) finishAttempt(ch placement.Choice, o placement.Outcome, result string) {
	c.h.cfg.Table.Done(time.Now(), ch, o)
	c.releaseSlot(result)
	if c.countsTowardLoad() {
		c.h.cfg.Load.ReportChange()
	}
	if c.begun {
		c.begun = false
		c.h.cfg.Poison.End(Attempt{
			Service: c.service, Endpoint: ch.ID, Address: ch.Address, Fingerprint: c.fingerprint,
			Survived: result == resultOK, ConnectionBroke: result == resultBroken && c.closedByPeer,
		})
	}
	model := ""
	if c.prompt.wildcard {
		model = strconv.Itoa(c.sentModel)
	}
	var askedAt time.Duration
	if c.timed != nil {
		if at := c.timed.askedAt.Load(); at != nil {
			askedAt = at.Sub(c.start)
		}
	}
	c.attemptRecords = append(c.attemptRecords, attemptRecord{sentAt: c.sentAt.Sub(c.start), endedAt: time.Since(c.start), askedAt: askedAt, endpoint: ch.ID, conn: c.conn, model: model, result: result, sizingNote: c.sizingNote, version: ch.Version, answer: c.answer})
	c.sizingNote = ""
	c.h.cfg.Metrics.attempts.WithLabelValues(result).Inc()
}
