// Package backend holds stand-ins for what stands behind the router: a model
// engine, a plain service and the rating service, each an http.Handler with
// faults that a test or the demo sets.
//
// Lock order: Engine.mu and Service.mu are leaves.
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alexedwards/flow"
)

// EngineFaults is what goes wrong on an engine, from the moment it is set.
type EngineFaults struct {
	// CutAfter ends each stream without an end mark after so many tokens; 0 means never.
	CutAfter int `json:"cutAfter"`
	// Cuts bounds how many streams CutAfter hits; 0 means all.
	Cuts int `json:"cuts"`
	// Forget makes the engine forget cut streams, so that it can't resume them.
	Forget bool `json:"forget"`
	// Double sends each frame twice.
	Double bool `json:"double"`
	// Cross sends a frame of another request before each frame.
	Cross bool `json:"cross"`
	// Skip leaves out the frame at this position of the next stream; 0 means none.
	Skip int `json:"skip"`
	// AnswersAs makes the engine answer with this version whatever was asked.
	AnswersAs string `json:"answersAs"`
	// Refuse answers 503 with Retry-After to each request before running it.
	Refuse bool `json:"refuse"`
	// Fail answers 500 at once.
	Fail bool `json:"fail"`
	// FailVersion answers 500 at once when this version is asked for.
	FailVersion string `json:"failVersion"`
	// CrashOn drops the connection when the prompt holds this text, and starts anew, cold.
	CrashOn string `json:"crashOn"`
	// TokenDelay is the time between tokens, in nanoseconds in JSON.
	TokenDelay time.Duration `json:"tokenDelay"`
}

// Engine is a stand-in for a model engine's runner.
type Engine struct {
	mu          sync.Mutex
	versions    []string
	role        string
	fence       int64
	incarnation int
	cold        bool
	running     int
	faults      EngineFaults
	runs        map[string]int
	kept        map[string]string
	stats       EngineStats
}

// EngineStats counts what an engine saw.
type EngineStats struct {
	// Started counts streams that began, resumed ones included.
	Started int `json:"started"`
	// Cancelled counts streams whose client left before the end.
	Cancelled int `json:"cancelled"`
	// MaxCold is the largest number of requests run at once in cold start.
	MaxCold int `json:"maxCold"`
	// Crashes counts crashes by CrashOn.
	Crashes int `json:"crashes"`
}

// NewEngine returns a warm engine that serves the versions named.
func NewEngine(versions ...string) *Engine {
	return &Engine{versions: versions, incarnation: 1, runs: make(map[string]int), kept: make(map[string]string)}
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Begin tells a process's engine which start of it this is, and whether it is cold.
func (e *Engine) Begin(incarnation int, cold bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation, e.cold = incarnation, cold
}

// Restart puts the engine into cold start under a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

func (e *Engine) restart() {
	e.incarnation++
	e.cold = true
	e.kept = make(map[string]string)
}

// Warm ends the cold start.
func (e *Engine) Warm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = false
}

// Stats returns what the engine saw.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Runs returns how often a request began on this engine.
func (e *Engine) Runs(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[requestID]
}

// Handler serves the engine's protocol and its control paths (/faults, /restart, /warm, /stats).
func (e *Engine) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/v1/chat/completions", e.complete, http.MethodPost)
	mux.HandleFunc("/load", e.load, http.MethodGet)
	mux.HandleFunc("/order", e.obey, http.MethodPost)
	mux.HandleFunc("/order", e.report, http.MethodGet)
	mux.HandleFunc("/faults", setFaults(e.SetFaults), http.MethodPost)
	mux.HandleFunc("/restart", func(http.ResponseWriter, *http.Request) { e.Restart() }, http.MethodPost)
	mux.HandleFunc("/warm", func(http.ResponseWriter, *http.Request) { e.Warm() }, http.MethodPost)
	mux.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) }, http.MethodGet)
	return mux
}

func setFaults[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f F
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(f)
	}
}

const maxBody = 4 << 20

type completion struct {
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
	Resume    *struct {
		Position int    `json:"position"`
		Text     string `json:"text"`
	} `json:"resume"`
}

// stream is one run of a request on the engine.
type stream struct {
	id, version, prompt string
	next, total         int
	faults              EngineFaults
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var body completion
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := stream{id: r.Header.Get("X-Request-Id"), version: r.Header.Get("X-Model-Version"), total: body.MaxTokens}
	if s.total <= 0 {
		s.total = 16
	}
	for _, m := range body.Messages {
		s.prompt += m.Content
	}
	status := e.begin(&s, r.Header.Get("X-Resume-From"), body)
	defer e.end()
	e.head(w, &s)
	switch status {
	case http.StatusOK:
		e.run(w, r, &s)
	case 0:
		panic(http.ErrAbortHandler)
	default:
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", "1")
		}
		w.WriteHeader(status)
	}
}

