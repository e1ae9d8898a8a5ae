// Package backend provides stand-ins for the router's back ends: a model engine, a plain
// service and the rating service. Each serves HTTP and simulates the faults that a test or the
// demo sets.
//
// Lock order: Engine.mu, Service.mu and Rating.mu are leaves.
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

// EngineFaults are the faults that an engine simulates from the time they are set.
type EngineFaults struct {
	// CutAfter is the number of tokens after which each stream ends without an end marker; 0
	// means never.
	CutAfter int `json:"cutAfter"`
	// Cuts limits the number of streams that CutAfter affects; 0 means all.
	Cuts int `json:"cuts"`
	// Forget makes the engine drop the state of cut streams, so that it can't resume them.
	Forget bool `json:"forget"`
	// Double sends each frame twice.
	Double bool `json:"double"`
	// Cross sends another request's frame before each frame.
	Cross bool `json:"cross"`
	// Skip omits the frame at this position of the next stream; 0 means none.
	Skip int `json:"skip"`
	// AnswersAs makes the engine answer with this version whichever was requested.
	AnswersAs string `json:"answersAs"`
	// Refuse makes the engine answer each request with 503 and Retry-After without running it.
	Refuse bool `json:"refuse"`
	// Fail makes the engine answer each request with 500 at once.
	Fail bool `json:"fail"`
	// FailVersion makes the engine answer requests for this version with 500 at once.
	FailVersion string `json:"failVersion"`
	// CrashOn makes the engine crash on a prompt that contains this text: it drops the
	// connection and restarts in cold start.
	CrashOn string `json:"crashOn"`
	// TokenDelay is the time between tokens, in nanoseconds in JSON.
	TokenDelay time.Duration `json:"tokenDelay"`
}

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	mu          sync.Mutex
	versions    []string
	role        string
	fence       int64
	incarnation int
	cold        bool
	running     int
	faults      EngineFaults
	runs        map[string]int    // number of starts, by request id
	resumable   map[string]string // prompts of the streams that can be resumed, by request id
	stats       EngineStats
}

// EngineStats counts events of an engine since its creation.
type EngineStats struct {
	// Started counts streams that began, including resumed ones.
	Started int `json:"started"`
	// Cancelled counts streams whose client disconnected, or whose time limit passed, before
	// the end.
	Cancelled int `json:"cancelled"`
	// MaxCold is the largest number of concurrent requests in cold start.
	MaxCold int `json:"maxCold"`
	// Crashes counts crashes caused by EngineFaults.CrashOn.
	Crashes int `json:"crashes"`
}

// NewEngine returns a warm engine that serves the given versions.
func NewEngine(versions ...string) *Engine {
	return &Engine{versions: versions, incarnation: 1, runs: make(map[string]int), resumable: make(map[string]string)}
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetIncarnation sets the incarnation of the engine and whether it is in cold start. A process calls it
// at its start.
func (e *Engine) SetIncarnation(incarnation int, cold bool) {
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

// restart starts a new incarnation in cold start. Callers hold e.mu.
func (e *Engine) restart() {
	e.incarnation++
	e.cold = true
	e.resumable = make(map[string]string)
}

// Warm ends the cold start.
func (e *Engine) Warm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = false
}

// Stats returns the engine's counts.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// RunCount returns how many times a request began on this engine.
func (e *Engine) RunCount(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[requestID]
}

// Handler returns a handler of the engine's protocol and of its control paths (/faults,
// /restart, /warm, /stats).
func (e *Engine) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/v1/chat/completions", e.handleCompletion, http.MethodPost)
	mux.HandleFunc("/load", e.handleLoad, http.MethodGet)
	mux.HandleFunc("/order", e.handleOrder, http.MethodPost)
	mux.HandleFunc("/order", e.handleOrderReport, http.MethodGet)
	mux.HandleFunc("/faults", faultsHandler(e.SetFaults), http.MethodPost)
	mux.HandleFunc("/restart", func(http.ResponseWriter, *http.Request) { e.Restart() }, http.MethodPost)
	mux.HandleFunc("/warm", func(http.ResponseWriter, *http.Request) { e.Warm() }, http.MethodPost)
	mux.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) }, http.MethodGet)
	return mux
}

// faultsHandler returns a handler that decodes faults from JSON and passes them to set.
func faultsHandler[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f F
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(f)
	}
}

// maxBodyBytes bounds the part of a request body that is read.
const maxBodyBytes = 4 << 20

