package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/placement"
	"goldcrestfork/router/refusal"
)

// State is what the VM knows of the operators' wishes.
type State interface {
	// Config is the newest configuration; nil while none is known.
	Config() *catalog.Config
	// ConfigAge is how long ago the configuration was shown to be the newest.
	ConfigAge() time.Duration
	// Known is closed when a configuration and the endpoints are known for the first time.
	Known() <-chan struct{}
}

// Versions decides which version of a service's endpoints a request may use.
type Versions interface {
	// Begin opens a request of a session ("" for none) that lasts until deadline at most.
	Begin(service, session string, deadline time.Time) Pin
	// Answered takes what an endpoint made of a request.
	Answered(a Answered)
}

// Pin is one request's hold on the version of its session.
type Pin interface {
	// Choose returns the version for an attempt that is sent now.
	Choose(ctx context.Context) (Choice, Why)
	// End says that the request is over; version ran it last, "" if none did.
	End(version string)
}

// Choice is the version that serves a session; both fields empty for any.
type Choice struct {
	// Only is the version to use as long as it has endpoints.
	Only string
	// Not is a version that must not be used.
	Not string
}

// Why is what a choice rests on, for the request's log line.
type Why struct {
	// Reason is one of a few words; docs/OPERATIONS.md lists them.
	Reason string
	// RollOutAge is the time since the order as this VM knows it; 0 without one.
	RollOutAge time.Duration
	// Keeper is the VM that told the session's version, "" where none was asked, and
	// SessionAge how long it has known the session; 0 for a new one.
	Keeper     string
	SessionAge time.Duration
}

// Answered is one endpoint's answer, for the comparison of versions.
type Answered struct {
	Service, Version, Route, Model string
	// Failed: the endpoint failed the request, by an error or a broken answer.
	Failed bool
	// Took is the time to the answer's head (streams) or end; 0 if it isn't known.
	Took time.Duration
}

// Config sets a handler.
type Config struct {
	Names    Names
	State    State
	Table    *placement.Table
	Pool     *upstream.Pool
	Versions Versions
	Budget   Budget
	Poison   Poison
	Load     Load
	Metrics  *Metrics
	Log      zerolog.Logger
	// KeyProof is the age of the configuration's proof up to which keys are honoured:
	// a key may have been taken away since.
	KeyProof func() time.Duration
	// DenyProof is the age up to which the VM answers by itself that a path or key
	// doesn't exist; it may have been added since.
	DenyProof time.Duration
}

// Budget bounds the attempts beyond the first, over all VMs.
type Budget interface {
	// First counts a request's first attempt at a service.
	First(service string)
	// Again asks for one more attempt.
	Again(service string) bool
}

// Load is the work that the fleet has under way.
type Load interface {
	// Ask brings what the other VMs have under way into the table, and waits some ms at most.
	Ask(ctx context.Context)
	// Changed says that what this VM has under way is another now.
	Changed()
}

// Poison finds requests that crash the endpoints that run them. A fingerprint says what
// a request asks; each attempt is begun and ended once.
type Poison interface {
	Quarantined(service string, fingerprint uint64) bool
	Begin(service, endpoint string, fingerprint uint64)
	End(a Attempt)
}

// Attempt is one attempt that has ended.
type Attempt struct {
	Service, Endpoint, Address string
	Fingerprint                uint64
	// Survived: the endpoint gave a whole answer. Broke: its connection broke.
	Survived, Broke bool
}

// Handler serves callers.
type Handler struct {
	cfg        Config
	stopping   atomic.Bool
	lastStream atomic.Pointer[time.Time]
	active     atomic.Int64
	overdue    *overdue
	started    time.Time
}

// New returns a handler.
func New(cfg Config) *Handler { return &Handler{cfg: cfg, overdue: newOverdue(), started: time.Now()} }

// Stop makes each further answer the last on its connection, and turns streams away
// that come after a time: they would not end before the VM does.
func (h *Handler) Stop(lastStream time.Time) {
	h.lastStream.Store(&lastStream)
	h.stopping.Store(true)
}

// late says that a stream would outlive the VM.
func (h *Handler) late(now time.Time) bool {
	return h.stopping.Load() && now.After(*h.lastStream.Load())
}

// Active is the number of requests under way.
func (h *Handler) Active() int64 { return h.active.Load() }

const (
	// comeBackSoon is when a caller should try another VM: its next try picks one at random.
	comeBackSoon = 100 * time.Millisecond
	// defaultWait is a caller's time where it names none, half a minute as HTTP clients do.
	defaultWait = 30 * time.Second
)

