package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/quota"
	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/poison"
	"goldcrestfork/policy/reach"
	"goldcrestfork/policy/retry"
)

// testNames are header names that differ from those of the real protocol, so that the tests do
// not depend on it.
var testNames = HeaderNames{
	RequestID: "X-Request", Deadline: "X-Deadline", Key: "X-Key", Account: "X-Account",
	ExpectInstance: "X-Expect", Load: "X-Load", RateLimit: "X-Limit", Rest: "X-Rest", Leaving: "X-Leaving", Brittle: "X-Brittle", NotRun: "X-Not-Run",
	Signature: "X-Signature", Confidence: "X-Confidence", Model: "X-Model",
	PromptParts: "X-Parts", TokenCounts: "X-Tokens", LengthHint: "X-Hint", Priority: "X-Priority", Session: "X-Session", LastEventID: "X-Last", ColdRemaining: "X-Cold", Forwarded: "X-Forwarded", Counted: "X-Counted",
	Owned: []string{"X-Key", "X-Account", "X-Expect", "X-Priority", "X-Hold", "X-Forwarded", "X-Counted"},
}

// fakeEndpoint is one endpoint; serve answers its requests.
type fakeEndpoint struct {
	id       string
	server   *httptest.Server
	runs     atomic.Int64
	mu       sync.Mutex
	seen     []http.Header
	bodies   []string
	handlers []http.HandlerFunc
}

// testEnv is one VM in front of fake endpoints, with the settings that the test controls.
type testEnv struct {
	t         testing.TB
	handler   *Handler
	vmServer  *httptest.Server
	table     *placement.Table
	state     *fakeState
	versions  *fakeVersions
	budget    *fakeBudget
	poison    *fakePoison
	limits    fakeLimits
	gate      *admission.Gate // nil: the service isn't managed
	endpoints []*fakeEndpoint
}

type fakeState struct {
	mu       sync.Mutex
	loaded   chan struct{}
	onLoaded func() // called by Loaded; may be nil
	config   *catalog.Config
	age      time.Duration
}

func (s *fakeState) Config() *catalog.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

func (s *fakeState) Loaded() <-chan struct{} {
	if s.onLoaded != nil {
		s.onLoaded()
	}
	return s.loaded
}

func (s *fakeState) ConfigAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.age
}

type fakeVersions struct {
	mu            sync.Mutex
	choice        VersionChoice
	answers       []AnswerResult
	paces         []AnswerResult
	endedVersions []string // one entry for each ended request
}

func (v *fakeVersions) Begin(string, string, time.Time) Pin { return v }

func (v *fakeVersions) Choose(context.Context) (VersionChoice, ChoiceReason) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.choice, ChoiceReason{}
}

func (v *fakeVersions) End(version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endedVersions = append(v.endedVersions, version)
}

func (v *fakeVersions) RecordAnswer(a AnswerResult) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answers = append(v.answers, a)
}

func (v *fakeVersions) RecordPace(a AnswerResult) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.paces = append(v.paces, a)
}

func (v *fakeVersions) VerySlow(AnswerResult) bool { return false }

// fakeBudget grants all extra attempts unless none is set, and counts.
type fakeBudget struct {
	none          atomic.Bool
	firsts, extra atomic.Int64
}

func (b *fakeBudget) RecordFirst(string) { b.firsts.Add(1) }

func (b *fakeBudget) TakeExtra(string) (retry.Use, bool) {
	if b.none.Load() {
		return retry.Use{}, false
	}
	b.extra.Add(1)
	return retry.Use{}, true
}

func (b *fakeBudget) ReturnExtra(string, retry.Use) { b.extra.Add(-1) }

type fakePoison struct {
	mu           sync.Mutex
	limit        int // crashes after which a request is quarantined
	suspect      poison.Fingerprint
	crashes      map[uint64]int
	begun        int
	refused      []string // endpoints
	openAttempts int      // attempts begun and not ended
}

func (p *fakePoison) Quarantined(_ string, f uint64, _ ...poison.Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes[f] >= p.limit
}

func (p *fakePoison) MayRepeat(_ string, parts ...poison.Fingerprint) bool {
	return !slices.ContainsFunc(parts, func(part poison.Fingerprint) bool { return part == p.suspect })
}

func (p *fakePoison) Begin(string, string, uint64, ...poison.Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun++
	p.openAttempts++
}

func (p *fakePoison) Answering(string, string, uint64) {}

func (p *fakePoison) End(a Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openAttempts--
	if a.ConnectionBroke {
		p.crashes[a.Fingerprint]++
	}
}

