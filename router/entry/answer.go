package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/tmaxmax/go-sse"

	"goldcrestfork/router/engine"
	"goldcrestfork/router/refusal"
)

// answer writes the caller's response to one request: a stream of events, or one
// document at the end. Nothing is written before the first token, so that any refusal
// before it can be sent with an HTTP status.
type answer struct {
	w        http.ResponseWriter
	rc       *http.ResponseController
	c        *chatRequest
	endpoint string
	started  bool
	// buffered holds the frames of an answer that may still be discarded; frames are
	// added to it while buffering is set.
	buffering bool
	buffered  []engine.Frame
}

func newAnswer(w http.ResponseWriter, c *chatRequest) *answer {
	return &answer{w: w, rc: http.NewResponseController(w), c: c}
}

// setBuffering discards the frames in the buffer and starts an answer: if on, its frames
// are buffered until it is accepted, otherwise they are written as they arrive.
func (a *answer) setBuffering(on bool) {
	a.buffering, a.buffered = on, nil
}

// setEndpoint sets the endpoint that the next frames come from, which the resume token
// names.
func (a *answer) setEndpoint(endpoint string) {
	moved := a.started && a.endpoint != endpoint
	a.endpoint = endpoint
	if moved && a.c.signResume != nil {
		// The headers are already sent. A comment line is the one part of an event
		// stream that clients ignore.
		m := &sse.Message{}
		m.AppendComment("resume-token " + a.signedToken())
		_, _ = m.WriteTo(a.w)
	}
}

// signedToken returns the token with which the caller can resume the stream.
func (a *answer) signedToken() string {
	return a.c.signResume(resumeToken{
		RequestID: a.c.RequestID,
		Account:   a.c.Account.Name,
		Version:   a.c.version,
		Endpoint:  a.endpoint,
		EngineID:  a.c.engineID,
		Accepted:  a.c.Accepted.Unix(),
	})
}

// setHeaders sets the headers common to streams and documents.
func (a *answer) setHeaders() {
	h := a.w.Header()
	h.Set(HeaderVersion, a.c.version)
	if a.c.newPin != "" {
		h.Set(HeaderPin, a.c.newPin)
	}
	if a.c.movedFrom != "" {
		h.Set(HeaderMoved, a.c.movedFrom)
	}
}

// writeFrame writes or buffers one frame. An error means that the caller disconnected.
func (a *answer) writeFrame(f engine.Frame) error {
	if !a.c.body.Stream {
		return nil
	}
	if a.buffering {
		a.buffered = append(a.buffered, f)
		return nil
	}
	if !a.started {
		a.started = true
		a.setHeaders()
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		if a.c.signResume != nil {
			a.w.Header().Set(HeaderResume, a.signedToken())
		}
	}
	// The event's id is the position from which to resume.
	next := f.Position
	if f.Text != "" {
		next++
	}
	return a.writeEvent(sse.ID(strconv.Itoa(next)), f.Data)
}

func (a *answer) writeEvent(id sse.EventID, data string) error {
	m := &sse.Message{ID: id}
	m.AppendData(data)
	if _, err := m.WriteTo(a.w); err != nil {
		return err
	}
	return a.rc.Flush()
}

// finish ends the answer. A refusal that it returns has not been sent yet.
func (a *answer) finish(fin requestEnd) *refusal.Refusal {
	if fin.refusal == nil {
		a.flushBuffered()
	}
	switch {
	case fin.refusal != nil && !a.started:
		return fin.refusal
	case fin.refusal != nil:
		a.writeError(fin.refusal)
	case a.c.body.Stream:
		// An answer without tokens has not sent its headers yet.
		if !a.started {
			a.setHeaders()
			a.w.Header().Set("Content-Type", "text/event-stream")
		}
		_ = a.writeEvent(sse.EventID{}, "[DONE]")
	default:
		a.writeCompletion(fin.stream)
	}
	return nil
}

// flushBuffered writes the buffered frames of an accepted answer.
func (a *answer) flushBuffered() {
	frames := a.buffered
	a.setBuffering(false)
	for _, f := range frames {
		if a.writeFrame(f) != nil {
			return
		}
	}
}

// writeError ends a stream with an error event. Without it, a client that takes the end
// of the connection for the end of the stream would keep half an answer.
func (a *answer) writeError(r *refusal.Refusal) {
	r.RequestID = a.c.RequestID
	m := &sse.Message{Type: sse.Type("error")}
	m.AppendData(string(r.JSON()))
	_, _ = m.WriteTo(a.w)
	_ = a.rc.Flush()
}

// completion is the whole answer to a request that is not streamed.
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

func newCompletion(c *chatRequest, s *engine.Stream) completion {
	return completion{
		ID:      c.engineID,
		Object:  "chat.completion",
		Model:   c.version,
		Choices: []choice{{Message: message{Role: "assistant", Content: s.Text()}, FinishReason: s.Finish}},
		Usage:   s.Usage,
	}
}

func (a *answer) writeCompletion(s *engine.Stream) {
	a.setHeaders()
	a.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.w).Encode(newCompletion(a.c, s))
}