func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	c := &call{h: h, w: w, r: r, start: time.Now(), id: r.Header.Get(h.cfg.Names.RequestID)}
	h.awaitStart(r)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if bad := c.admit(); bad != nil {
		c.refuse(bad)
		return
	}
	if bad := c.readBody(); bad != nil {
		c.refuse(bad)
		return
	}
	c.run()
}

const (
	// startTime is how long after its start a VM holds requests that come before it knows what
	// it serves. When hundreds come back at once a large configuration takes over half a second
	// to reach them all; a caller that is sent away comes back to another that has just started.
	startTime = time.Second
	// startShare of the caller's time bounds what it is held.
	startShare = 0.25
)

// awaitStart holds a request to a VM that has just started.
func (h *Handler) awaitStart(r *http.Request) {
	select {
	case <-h.cfg.State.Known():
		return
	default:
	}
	wait := time.Until(h.started.Add(startTime))
	if given, ok := callerTime(r.Header, &h.cfg.Names); ok {
		wait = min(wait, time.Duration(startShare*float64(given)))
	}
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-h.cfg.State.Known():
	case <-t.C:
	case <-r.Context().Done():
	}
}

// admit finds out what the request may do.
func (c *call) admit() *refusal.Refusal {
	h := &c.h.cfg
	c.conf = h.State.Config()
	if c.conf == nil {
		return refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "no configuration yet").After(comeBackSoon)
	}
	c.age = h.State.ConfigAge()
	if bad := c.checkLimits(); bad != nil {
		return bad
	}
	c.route = c.conf.Match(c.r.Host, pathOf(c.r.RequestURI))
	if c.route == nil {
		return c.deny(http.StatusNotFound, refusal.NoSuchPath, "no route for this host and path")
	}
	if bad := c.checkKey(); bad != nil {
		return bad
	}
	if c.id == "" {
		return refusal.New(http.StatusBadRequest, refusal.BadRequest, "a request needs an id")
	}
	if c.route.Kind == catalog.Streaming && c.h.late(c.start) {
		return refusal.New(http.StatusServiceUnavailable, refusal.Draining, "this VM is leaving").After(comeBackSoon)
	}
	c.setDeadline()
	c.prompt = readPrompt(c.r.Header, &h.Names, c.route)
	c.priority = c.route.Priority
	if c.account != nil && c.account.HasPriority {
		c.priority = c.account.Priority
	}
	return nil
}

// deny answers that something doesn't exist, if the configuration is fresh enough to
// say so.
func (c *call) deny(status int, code refusal.Code, detail string) *refusal.Refusal {
	if c.age > c.h.cfg.DenyProof {
		return refusal.New(http.StatusServiceUnavailable, refusal.Stale, "%s in a configuration that may be old", detail).After(comeBackSoon)
	}
	return refusal.New(status, code, "%s", detail)
}

func (c *call) checkKey() *refusal.Refusal {
	key := c.r.Header.Get(c.h.cfg.Names.Key)
	if key != "" {
		c.account = c.conf.Account(key)
	}
	if c.route.Anonymous || !c.conf.Keyed() {
		return nil
	}
	if c.age > c.h.cfg.KeyProof() {
		return refusal.New(http.StatusServiceUnavailable, refusal.Stale, "keys can't be checked now").After(comeBackSoon)
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
		for _, v := range vs {
			size += len(k) + len(v) + len(": \r\n")
		}
	}
	if l.HeaderBytes > 0 && size > l.HeaderBytes {
		return refusal.New(http.StatusRequestHeaderFieldsTooLarge, refusal.BadRequest, "the head is over %d bytes", l.HeaderBytes)
	}
	if l.BodyBytes > 0 && c.r.ContentLength > l.BodyBytes {
		return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "the body is over %d bytes", l.BodyBytes)
	}
	return nil
}

func (c *call) setDeadline() {
	wait, ok := callerTime(c.r.Header, &c.h.cfg.Names)
	if !ok {
		wait = defaultWait
	}
	if t := c.route.Timeout; t > 0 && t < wait {
		wait = t
	}
	c.whole = wait
	c.deadline = c.start.Add(wait)
}

// readBody takes the whole body: it may have to be sent again, and an endpoint that
// reads it slower than the caller sends must not hold the caller's connection.
func (c *call) readBody() *refusal.Refusal {
	if c.r.ContentLength == 0 {
		return nil
	}
	rc := http.NewResponseController(c.w)
	if err := rc.SetReadDeadline(c.deadline); err != nil {
		c.h.cfg.Log.Debug().Err(err).Msg("no read deadline on this connection")
	}
	limit := c.conf.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(io.LimitReader(c.r.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "the body is over %d bytes", limit)
	}
	var ne net.Error
	switch {
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

// defaultBody bounds a body where the configuration doesn't.
const defaultBody = 4 << 20

// newRand returns randomness for one choice.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