// begin decides whether the stream runs; 0 means that the engine crashes on it.
func (e *Engine) begin(s *stream, resume string, body completion) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	s.faults = e.faults
	e.faults.Skip = 0
	switch {
	case s.faults.CrashOn != "" && strings.Contains(s.prompt, s.faults.CrashOn):
		e.stats.Crashes++
		e.restart()
		return 0
	case s.faults.Refuse:
		return http.StatusServiceUnavailable
	case s.faults.Fail || s.faults.FailVersion != "" && s.faults.FailVersion == s.version:
		return http.StatusInternalServerError
	case s.faults.AnswersAs == "" && !contains(e.versions, s.version):
		return http.StatusConflict
	}
	if resume != "" {
		n, err := strconv.Atoi(resume)
		if err != nil {
			return http.StatusBadRequest
		}
		if body.Resume == nil && e.kept[s.id] != s.prompt {
			return http.StatusGone
		}
		s.next = n
	}
	e.kept[s.id] = s.prompt
	e.runs[s.id]++
	e.stats.Started++
	if e.cold {
		e.stats.MaxCold = max(e.stats.MaxCold, e.running)
	}
	return http.StatusOK
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Engine) head(w http.ResponseWriter, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("X-Model-Version", s.runs())
	e.describe(w.Header())
}

// describe sets what the engine says of itself. Callers hold e.mu.
func (e *Engine) describe(h http.Header) {
	h.Set("X-Incarnation", strconv.Itoa(e.incarnation))
	h.Set("X-Running", strconv.Itoa(e.running))
	h.Set("X-State", e.state())
}

func (e *Engine) state() string {
	if e.cold {
		return "cold"
	}
	return "warm"
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request, s *stream) {
	if limit, err := strconv.Atoi(r.Header.Get("X-Time-Limit-Ms")); err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(limit)*time.Millisecond)
		defer cancel()
		r = r.WithContext(ctx)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	cut := e.takeCut(s)
	for i := s.next; i < s.total; i++ {
		if cut && i-s.next >= s.faults.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if !pause(r, s.faults.TokenDelay) {
			e.cancelled()
			return
		}
		s.frame(w, i)
		if flusher.Flush() != nil {
			e.cancelled()
			return
		}
	}
	fmt.Fprintf(w, "data: {\"id\":%q,\"position\":%d,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\n",
		s.id, s.total, len(strings.Fields(s.prompt)), s.total)
	io.WriteString(w, "data: [DONE]\n\n")
}

// runs is the version that the engine runs, whatever was asked.
func (s *stream) runs() string {
	if s.faults.AnswersAs != "" {
		return s.faults.AnswersAs
	}
	return s.version
}

// frame writes the token at position i, with the faults in force.
func (s *stream) frame(w io.Writer, i int) {
	if s.faults.Cross {
		writeToken(w, "another-request", s.runs(), i, "CROSSED")
	}
	if s.faults.Skip != 0 && i == s.faults.Skip {
		return
	}
	writeToken(w, s.id, s.runs(), i, Token(s.prompt, i))
	if s.faults.Double {
		writeToken(w, s.id, s.runs(), i, Token(s.prompt, i))
	}
}

func writeToken(w io.Writer, id, version string, position int, text string) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"position\":%d,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", id, version, position, text)
}

// Token is the text that every engine generates at a position for a prompt, so that a test can tell a whole answer.
func Token(prompt string, position int) string {
	return fmt.Sprintf("t%d.%d ", len(prompt), position)
}

// Answer is the whole text of n tokens for a prompt.
func Answer(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

func (e *Engine) takeCut(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutAfter == 0 {
		return false
	}
	if e.faults.Cuts > 0 {
		e.faults.Cuts--
		if e.faults.Cuts == 0 {
			e.faults.CutAfter = 0
		}
	}
	if e.faults.Forget {
		delete(e.kept, s.id)
	}
	return true
}

func (e *Engine) cancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Cancelled++
}

// pause waits between tokens; false when the client has gone.
func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// load reports state and load; the lag is the reader's.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.describe(w.Header())
	writeJSON(w, map[string]any{"incarnation": strconv.Itoa(e.incarnation), "state": e.state(), "running": e.running})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
