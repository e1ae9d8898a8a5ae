package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/alexedwards/flow"
	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/config"
	"goldcrestfork/policy/room"
)

// Headers of the API.
const (
	// HeaderRevision carries the configuration revision of an answer.
	HeaderRevision = "Config-Revision"
	// HeaderMinRevision makes a read wait until the VM has that revision.
	HeaderMinRevision = "Min-Revision"
	// HeaderChangeID and HeaderChangeSince identify a change across its repeats, by an id
	// and a revision from before the first attempt.
	HeaderChangeID    = "Change-Id"
	HeaderChangeSince = "Change-Since"
)

// Bounds of a request.
const (
	// maxBodyBytes bounds the body of a change. The platform's limit of 1 MB bounds the
	// resulting root object.
	maxBodyBytes = 8 << 20
	// maxLabelsBytes bounds the body of a change of one object's labels.
	maxLabelsBytes = 64 << 10
	// bodyTimeout bounds the time that an operator takes to send the body of a change.
	bodyTimeout = 30 * time.Second
	// changeTimeout bounds a change until its outcome is known. It spans several of the
	// platform's call timeouts (2 s) and is short enough for an operator to wait.
	changeTimeout = 10 * time.Second
	// waitTimeout bounds the wait for a revision. It equals the 16 s within which a
	// change must be in force on all VMs.
	waitTimeout = 16 * time.Second
)

// Configuration provides the configuration in force on this VM.
type Configuration interface {
	// Snapshot returns the configuration in force; callers must not modify it.
	Snapshot() *config.Snapshot
	// WaitRevision waits until the configuration is at revision or above and returns it. It
	// returns the context's error if ctx ends first.
	WaitRevision(ctx context.Context, revision int64) (*config.Snapshot, error)
}

// Editor applies changes to the configuration.
type Editor interface {
	// ApplyOnce applies the changes as one change with this id, unless a change with the id
	// was accepted after revision since; see config.Editor.ApplyOnce for the results.
	ApplyOnce(ctx context.Context, id string, since int64, changes []config.Change) (int64, *config.Snapshot, error)
	// Restore writes this VM's configuration in force back to a platform that holds an older
	// one; see config.Editor.Restore.
	Restore(ctx context.Context, id string) (int64, *config.Snapshot, error)
}

// Fleet provides the VMs and the revision in force on each.
type Fleet interface {
	// VMs returns the names of all VMs that have not left, including those that are down.
	VMs() []string
	// Revisions returns the revision of each live VM, this one included.
	Revisions() map[string]int64
}

// Bill sums one client account's use of one version on one day.
type Bill struct {
	Account      string `json:"account"`
	Version      string `json:"version"`
	Requests     int64  `json:"requests"`
	InputTokens  int64  `json:"inputTokens"`
	OutputTokens int64  `json:"outputTokens"`
	// Micros is the cost in micro-units.
	Micros int64 `json:"micros"`
}

// Bills reads bills.
type Bills interface {
	// Bills returns the bills of a day (UTC). An empty account selects all accounts.
	Bills(ctx context.Context, account string, day time.Time) ([]Bill, error)
}

// Options configures the API's handler.
type Options struct {
	Configuration Configuration
	Editor        Editor
	Fleet         Fleet
	Bills         Bills
	// KeyHashes are the hex SHA-256 sums of the operators' keys.
	KeyHashes []string
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
	// Bodies counts the memory of changes' bodies; nil for no bound.
	Bodies *room.Bytes
}

type handler struct {
	Options
	hashes [][]byte
	// answers counts the answers by code.
	answers *prometheus.CounterVec
}

// New returns the API's handler for paths below /v1/.
func New(o Options) http.Handler {
	h := &handler{Options: o, answers: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "goldcrest_operator_answers_total", Help: "Answers of the operator API by code.",
	}, []string{"code"})}
	if o.Registerer != nil {
		o.Registerer.MustRegister(h.answers)
	}
	for _, text := range o.KeyHashes {
		if sum, err := hex.DecodeString(text); err == nil && len(sum) == sha256.Size {
			h.hashes = append(h.hashes, sum)
		}
	}
	return h.routes()
}

func (h *handler) routes() http.Handler {
	mux := flow.New()
	mux.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.refuse(w, Problem{Status: http.StatusNotFound, Code: CodeNoSuchPath, Detail: "no such path: " + r.URL.Path})
	})
	mux.Use(h.authorize)
	mux.HandleFunc("/v1/revision", h.revision, http.MethodGet)
	mux.HandleFunc("/v1/in-force", h.inForce, http.MethodGet)
	mux.HandleFunc("/v1/bills", h.bills, http.MethodGet)
	mux.HandleFunc("/v1/apply", h.apply, http.MethodPost)
	mux.HandleFunc("/v1/restore", h.restore, http.MethodPost)
	mux.HandleFunc("/v1/:kind", h.list, http.MethodGet)
	mux.HandleFunc("/v1/:kind/:name", h.get, http.MethodGet)
	mux.HandleFunc("/v1/:kind/:name", h.put, http.MethodPut)
	mux.HandleFunc("/v1/:kind/:name", h.remove, http.MethodDelete)
	mux.HandleFunc("/v1/:kind/:name/labels", h.label, http.MethodPatch)
	mux.HandleFunc("/v1/:kind/:name/:action", h.runAction, http.MethodPost)
	return mux
}

// authorize rejects requests without a valid operator key. All hashes are compared in
// constant time, so that the response time reveals nothing about them.
func (h *handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		match := 0
		for _, hash := range h.hashes {
			match |= subtle.ConstantTimeCompare(hash, sum[:])
		}
		if !ok || match != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			h.refuse(w, Problem{Status: http.StatusUnauthorized, Code: CodeUnauthorized, Detail: "an operator's key is needed as bearer token"})
			return
		}
		next.ServeHTTP(w, r)
	})
}
