package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/tmaxmax/go-sse"

	"goldcrestfork/router/engine"
	"goldcrestfork/router/refusal"
)

// answer is the caller's side of one request: a stream of events, or one document
// at the end. Nothing is written before the first token, so that all that can be
// refused before is refused with a status.
type answer struct {
	w        http.ResponseWriter
	rc       *http.ResponseController
	c        *chat
	endpoint string
	started  bool
	// held keeps the frames of an answer that may still be discarded.
	holding bool
	held    []engine.Frame
}

func newAnswer(w http.ResponseWriter, c *chat) *answer {
	return &answer{w: w, rc: http.NewResponseController(w), c: c}
}

// hold begins an answer that is kept back until it is accepted, or one that is
// passed on as it comes; what was held before is discarded.
func (a *answer) hold(on bool) {
	a.holding, a.held = on, nil
}

// from notes the endpoint that the next frames come from; a resume token names it.
func (a *answer) from(endpoint string) {
	moved := a.started && a.endpoint != endpoint
	a.endpoint = endpoint
	if moved && a.c.sign != nil {
		// Headers are gone; a comment line is the one part of an event stream that
		// clients pass over.
		m := &sse.Message{}
		m.AppendComment("resume-token " + a.token())
		_, _ = m.WriteTo(a.w)
	}
}

func (a *answer) token() string {
	return a.c.sign(resumeToken{
		RequestID: a.c.RequestID,
		Account:   a.c.Account.Name,
		Version:   a.c.version,
		Endpoint:  a.endpoint,
		EngineID:  a.c.engineID,
		Accepted:  a.c.Accepted.Unix(),
	})
}

// head writes the headers common to both forms.
func (a *answer) head() {
	h := a.w.Header()
	h.Set(HeaderVersion, a.c.version)
	if a.c.pin != "" {
		h.Set(HeaderPin, a.c.pin)
	}
	if a.c.moved != "" {
		h.Set(HeaderMoved, a.c.moved)
	}
}

// frame passes one frame on; an error means that the caller has gone.
func (a *answer) frame(f engine.Frame) error {
	if !a.c.body.Stream {
		return nil
	}
	if a.holding {
		a.held = append(a.held, f)
		return nil
	}
	if !a.started {
		a.started = true
		a.head()
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		if a.c.sign != nil {
			a.w.Header().Set(HeaderResume, a.token())
		}
	}
	// The event's id is the position to resume from.
	next := f.Position
	if f.Text != "" {
		next++
	}
	return a.event(sse.ID(strconv.Itoa(next)), f.Data)
}

func (a *answer) event(id sse.EventID, data string) error {
	m := &sse.Message{ID: id}
	m.AppendData(data)
	if _, err := m.WriteTo(a.w); err != nil {
		return err
	}
	return a.rc.Flush()
}

// finish ends the answer. A refusal that it returns has not been sent yet.
func (a *answer) finish(fin end) *refusal.Refusal {
	if fin.refusal == nil {
		a.release()
	}
	switch {
	case fin.refusal != nil && !a.started:
		return fin.refusal
	case fin.refusal != nil:
		a.cut(fin.refusal)
	case a.c.body.Stream:
		// An answer without tokens has sent no header yet.
		if !a.started {
			a.head()
			a.w.Header().Set("Content-Type", "text/event-stream")
		}
		_ = a.event(sse.EventID{}, "[DONE]")
	default:
		a.document(fin.stream)
	}
	return nil
}

// release passes on what was held: its answer was accepted.
func (a *answer) release() {
	held := a.held
	a.hold(false)
	for _, f := range held {
		if a.frame(f) != nil {
			return
		}
	}
}

// cut tells the caller of a stream that it is not whole: without the event a
// client that takes the connection's end for the end mark would keep half an answer.
func (a *answer) cut(r *refusal.Refusal) {
	r.RequestID = a.c.RequestID
	m := &sse.Message{Type: sse.Type("error")}
	m.AppendData(string(r.JSON()))
	_, _ = m.WriteTo(a.w)
	_ = a.rc.Flush()
}

// completion is the whole answer of a request that is not streamed.
type completion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []choice     `json:"choices"`
	Usage   engine.Usage `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func newCompletion(c *chat, s *engine.Stream) completion {
	return completion{
		ID:      c.engineID,
		Object:  "chat.completion",
		Model:   c.version,
		Choices: []choice{{Message: message{Role: "assistant", Content: s.Text()}, FinishReason: s.Finish}},
		Usage:   s.Usage,
	}
}

func (a *answer) document(s *engine.Stream) {
	a.head()
	a.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.w).Encode(newCompletion(a.c, s))
}
