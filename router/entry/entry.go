// Package entry is the callers' API: completions (streamed or not), models, plain
// services, and the question which address to use. Each request gets exactly one
// final answer, at once when it is known: its result, or a refusal that says what
// is known about the run and when coming back helps.
//
// Lock order: the package holds no lock across calls; its counters are leaves.
package entry

import (
	"cmp"
	"context"
	"encoding/json"
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
	"goldcrestfork/router/dispatch"
	"goldcrestfork/router/engine"
	"goldcrestfork/router/refusal"
	"goldcrestfork/router/service"
)

// Configuration is the configuration in force on this VM.
type Configuration interface {
	// Snapshot is never nil; at revision 0 the VM has no configuration yet.
	Snapshot() *config.Snapshot
	// Fresh is nil, or tells why this VM may have missed a change that matters and
	// must not take new work.
	Fresh() error
}

// Sessions keeps sessions on their versions; see pin.Pins.
type Sessions interface {
	// Version gives a session's version: that of its token, or the one recorded first,
	// or choice. It fails only when choice is empty.
	Version(ctx context.Context, s pin.Session, token, choice string, usable func(string) bool, now time.Time) (pin.Pin, error)
}

// Bills takes bills; it must not block.
type Bills interface{ Add(bill.Bill) bool }

// Address is one entry VM that callers may use.
type Address struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// Addresses answers which VMs to use, best first, and for how long to keep the answer.
type Addresses interface {
	Addresses(account, dataCentre string) ([]Address, time.Duration)
}

// Config wires an entry. All fields are required but where noted.
type Config struct {
	Configuration Configuration
	Dispatch      *dispatch.Dispatcher
	Engines       *engine.Client
	Services      *service.Client
	Claims        Claims
	Sessions      Sessions
	Bills         Bills
	Addresses     Addresses
	// Rater may be nil: cascades then go by the versions' expected quality.
	Rater Rater
	// Cascade sets the cascades' learner.
	Cascade cascade.Settings
	// Outcomes counts for the comparison of roll-outs.
	Outcomes *rollout.Recorder
	// Brakes keeps new work from versions found bad while the store is down.
	Brakes *rollout.Brakes
	// WrongVersion is told of an endpoint that answered as another version than asked.
	WrongVersion func(endpoint string)
	Metrics      *Metrics
	// Secret signs resume tokens; the same on all VMs, at least 32 bytes.
	Secret []byte
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	configuration Configuration
	dispatch      *dispatch.Dispatcher
	engines       *engine.Client
	services      *service.Client
	claims        Claims
	sessions      Sessions
	bills         Bills
	addresses     Addresses
	metrics       *Metrics
	signer        signer
	rater         Rater
	learner       *cascade.Learner
	ratingTimeout time.Duration
	outcomes      outcomes
	brakes        *rollout.Brakes
	wrongVersion  func(endpoint string)

	running  atomic.Int64
	buffered atomic.Int64
	closed   atomic.Bool
	// sampling admits the ratings that no answer waits for.
	sampling chan struct{}
}

// New returns an entry.
func New(c Config) *Entry {
	return &Entry{
		configuration: c.Configuration,
		dispatch:      c.Dispatch,
		engines:       c.Engines,
		services:      c.Services,
		claims:        c.Claims,
		sessions:      c.Sessions,
		bills:         c.Bills,
		addresses:     c.Addresses,
		metrics:       c.Metrics,
		signer:        signer{secret: c.Secret},
		rater:         c.Rater,
		sampling:      make(chan struct{}, maxSampling),
		learner:       cascade.NewLearner(c.Cascade),
		ratingTimeout: c.Cascade.RatingTimeout,
		brakes:        c.Brakes,
		wrongVersion:  c.WrongVersion,
		outcomes:      outcomes{recorder: c.Outcomes},
	}
}

// Cascade is the cascades' part of the state dump.
func (e *Entry) Cascade() cascade.Dump { return e.learner.Dump() }

