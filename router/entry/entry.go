// Package entry is the callers' API: completions (streamed or not), models, plain
// services, and the addresses of the VMs that a caller should use. Each request gets
// exactly one final answer as soon as it is known: its result, or a refusal that states
// what is known about the run and when a retry helps.
//
// Lock order: the package holds no lock across calls; its counters are leaves.
package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/alexedwards/flow"

	"goldcrestfork/config"
	"goldcrestfork/ledger/bill"
	"goldcrestfork/ledger/pin"
	"goldcrestfork/policy/cascade"
	"goldcrestfork/policy/rollout"
	"goldcrestfork/policy/room"
	"goldcrestfork/router/dispatch"
	"goldcrestfork/router/engine"
	"goldcrestfork/router/refusal"
	"goldcrestfork/router/service"
)

// Configuration provides the configuration in force on this VM.
type Configuration interface {
	// Snapshot is never nil; its revision is 0 until the VM has a configuration.
	Snapshot() *config.Snapshot
	// CheckFresh returns nil, or the reason why this VM may have missed a relevant change and
	// must not take new work.
	CheckFresh() error
}

// Sessions keeps sessions on their versions; see pin.Pins.
type Sessions interface {
	// Version returns a session's version: the version of its token, the one recorded
	// first, or choice. It fails only if choice is empty.
	Version(ctx context.Context, s pin.Session, token, choice string, usable func(string) bool, now time.Time) (pin.Pin, error)
}

// Bills accepts bills. Add must not block.
type Bills interface{ Add(bill.Bill) bool }

// Address is the address of a VM that callers may use.
type Address struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// Addresses returns the VMs that an account should use, best first, and how long to keep
// the answer.
type Addresses interface {
	// Addresses returns the addresses for a caller in a data centre, and how long the caller
	// may keep them.
	Addresses(account, dataCentre string) ([]Address, time.Duration)
}

// Config holds the dependencies and settings of an Entry. All fields are required unless
// noted.
type Config struct {
	Configuration Configuration
	Dispatch      *dispatch.Dispatcher
	Engines       *engine.Client
	Services      *service.Client
	Claims        Claims
	Sessions      Sessions
	Bills         Bills
	Addresses     Addresses
	// Rater may be nil; cascades then use the versions' expected quality.
	Rater Rater
	// Cascade holds the settings of the cascades' learner.
	Cascade cascade.Settings
	// Outcomes records the outcomes that roll-outs are compared by.
	Outcomes *rollout.Recorder
	// Brakes keeps new work from versions that were found bad while the store is down.
	Brakes *rollout.Brakes
	// WrongVersion is called with an endpoint that answered as another version than
	// requested.
	WrongVersion func(endpoint string)
	Metrics      *Metrics
	// Secret signs resume tokens. It is the same on all VMs and has at least 32 bytes.
	Secret []byte
	// Bodies counts the memory of requests' bodies.
	Bodies *room.Bytes
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	configuration  Configuration
	dispatch       *dispatch.Dispatcher
	engines        *engine.Client
	services       *service.Client
	claims         Claims
	sessions       Sessions
	bills          Bills
	addresses      Addresses
	metrics        *Metrics
	signer         signer
	rater          Rater
	learner        *cascade.Learner
	ratingTimeout  time.Duration
	outcomes       outcomes
	brakes         *rollout.Brakes
	onWrongVersion func(endpoint string)

	running atomic.Int64
	bodies  *room.Bytes
	closed  atomic.Bool
	// ending ends when the requests in progress must get their final answers.
	ending context.Context
	end    context.CancelFunc
	// ratingSlots bounds the concurrent ratings for which no answer waits.
	ratingSlots chan struct{}
}

// New returns an Entry with the given dependencies.
func New(c Config) *Entry {
	ending, end := context.WithCancel(context.Background())
	return &Entry{
		ending:         ending,
		end:            end,
		configuration:  c.Configuration,
		dispatch:       c.Dispatch,
		engines:        c.Engines,
		services:       c.Services,
		claims:         c.Claims,
		sessions:       c.Sessions,
		bills:          c.Bills,
		addresses:      c.Addresses,
		metrics:        c.Metrics,
		signer:         signer{secret: c.Secret},
		rater:          c.Rater,
		ratingSlots:    make(chan struct{}, maxBackgroundRatings),
		learner:        cascade.NewLearner(c.Cascade),
		ratingTimeout:  c.Cascade.RatingTimeout,
		brakes:         c.Brakes,
		onWrongVersion: c.WrongVersion,
		outcomes:       outcomes{recorder: c.Outcomes},
		bodies:         c.Bodies,
	}
}

// Cascade returns the cascades' part of the state dump.
func (e *Entry) Cascade() cascade.Dump { return e.learner.Dump() }

// Handler returns the HTTP handler of the callers' API.
func (e *Entry) Handler() http.Handler {
	mux := flow.New()
	mux.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, refusal.New(http.StatusNotFound, refusal.NoSuchPath, "no such path: %s", r.URL.Path), "")
	})
	mux.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, refusal.New(http.StatusMethodNotAllowed, refusal.NoSuchPath, "%s does not take %s", r.URL.Path, r.Method), "")
	})
	mux.HandleFunc("/v1/chat/completions", e.countRunning(e.handleChat), http.MethodPost)
	mux.HandleFunc("/v1/models", e.handleModels, http.MethodGet)
	mux.HandleFunc("/v1/addresses", e.handleAddresses, http.MethodGet)
	mux.HandleFunc("/v1/services/:name/...", e.countRunning(e.handleService))
	return mux
}

