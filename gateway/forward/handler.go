package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"goldcrestfork/fleet/quota"
	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/pace"
	"goldcrestfork/policy/patience"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/poison"
	"goldcrestfork/policy/retry"
	"goldcrestfork/policy/room"
	"goldcrestfork/router/listen"
	"goldcrestfork/router/refusal"
)

// State is the VM's view of the operators' configuration.
type State interface {
	// Config returns the newest configuration; nil if none is known yet.
	Config() *catalog.Config
	// ConfigAge returns the time since the configuration was confirmed as the newest.
	ConfigAge() time.Duration
	// Loaded returns a channel that is closed once a configuration and the endpoints are known.
	Loaded() <-chan struct{}
}

// Versions decides which version of a service's endpoints a request may use.
type Versions interface {
	// Begin opens a request of a session ("" for none) that lasts until deadline at most.
	Begin(service, session string, deadline time.Time) Pin
	// RecordAnswer records that an attempt failed, or the head of a stream, or another answer.
	RecordAnswer(a AnswerResult)
	// RecordPace records how the events of a stream arrived.
	RecordPace(a AnswerResult)
	// VerySlow reports whether an answer that is still arriving is very slow so far.
	VerySlow(a AnswerResult) bool
}

// Pin holds the version of a session for one request.
type Pin interface {
	// Choose returns the version for an attempt that is about to be sent.
	Choose(ctx context.Context) (VersionChoice, ChoiceReason)
	// End ends the request. version is the version that ran it last, "" if none did.
	End(version string)
}

// VersionChoice is the version that serves a session; if both fields are empty, any version may.
type VersionChoice struct {
	// Version is the version to use while it has endpoints.
	Version string
	// ExcludedVersion is a version that must not be used.
	ExcludedVersion string
	// Stopped says that the service's version gets no requests since its answers fail, and that there is no other. A
	// caller should come back after RetryAfter at the earliest.
	Stopped    bool
	RetryAfter time.Duration
}

// ChoiceReason is the reason for a choice of a version, for the request's log line.
type ChoiceReason struct {
	// Reason is one of the values that docs/OPERATIONS.md lists.
	Reason string
	// RollOutAge is the time since the roll-out was ordered, as this VM knows it; 0 without a
	// roll-out.
	RollOutAge time.Duration
	// Keeper is the VM that supplied the session's version, "" if none was asked. SessionAge is
	// how long that VM has known the session; 0 for a new one.
	Keeper     string
	SessionAge time.Duration
}

// AnswerResult is the result of one attempt, for the comparison of versions.
type AnswerResult struct {
	Service, Version, Route, Model string
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Failed is set if the endpoint failed the request, by an error or a broken answer.
	Failed bool
	// Broke says that it failed since its connection broke.
	Broke bool
	// Answer is how the answer arrived, as far as known.
	Answer pace.Answer
	// Counted says that the pace was recorded already, when the stream was very slow so far.
	Counted bool
	// InFlight and Slots are the load that the endpoint stated, 0 if it didn't.
	InFlight, Slots int
}

// Kind identifies answers that usually take as long as each other.
func (a AnswerResult) Kind() string { return a.Route + "/" + a.Model }

// Config holds a handler's dependencies and limits.
type Config struct {
	// Self is this VM's name.
	Self  string
	Names HeaderNames
	State State
	Table *placement.Table
	Pool  *upstream.Pool
	// PeerPool holds the connections to other VMs, for Detours.
	PeerPool *upstream.Pool
	Detours  Detours
	// VMs returns the number of VMs that share the endpoints, at least 1.
	VMs      func() int
	Versions Versions
	Budget   RetryBudget
	Poison   Poison
	Load     LoadExchange
	Limits   RateLimits
	// Admission returns the gate that admits the requests of a service; nil if the service isn't
	// managed, so that no request is refused for the load of the fleet.
	Admission func(service string) *admission.Gate
	Metrics   *Metrics
	// Memory counts the bytes that the VM holds for callers. If it is nil, neither these nor the time
	// that a caller takes to read its answer are limited.
	Memory *room.Bytes
	// Connections bounds the connections of callers; nil for no bound.
	Connections *listen.Connections
	Log         zerolog.Logger
	// Clock returns the time since some moment. It never steps, and includes the time for which the VM
	// is suspended.
	Clock func() time.Duration
	// MaxKeyConfigAge returns the configuration age (State.ConfigAge) up to which keys are
	// accepted. A key may have been revoked since the configuration was confirmed.
	MaxKeyConfigAge func() time.Duration
	// MaxDenyConfigAge is the configuration age up to which the VM answers by itself that a path
	// or key does not exist. It may have been added since the configuration was confirmed.
	MaxDenyConfigAge time.Duration
}