// Handler serves the callers' API.
func (e *Entry) Handler() http.Handler {
	mux := flow.New()
	mux.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, refusal.New(http.StatusNotFound, refusal.NoSuchPath, "no such path: %s", r.URL.Path), "")
	})
	mux.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, refusal.New(http.StatusMethodNotAllowed, refusal.NoSuchPath, "%s does not take %s", r.URL.Path, r.Method), "")
	})
	mux.HandleFunc("/v1/chat/completions", e.count(e.handleChat), http.MethodPost)
	mux.HandleFunc("/v1/models", e.handleModels, http.MethodGet)
	mux.HandleFunc("/v1/addresses", e.handleAddresses, http.MethodGet)
	mux.HandleFunc("/v1/services/:name/...", e.count(e.handleService))
	return mux
}

// count keeps the number of running requests, for the end of a planned stop.
func (e *Entry) count(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.running.Add(1)
		defer e.running.Add(-1)
		h(w, r)
	}
}

// Running is the number of requests under way.
func (e *Entry) Running() int { return int(e.running.Load()) }

// Close refuses further requests; those under way go on. It comes at the end of a
// planned stop, when every address answer that named this VM has run out.
func (e *Entry) Close() { e.closed.Store(true) }

// takesWork refuses new work that this VM must not take.
func (e *Entry) takesWork() *refusal.Refusal {
	if e.configuration.Snapshot().Revision == 0 {
		return refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "the VM has no configuration yet").After(comeBack)
	}
	if err := e.configuration.Fresh(); err != nil {
		return refusal.New(http.StatusServiceUnavailable, refusal.Stale, "the VM may have missed a change: %v", err).After(comeBack)
	}
	return nil
}

// open identifies a request's caller, unless this VM takes no new work.
func (e *Entry) open(r *http.Request) (*Caller, *refusal.Refusal) {
	if e.closed.Load() {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.Draining, "the VM is about to stop; ask for addresses").After(comeBack)
	}
	if bad := e.takesWork(); bad != nil {
		return nil, bad
	}
	return identify(r, e.configuration.Snapshot(), time.Now())
}

// refuse sends a final refusal.
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

// handleModels lists the models that the account may use and that are serving.
func (e *Entry) handleModels(w http.ResponseWriter, r *http.Request) {
	caller, bad := e.open(r)
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

// handleAddresses answers which VMs to use. A VM that takes no new work answers
// too: the others' addresses are what its callers need then.
func (e *Entry) handleAddresses(w http.ResponseWriter, r *http.Request) {
	s := e.configuration.Snapshot()
	if s.Revision == 0 {
		e.refuse(w, refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "the VM has no configuration yet").After(comeBack), "")
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
	// A caller that has gone is no error of ours.
	_ = json.NewEncoder(w).Encode(v)
}

// spent is what a step cost, in micro-units: what was generated is paid for,
// whether the caller gets to see it or not.
func (e *Entry) spent(fin end) int64 {
	v := e.configuration.Snapshot().Versions[fin.version]
	if v == nil {
		return 0
	}
	return costOf(v, fin.tokens())
}

// tokens is the number of tokens generated.
func (fin end) tokens() int64 {
	return cmp.Or(fin.stream.Usage.CompletionTokens, int64(fin.stream.Next))
}

// bill records one request's work over all its steps and attempts, if there was any.
func (e *Entry) bill(c *chat, fin end) {
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

// costOf is the price of so many output tokens, in micro-units, rounded up.
func costOf(v *config.ModelVersion, tokens int64) int64 { return (v.Cost*tokens + 999) / 1000 }

func (e *Entry) billPlain(p *plain) {
	e.bills.Add(bill.Bill{Account: p.Account.Name, Request: billID(p.Caller), Accepted: p.Accepted, Version: p.service})
}

// billID is the same for every send of one action.
func billID(c *Caller) string {
	if c.Key != "" {
		return "key/" + c.Key
	}
	return "request/" + c.RequestID
}