// countRunning counts the running requests, whose end a planned stop waits for, and ends their contexts when
// the stop waits no longer.
func (e *Entry) countRunning(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.running.Add(1)
		defer e.running.Add(-1)
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer context.AfterFunc(e.ending, func() { cancel(errStopping) })()
		h(w, r.WithContext(ctx))
	}
}

// errStopping is the cause of the end of a request's context if the VM stops.
var errStopping = errors.New("the VM stops")

// End gives the requests in progress their final answers.
func (e *Entry) End() { e.end() }

// Running returns the number of requests in progress.
func (e *Entry) Running() int { return int(e.running.Load()) }

// Close refuses further requests; those in progress continue. It is called at the end of
// a planned stop, when every address answer that named this VM has expired.
func (e *Entry) Close() { e.closed.Store(true) }

// checkAcceptsWork returns a refusal if this VM must not take new work.
func (e *Entry) checkAcceptsWork() *refusal.Refusal {
	if e.configuration.Snapshot().Revision == 0 {
		return refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "the VM has no configuration yet").WithRetryAfter(retryDelay)
	}
	if err := e.configuration.CheckFresh(); err != nil {
		return refusal.New(http.StatusServiceUnavailable, refusal.Stale, "the VM may have missed a change: %v", err).WithRetryAfter(retryDelay)
	}
	return nil
}

// admit authenticates a request's caller, or refuses the request if this VM takes no new
// work.
func (e *Entry) admit(r *http.Request) (*Caller, *refusal.Refusal) {
	if e.closed.Load() {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.Draining, "the VM is about to stop; ask for addresses").WithRetryAfter(retryDelay)
	}
	if bad := e.checkAcceptsWork(); bad != nil {
		return nil, bad
	}
	return identify(r, e.configuration.Snapshot(), time.Now())
}

// refuse sends and counts a final refusal.
func (e *Entry) refuse(w http.ResponseWriter, r *refusal.Refusal, requestID string) {
	r.RequestID = requestID
	e.metrics.refusals.WithLabelValues(string(r.Code), string(r.Ran)).Inc()
	r.Write(w)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the models that are serving and that the account may use.
func (e *Entry) handleModels(w http.ResponseWriter, r *http.Request) {
	caller, bad := e.admit(r)
	if bad != nil {
		e.refuse(w, bad, "")
		return
	}
	models := make(map[string]bool)
	for _, v := range e.configuration.Snapshot().Versions {
		if v.State == config.VersionServing && caller.Account.Versions.Matches(v.Labels) {
			models[v.Model] = true
		}
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range slices.Sorted(maps.Keys(models)) {
		list.Data = append(list.Data, modelItem{ID: m, Object: "model", OwnedBy: "operators"})
	}
	writeJSON(w, list)
}

type addressList struct {
	Addresses []Address `json:"addresses"`
	// KeepSeconds is how long the answer may be used.
	KeepSeconds int `json:"keepSeconds"`
}

// handleAddresses returns the VMs to use. A VM that takes no new work answers as well,
// since its callers then need the other VMs' addresses.
func (e *Entry) handleAddresses(w http.ResponseWriter, r *http.Request) {
	s := e.configuration.Snapshot()
	if s.Revision == 0 {
		e.refuse(w, refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "the VM has no configuration yet").WithRetryAfter(retryDelay), "")
		return
	}
	caller, bad := identify(r, s, time.Now())
	if bad != nil {
		e.refuse(w, bad, "")
		return
	}
	list, keep := e.addresses.Addresses(caller.Account.Name, r.URL.Query().Get("dataCentre"))
	if list == nil {
		list = []Address{}
	}
	w.Header().Set("Cache-Control", "private, max-age="+itoa(int(keep.Seconds())))
	writeJSON(w, addressList{Addresses: list, KeepSeconds: int(keep.Seconds())})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// stepCost returns the cost of a step in micro-units. Generated tokens are charged
// whether or not the caller receives them.
func (e *Entry) stepCost(fin requestEnd) int64 {
	v := e.configuration.Snapshot().Versions[fin.version]
	if v == nil {
		return 0
	}
	return tokenCost(v, fin.tokens())
}

// tokens returns the number of tokens generated.
func (fin requestEnd) tokens() int64 {
	return cmp.Or(fin.stream.Usage.CompletionTokens, int64(fin.stream.Next))
}

// bill records the work of one request over all its steps and attempts, if there was
// any.
func (e *Entry) bill(c *chatRequest, fin requestEnd) {
	if fin.cost == 0 && fin.tokens() == 0 {
		return
	}
	e.bills.Add(bill.Bill{
		Account:      c.Account.Name,
		Request:      billID(c.Caller),
		Accepted:     c.Accepted,
		Version:      fin.version,
		InputTokens:  fin.stream.Usage.PromptTokens,
		OutputTokens: fin.tokens(),
		Micros:       fin.cost,
	})
}

// tokenCost returns the price of a number of output tokens in micro-units, rounded up.
func tokenCost(v *config.ModelVersion, tokens int64) int64 { return (v.Cost*tokens + 999) / 1000 }

func (e *Entry) billPlain(p *plainRequest) {
	e.bills.Add(bill.Bill{Account: p.Account.Name, Request: billID(p.Caller), Accepted: p.Accepted, Version: p.service})
}

// billID returns an id that is the same for every send of one action, so that the action
// is billed once.
func billID(c *Caller) string {
	if c.Key != "" {
		return "key/" + c.Key
	}
	return "request/" + c.RequestID
}