// RetryBudget bounds the retries of requests over all VMs.
type RetryBudget interface {
	// RecordFirst counts a request's first attempt at a service.
	RecordFirst(service string)
	// TakeExtra reports whether one more attempt at a service is allowed, and counts it if so. The Use
	// is what the decision rests on.
	TakeExtra(service string) (retry.Use, bool)
	// ReturnExtra takes back an attempt that was allowed and not sent.
	ReturnExtra(service string, u retry.Use)
}

// LoadExchange exchanges the load of endpoints between the VMs.
type LoadExchange interface {
	// Refresh updates the placement table with the work that the other VMs have in progress. It
	// waits a few ms at most.
	Refresh(ctx context.Context)
	// ReportChange signals that the work that this VM has in progress has changed.
	ReportChange()
}

// RateLimits shares the request limits of endpoints among the VMs.
type RateLimits interface {
	// Take asks for one request at an endpoint that takes rate requests a second from all VMs
	// together. It waits for a few round trips at most.
	Take(ctx context.Context, endpoint string, rate float64) quota.Answer
}

// Poison detects requests that crash the endpoints that run them. A fingerprint identifies a
// request's content, and parts are the parts of its prompt that other requests may hold too.
type Poison interface {
	// Quarantined reports whether the request is to be refused, for itself or for one of its parts.
	Quarantined(service string, fingerprint uint64, parts ...poison.Fingerprint) bool
	// MayRepeat reports whether a request with these parts may be sent to another endpoint.
	MayRepeat(service string, parts ...poison.Fingerprint) bool
	// Begin and End are called once for each attempt that is sent.
	Begin(service, endpoint string, fingerprint uint64, parts ...poison.Fingerprint)
	// Answering is called when the endpoint has begun to answer the attempt with a stream, and when
	// events of it arrive.
	Answering(service, endpoint string, fingerprint uint64)
	End(a Attempt)
	// Refused is called when an endpoint refuses a connection, so that nothing runs at its address.
	Refused(service, endpoint, address string)
}

// Attempt is a finished attempt, as reported to Poison.
type Attempt struct {
	Service, Endpoint, Address string
	Fingerprint                uint64
	// Survived is set if the endpoint gave a complete answer, ConnectionBroke if the endpoint's
	// machine closed its connection.
	Survived, ConnectionBroke bool
}

// Handler is the http.Handler that serves callers.
type Handler struct {
	cfg        Config
	stop       atomic.Pointer[stopTimes] // nil until the VM is about to stop
	ending     context.Context           // ends when all requests get their final answers
	end        context.CancelFunc
	wholeTimes *patience.AnswerTimes // by route, from a request's head to the end of its answer
	active     atomic.Int64
	overdue    *overduePolicy
	unknown    *unknownHeaders
	meanWork   meanWorks
	started    time.Time
}

// New returns a handler with the given dependencies and limits. Requests that arrive within
// startupHold wait until State.Loaded is closed.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg, overdue: newOverdue(), unknown: newUnknownHeaders(&cfg.Names), started: time.Now(), wholeTimes: patience.NewAnswerTimes()}
	h.ending, h.end = context.WithCancel(context.Background())
	return h
}

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