// crashedRequests returns the number of requests at whose crashes a connection broke.
func (p *fakePoison) crashedRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.crashes)
}

func (p *fakePoison) Refused(_, endpoint, _ string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = append(p.refused, endpoint)
}

// newTestEnv starts a VM with n endpoints of one service and a route of each kind.
func newTestEnv(t testing.TB, n int) *testEnv {
	t.Helper()
	w := &testEnv{t: t, table: placement.New("a"), state: &fakeState{loaded: make(chan struct{})}, versions: &fakeVersions{}, budget: &fakeBudget{}, poison: &fakePoison{limit: 3, crashes: map[uint64]int{}}}
	branch := []catalog.WeightedService{{Service: "s", Weight: 1}}
	routes := []*catalog.Route{
		{Name: "once", Host: "h", Prefix: "/once/", Kind: catalog.NonIdempotent, MaxAttempts: 3, Services: branch, Timeout: time.Minute},
		{Name: "single", Host: "h", Prefix: "/single/", Kind: catalog.NonIdempotent, MaxAttempts: 1, Services: branch},
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: catalog.Idempotent, MaxAttempts: 3, Services: branch},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: catalog.Idempotent, MaxAttempts: 3, Services: branch, Anonymous: true},
		{Name: "quick", Host: "h", Prefix: "/safe/quick/", Kind: catalog.Idempotent, MaxAttempts: 3, Services: branch, Timeout: 50 * time.Millisecond},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: catalog.Streaming, MaxAttempts: 3, Services: branch, Resume: true},
		{Name: "stream-once", Host: "h", Prefix: "/stream-once/", Kind: catalog.Streaming, MaxAttempts: 3, Services: branch},
		{Name: "aimed", Host: "h", Prefix: "/aimed/", Kind: catalog.Streaming, MaxAttempts: 3, Services: branch, Resume: true, Target: 50 * time.Millisecond},
		{Name: "aimed-plain", Host: "h", Prefix: "/aimed-plain/", Kind: catalog.Idempotent, MaxAttempts: 3, Services: branch, Target: 50 * time.Millisecond},
		{Name: "aimed-once", Host: "h", Prefix: "/aimed-once/", Kind: catalog.Streaming, MaxAttempts: 3, Services: branch, Target: 50 * time.Millisecond},
		{Name: "sized", Host: "h", Prefix: "/sized/", Kind: catalog.Streaming, MaxAttempts: 3, Services: branch, Resume: true, Models: []string{"small", "middle", "large"}},
		{Name: "sized-once", Host: "h", Prefix: "/sized-once/", Kind: catalog.Streaming, MaxAttempts: 3, Services: branch, Models: []string{"small", "middle", "large"}},
	}
	keys := map[string]*catalog.Account{"k": {Name: "acme"}}
	w.state.config = catalog.NewConfig(7, 70, routes, []*catalog.Service{{Name: "s"}}, keys, true, catalog.Limits{HeaderBytes: 4096, BodyBytes: 1 << 16})
	for i := range n {
		w.add(fmt.Sprintf("e%d", i))
	}
	registry, start := prometheus.NewRegistry(), time.Now()
	w.handler = New(Config{
		Names: testNames, State: w.state, Table: w.table, Pool: upstream.NewPool(registry, "test", nil), Versions: w.versions,
		Budget: w.budget, Poison: w.poison, Load: noLoad{}, Limits: &w.limits, Admission: func(string) *admission.Gate { return w.gate }, Detours: noDetours{}, VMs: func() int { return 1 }, Self: "a", PeerPool: upstream.NewPool(prometheus.NewRegistry(), "test", nil), Metrics: NewMetrics(registry), Log: zerolog.Nop(), Clock: func() time.Duration { return time.Since(start) },
		MaxKeyConfigAge: func() time.Duration { return 4 * time.Second }, MaxDenyConfigAge: 2 * time.Second,
	})
	close(w.state.loaded)
	w.vmServer = httptest.NewServer(w.handler)
	t.Cleanup(func() {
		w.vmServer.Close()
		// Each occupied slot was released, and each attempt ended once.
		require.Zero(t, w.poison.openAttempts)
		for _, row := range w.table.Rows(time.Now()) {
			require.Zero(t, row.Running, row.ID)
		}
	})
	return w
}

func (w *testEnv) add(id string) *fakeEndpoint {
	e := &fakeEndpoint{id: id}
	e.server = httptest.NewServer(http.HandlerFunc(e.serve))
	w.t.Cleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
	})
	w.endpoints = append(w.endpoints, e)
	w.table.Set(time.Now(), placement.Spec{ID: id, Service: "s", Address: e.address(), DataCentre: "a", Version: "v1", Slots: 8})
	return e
}