// completionRequest is the body of a chat completion request, as far as the engine uses it.
type completionRequest struct {
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

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&body); err != nil {
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
	status := e.startStream(&s, r.Header.Get("X-Resume-From"), body)
	defer e.endRequest()
	e.setHead(w, &s)
	switch status {
	case http.StatusOK:
		e.writeStream(w, r, &s)
	case 0:
		panic(http.ErrAbortHandler)
	default:
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", "1")
		}
		w.WriteHeader(status)
	}
}

// startStream registers a request and returns the status of its answer; 0 means that the
// engine crashes on it. resume is the position to resume from, or "".
func (e *Engine) startStream(s *stream, resume string, body completionRequest) int {
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
		if body.Resume == nil && e.resumable[s.id] != s.prompt {
			return http.StatusGone
		}
		s.next = n
	}
	e.resumable[s.id] = s.prompt
	e.runs[s.id]++
	e.stats.Started++
	if e.cold {
		e.stats.MaxCold = max(e.stats.MaxCold, e.running)
	}
	return http.StatusOK
}

// contains reports whether list has s.
func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// endRequest removes a request from the running ones.
func (e *Engine) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// setHead sets the headers that every answer has.
func (e *Engine) setHead(w http.ResponseWriter, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("X-Model-Version", s.answerVersion())
	w.Header().Set("X-Request-Id", s.id)
	e.setStateHeaders(w.Header())
}

// setStateHeaders sets the headers with the engine's incarnation, load and state. Callers hold
// e.mu.
func (e *Engine) setStateHeaders(h http.Header) {
	h.Set("X-Incarnation", strconv.Itoa(e.incarnation))
	h.Set("X-Running", strconv.Itoa(e.running))
	h.Set("X-State", e.state())
}

// state returns the engine's state on the wire. Callers hold e.mu.
func (e *Engine) state() string {
	if e.cold {
		return "cold"
	}
	return "warm"
}

// writeStream writes the tokens of a stream as server-sent events, with the faults in force
// when the request began.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream) {
	if limit, err := strconv.Atoi(r.Header.Get("X-Time-Limit-Ms")); err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(limit)*time.Millisecond)
		defer cancel()
		r = r.WithContext(ctx)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	cut := e.consumeCut(s)
	for i := s.next; i < s.total; i++ {
		if cut && i-s.next >= s.faults.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if !waitFor(r, s.faults.TokenDelay) {
			e.countCancelled()
			return
		}
		s.writeFrames(w, i)
		if flusher.Flush() != nil {
			e.countCancelled()
			return
		}
	}
	fmt.Fprintf(w, "data: {\"id\":%q,\"position\":%d,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\n",
		s.id, s.total, len(strings.Fields(s.prompt)), s.total)
	io.WriteString(w, "data: [DONE]\n\n")
}

// answerVersion returns the version that the answer names, which AnswersAs may override.
func (s *stream) answerVersion() string {
	if s.faults.AnswersAs != "" {
		return s.faults.AnswersAs
	}
	return s.version
}

// writeFrames writes the frame of the token at position i, with the faults applied.
func (s *stream) writeFrames(w io.Writer, i int) {
	if s.faults.Cross {
		writeToken(w, "another-request", s.answerVersion(), i, "CROSSED")
	}
	if s.faults.Skip != 0 && i == s.faults.Skip {
		return
	}
	writeToken(w, s.id, s.answerVersion(), i, Token(s.prompt, i))
	if s.faults.Double {
		writeToken(w, s.id, s.answerVersion(), i, Token(s.prompt, i))
	}
}

// writeToken writes one token as a server-sent event.
func writeToken(w io.Writer, id, version string, position int, text string) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"position\":%d,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", id, version, position, text)
}

// Token returns the text that every engine generates at a position for a prompt, so that a
// test can check that an answer is complete.
func Token(prompt string, position int) string {
	return fmt.Sprintf("t%d.%d ", len(prompt), position)
}

// Answer returns the text of the first n tokens for a prompt.
func Answer(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// consumeCut reports whether a stream is to be cut, and counts it against Cuts.
func (e *Engine) consumeCut(s *stream) bool {
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
		delete(e.resumable, s.id)
	}
	return true
}

// countCancelled counts a cancelled stream.
func (e *Engine) countCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Cancelled++
}

// waitFor waits for d and reports whether the request is still wanted: false means that its
// client disconnected or its time limit passed.
func waitFor(r *http.Request, d time.Duration) bool {
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

// handleLoad serves the engine's state and load as they are now. Readers account for the age
// of a report themselves.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setStateHeaders(w.Header())
	writeJSON(w, map[string]any{"incarnation": strconv.Itoa(e.incarnation), "state": e.state(), "running": e.running})
}

// writeJSON answers with v as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