const (
	// shortRetryAfter is the delay after which a caller should try again; its next attempt
	// picks a VM at random.
	shortRetryAfter = 100 * time.Millisecond
	// defaultTimeout applies if the caller states no time; HTTP clients commonly use 30 s.
	defaultTimeout = 30 * time.Second
)

// ServeHTTP admits one request, sends it to endpoints and writes the answer or a refusal.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	r, done := h.withEnding(r)
	defer done()
	c := &call{h: h, w: w, r: r, start: time.Now(), id: r.Header.Get(h.cfg.Names.RequestID)}
	if h.cfg.Memory != nil {
		cw := newCallerWriter(w, queuedBytes(r), h.cfg.Metrics.memory.stalled.Inc)
		// The server sends the rest of the answer after the handler has returned.
		defer cw.extend()
		defer c.releaseBytes()
		c.w = cw
	}
	if refused := c.checkConnection(); refused != nil {
		c.refuse(refused)
		return
	}
	h.awaitConfig(r)
	if h.isStopping() {
		w.Header().Set("Connection", "close")
	}
	if refused := c.admit(); refused != nil {
		c.refuse(refused)
		return
	}
	if refused := c.requestAdmission(); refused != nil {
		c.refuse(refused)
		return
	}
	if refused := c.reserveBody(); refused != nil {
		c.refuse(refused)
		return
	}
	if refused := c.readBody(); refused != nil {
		c.refuse(refused)
		return
	}
	c.run()
}

const (
	// startupHold is how long after its start a VM holds requests while it has no
	// configuration. When hundreds of VMs start at once, a large configuration takes over half
	// a second to reach all of them, and a refused caller would only try another VM that has
	// just started.
	startupHold = time.Second
	// maxStartupHoldShare bounds the hold as a share of the caller's timeout.
	maxStartupHoldShare = 0.25
)

// awaitConfig holds a request until the configuration is known, if the VM has just started.
func (h *Handler) awaitConfig(r *http.Request) {
	select {
	case <-h.cfg.State.Loaded():
		return
	default:
	}
	wait := time.Until(h.started.Add(startupHold))
	if given, ok := callerTimeout(r.Header, &h.cfg.Names); ok {
		wait = min(wait, time.Duration(maxStartupHoldShare*float64(given)))
	}
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-h.cfg.State.Loaded():
	case <-t.C:
	case <-r.Context().Done():
	}
}

// admit checks the request's limits, route, key and id, and sets its deadline, prompt and
// priority. It returns nil if the request is admitted.
func (c *call) admit() *refusal.Refusal {
	h := &c.h.cfg
	c.conf = h.State.Config()
	if c.conf == nil {
		return refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "no configuration yet").WithRetryAfter(shortRetryAfter)
	}
	c.configAge = h.State.ConfigAge()
	if refused := c.admitForwarded(); refused != nil {
		return refused
	}
	if refused := c.checkLimits(); refused != nil {
		return refused
	}
	c.route = c.conf.Match(c.r.Host, pathOf(c.r.RequestURI))
	if c.route == nil {
		return c.deny(http.StatusNotFound, refusal.NoSuchPath, "no route for this host and path")
	}
	if refused := c.checkKey(); refused != nil {
		return refused
	}
	if c.id == "" {
		return refusal.New(http.StatusBadRequest, refusal.BadRequest, "a request needs an id")
	}
	c.setDeadline()
	if !c.endsBeforeStop() {
		return refuseStopping("this VM is leaving")
	}
	c.limitToStop()
	c.prompt = parsePrompt(c.r.Header, &h.Names, c.route)
	c.tokens = parseTokens(c.r.Header, &h.Names, &c.prompt)
	c.priority = c.route.Priority
	if c.account != nil && c.account.HasPriority {
		c.priority = c.account.Priority
	}
	return nil
}

// deny refuses a request because something does not exist. If the configuration may be
// outdated, the refusal is temporary instead.
func (c *call) deny(status int, code refusal.Code, detail string) *refusal.Refusal {
	if c.configAge > c.h.cfg.MaxDenyConfigAge {
		return refusal.New(http.StatusServiceUnavailable, refusal.Stale, "%s in a configuration that may be old", detail).WithRetryAfter(shortRetryAfter)
	}
	return refusal.New(status, code, "%s", detail)
}