func (e *fakeEndpoint) address() string { return e.server.Listener.Addr().String() }

func (e *fakeEndpoint) serve(w http.ResponseWriter, r *http.Request) {
	n := int(e.runs.Add(1))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.seen = append(e.seen, r.Header.Clone())
	e.bodies = append(e.bodies, string(body))
	var h http.HandlerFunc
	if len(e.handlers) > 0 {
		h = e.handlers[min(n, len(e.handlers))-1]
	}
	e.mu.Unlock()
	w.Header().Set(testNames.RequestID, r.Header.Get(testNames.RequestID))
	if h == nil {
		h = answerOK
	}
	h(w, r)
}

func answerOK(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(testNames.Signature, "sig")
	_, _ = io.WriteString(w, "whole")
}

// setHandlers makes all endpoints answer in the same way: the n-th handler serves an endpoint's
// n-th request, and the last one all later requests.
func (w *testEnv) setHandlers(h ...http.HandlerFunc) {
	for _, e := range w.endpoints {
		e.mu.Lock()
		e.handlers = h
		e.mu.Unlock()
	}
}

// totalRuns returns the number of requests that reached endpoints.
func (w *testEnv) totalRuns() (n int64) {
	for _, e := range w.endpoints {
		n += e.runs.Load()
	}
	return n
}

// headers returns the request headers that the endpoints received.
func (w *testEnv) headers() (out []http.Header) {
	for _, e := range w.endpoints {
		e.mu.Lock()
		out = append(out, e.seen...)
		e.mu.Unlock()
	}
	return out
}

type result struct {
	status     int
	header     http.Header
	body       string
	err        error // error of reading the body
	lastOnConn bool  // the connection closes after this answer
}

// send sends one request with a fresh id and the account's key; head lists further headers as
// names and values.
func (w *testEnv) send(method, path, body string, head ...string) result {
	w.t.Helper()
	r, err := w.trySend(method, path, body, head...)
	require.NoError(w.t, err)
	return r
}

// trySend is send for a request whose connection the VM may close without an answer.
func (w *testEnv) trySend(method, path, body string, head ...string) (result, error) {
	w.t.Helper()
	req, err := http.NewRequestWithContext(w.t.Context(), method, w.vmServer.URL+path, strings.NewReader(body))
	require.NoError(w.t, err)
	req.Host = "h"
	req.Header.Set(testNames.RequestID, fmt.Sprintf("r%d", requestCount.Add(1)))
	req.Header.Set(testNames.Key, "k")
	req.Header.Set(testNames.Deadline, "20000")
	for i := 0; i < len(head); i += 2 {
		req.Header.Set(head[i], head[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return result{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(b), err: err, lastOnConn: resp.Close}, nil
}

var requestCount atomic.Int64

// crash resets the connection without an answer, as a crashed process does.
func crash(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func status(code int, head ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(head); i += 2 {
			w.Header().Set(head[i], head[i+1])
		}
		w.WriteHeader(code)
	}
}

// events answers with events first..last and then ends the stream in an orderly way. If cut is
// set, it breaks the connection in the middle of a further event.
func events(first, last int, cut bool, head ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testNames.Signature, "sig")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 0; i < len(head); i += 2 {
			w.Header().Set(head[i], head[i+1])
		}
		rc := http.NewResponseController(w)
		for i := first; i <= last; i++ {
			fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			_ = rc.Flush()
		}
		if cut {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func streamOf(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// fakeLimits grants requests at the limited endpoint only, or at any while grants is positive.
type fakeLimits struct {
	grants atomic.Int64
	only   atomic.Pointer[string]
}

func (l *fakeLimits) Take(_ context.Context, endpoint string, _ float64) quota.Answer {
	if only := l.only.Load(); only != nil && *only == endpoint || only == nil && l.grants.Add(-1) >= 0 {
		return quota.Answer{Keeper: "a", VMs: 1}
	}
	return quota.Answer{Wait: time.Hour, Keeper: "a", VMs: 1}
}

// noDetours implements Detours for a fleet of one VM.
type noDetours struct{}

func (noDetours) Needed(reach.Request) bool                    { return false }
func (noDetours) Next(string, []string, []string) (Peer, bool) { return Peer{}, false }
func (noDetours) Unusable(string)                              {}
func (noDetours) Down(string)                                  {}

// noLoad implements LoadExchange for a fleet of one VM, in which no other VM has work in progress.
type noLoad struct{}

func (noLoad) Refresh(context.Context) {}
func (noLoad) ReportChange()           {}
