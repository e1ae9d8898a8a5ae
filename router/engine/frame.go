package engine

import (
	"bytes"
	"encoding/json"
)

// Usage is what an engine says a stream took, in tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Frame is one event of an engine's stream.
type Frame struct {
	// ID is the request the frame belongs to, as the engine was told.
	ID string
	// Position counts the tokens before this frame, from 0.
	Position int
	// Text is what the frame adds to the answer.
	Text string
	// Finish is the finish reason; only the last frame carries one.
	Finish string
	// Usage comes with the finish reason.
	Usage *Usage
	// Data is the frame as received, for passing on.
	Data string
}

type wireFrame struct {
	ID       string       `json:"id"`
	Position int          `json:"position"`
	Choices  []wireChoice `json:"choices"`
	Usage    *Usage       `json:"usage,omitempty"`
}

type wireChoice struct {
	Index int `json:"index"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// endMark is the data of the event that ends a stream.
const endMark = "[DONE]"

// ParseFrame reads one event's data. It returns an error for anything that is not a frame.
func ParseFrame(data string) (Frame, error) {
	var w wireFrame
	if err := json.Unmarshal([]byte(data), &w); err != nil {
		return Frame{}, err
	}
	f := Frame{ID: w.ID, Position: w.Position, Usage: w.Usage, Data: data}
	if len(w.Choices) > 0 {
		f.Text = w.Choices[0].Delta.Content
		f.Finish = w.Choices[0].FinishReason
	}
	return f, nil
}

// WholeFrame is a whole recorded answer as one frame.
func WholeFrame(id, text, finish string, u Usage) Frame {
	w := wireFrame{ID: id, Usage: &u, Choices: make([]wireChoice, 1)}
	w.Choices[0].Delta.Content = text
	w.Choices[0].FinishReason = finish
	// The struct holds only strings and numbers; encoding them cannot fail.
	data, _ := json.Marshal(w)
	return Frame{ID: id, Text: text, Finish: finish, Usage: &u, Data: string(data)}
}

// Body is the JSON body of a completion request with the fields the router reads
// and sets; all others are passed through unchanged, but for "resume".
type Body struct {
	fields map[string]json.RawMessage
	// Model is the model or model version the caller asks for.
	Model string
	// Stream says whether the caller wants the answer as a stream.
	Stream bool
	// MaxTokens bounds the answer; 0 when the caller sets none.
	MaxTokens int
	// Messages is the raw prompt, the key of prefix affinity and of fingerprints.
	Messages json.RawMessage
}

// ParseBody reads a completion request.
func ParseBody(raw []byte) (*Body, error) {
	b := &Body{fields: make(map[string]json.RawMessage)}
	if err := json.Unmarshal(raw, &b.fields); err != nil {
		return nil, err
	}
	known := struct {
		Model     string          `json:"model"`
		Stream    bool            `json:"stream"`
		MaxTokens int             `json:"max_tokens"`
		Messages  json.RawMessage `json:"messages"`
	}{}
	if err := json.Unmarshal(raw, &known); err != nil {
		return nil, err
	}
	b.Model, b.Stream, b.MaxTokens, b.Messages = known.Model, known.Stream, known.MaxTokens, bytes.TrimSpace(known.Messages)
	return b, nil
}

// resumePoint tells an engine that did not run the stream what was generated so far.
type resumePoint struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

// encode gives the body for an engine: always streamed, and resumed from p if that is set.
func (b *Body) encode(version string, p *resumePoint) ([]byte, error) {
	out := make(map[string]any, len(b.fields)+3)
	for k, v := range b.fields {
		out[k] = v
	}
	out["model"] = version
	out["stream"] = true
	out["stream_options"] = map[string]bool{"include_usage": true}
	// A caller's own "resume" would have the engine go on from a text that it never
	// generated, as if the answer had begun with it. Only the router knows what was.
	delete(out, "resume")
	if p != nil {
		out["resume"] = p
	}
	return json.Marshal(out)
}