func (c *call) checkKey() *refusal.Refusal {
	key := c.r.Header.Get(c.h.cfg.Names.Key)
	if key != "" {
		c.account = c.conf.Account(key)
	}
	if c.route.Anonymous || !c.conf.KeysRequired() {
		return nil
	}
	if c.configAge > c.h.cfg.MaxKeyConfigAge() {
		return refusal.New(http.StatusServiceUnavailable, refusal.Stale, "keys can't be checked now").WithRetryAfter(shortRetryAfter)
	}
	if c.account == nil {
		return c.deny(http.StatusUnauthorized, refusal.Unauthorized, "the key is unknown")
	}
	return nil
}

func (c *call) checkLimits() *refusal.Refusal {
	l := c.conf.Limits
	size := len(c.r.Method) + len(c.r.RequestURI) + len(c.r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for k, vs := range c.r.Header {
		if k == c.h.cfg.Names.Forwarded {
			continue // not the caller's
		}
		for _, v := range vs {
			size += len(k) + len(v) + len(": \r\n")
		}
	}
	if l.HeaderBytes > 0 && size > l.HeaderBytes {
		return refusal.New(http.StatusRequestHeaderFieldsTooLarge, refusal.BadRequest, "the head is over %d bytes", l.HeaderBytes)
	}
	if most := bodyLimit(c.conf); c.r.ContentLength > most {
		return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "the body is over %d bytes", most)
	}
	return nil
}

// bodyLimit returns the most bytes that a body may have.
func bodyLimit(conf *catalog.Config) int64 {
	if conf.Limits.BodyBytes > 0 {
		return conf.Limits.BodyBytes
	}
	return defaultMaxBodyBytes
}

func (c *call) setDeadline() {
	wait, ok := callerTimeout(c.r.Header, &c.h.cfg.Names)
	if !ok {
		wait = defaultTimeout
	}
	if t := c.route.Timeout; t > 0 && t < wait {
		wait = t
	}
	c.timeout = wait
	c.deadline = c.start.Add(wait)
}

// readBody reads the whole body into memory: it may have to be sent again, and an endpoint that
// reads slower than the caller sends must not block the caller's connection.
func (c *call) readBody() *refusal.Refusal {
	if c.r.ContentLength == 0 {
		c.bodyRead = true
		return nil
	}
	rc := http.NewResponseController(c.w)
	if err := rc.SetReadDeadline(c.deadline); err != nil {
		c.h.cfg.Log.Debug().Err(err).Msg("no read deadline on this connection")
	}
	stopWatching := context.AfterFunc(c.h.ending, func() { _ = rc.SetReadDeadline(time.Now()) })
	defer stopWatching()
	limit := bodyLimit(c.conf)
	body, err := listen.ReadBody(c.r.Body, c.r.ContentLength, limit, c.takeBody, c.releaseBody)
	var ne net.Error
	switch {
	case errors.Is(err, listen.ErrBodyTooLong):
		return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "the body is over %d bytes", limit)
	case errors.Is(err, listen.ErrNoRoom):
		return c.refuseMemory()
	}
	c.bodyRead = true
	switch {
	case errors.As(err, &ne) && ne.Timeout() && c.h.ending.Err() != nil:
		return refuseStopping("this VM stops before the body has come")
	case errors.As(err, &ne) && ne.Timeout():
		return refusal.New(http.StatusRequestTimeout, refusal.DeadlineTooShort, "the body did not come in time")
	case err != nil:
		return refusal.New(http.StatusBadRequest, refusal.BadRequest, "the body can't be read")
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		c.h.cfg.Log.Debug().Err(err).Msg("no read deadline on this connection")
	}
	c.body = body
	return nil
}

// defaultMaxBodyBytes bounds a body if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// newRand returns a random generator with a fresh seed for one choice.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
