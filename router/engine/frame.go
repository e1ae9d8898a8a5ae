package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"iter"
)

// Usage is the number of tokens of a stream, as counted by the engine.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Frame is one event of an engine's stream.
type Frame struct {
	// ID is the request id that the engine was given.
	ID string
	// Position counts the tokens before this frame, from 0.
	Position int
	// Text is the text that the frame adds to the answer.
	Text string
	// Finish is the finish reason; only the last frame carries one.
	Finish string
	// Usage arrives with the finish reason.
	Usage *Usage
	// Data is the frame as received; it is passed on unchanged.
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

// endMarker is the data of the event that ends a stream.
const endMarker = "[DONE]"

// ParseFrame parses one event's data. It returns an error for data that is not a frame.
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

// WholeFrame returns a complete recorded answer as one frame.
func WholeFrame(id, text, finish string, u Usage) Frame {
	w := wireFrame{ID: id, Usage: &u, Choices: make([]wireChoice, 1)}
	w.Choices[0].Delta.Content = text
	w.Choices[0].FinishReason = finish
	// The struct holds only strings and numbers; encoding them cannot fail.
	data, _ := json.Marshal(w)
	return Frame{ID: id, Text: text, Finish: finish, Usage: &u, Data: string(data)}
}

// Body is the JSON body of a completion request with the fields that the router reads
// and sets. All other fields except "resume" are passed on unchanged.
type Body struct {
	fields map[string]json.RawMessage
	// Model is the model or model version that the caller requests.
	Model string
	// Stream is set if the caller requests a stream of events.
	Stream bool
	// MaxTokens bounds the answer; 0 if the caller sets no bound.
	MaxTokens int
	// Messages is the raw prompt, from which prefix hashes and fingerprints are
	// computed.
	Messages json.RawMessage
}

// maxFields bounds the fields of a completion request, each of which takes a hundred bytes beside its own.
const maxFields = 1000

// ParseBody parses a completion request.
func ParseBody(raw []byte) (*Body, error) {
	n := 0
	for range Elements(raw) {
		if n++; n > maxFields {
			return nil, fmt.Errorf("over %d fields", maxFields)
		}
	}
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

// Elements returns the elements of a JSON array, or the members of an object, without the space around them. What it
// returns for text that isn't valid JSON means nothing.
func Elements(raw []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		depth, start := 0, 0
		for i := 0; i < len(raw); i++ {
			end := false
			switch raw[i] {
			case '"':
				for i++; i < len(raw) && raw[i] != '"'; i++ {
					if raw[i] == '\\' {
						i++
					}
				}
			case '{', '[':
				if depth++; depth == 1 {
					start = i + 1
				}
			case '}', ']':
				depth--
				end = depth == 0
			case ',':
				end = depth == 1
			}
			if !end {
				continue
			}
			if text := bytes.TrimSpace(raw[start:i]); len(text) > 0 && !yield(text) {
				return
			}
			start = i + 1
		}
	}
}

// resumePoint informs an engine that did not run the stream what has been generated so
// far.
type resumePoint struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

// encode returns the body for an engine. The answer is always streamed, and is resumed
// from p if p is not nil.
func (b *Body) encode(version string, p *resumePoint) ([]byte, error) {
	out := make(map[string]any, len(b.fields)+3)
	for k, v := range b.fields {
		out[k] = v
	}
	out["model"] = version
	out["stream"] = true
	out["stream_options"] = map[string]bool{"include_usage": true}
	// With a caller's own "resume", the engine would continue from a text that it never
	// generated, as if the answer had begun with it. Only the router knows what was
	// generated.
	delete(out, "resume")
	if p != nil {
		out["resume"] = p
	}
	return json.Marshal(out)
}
