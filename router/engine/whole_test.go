package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const requestID = "request-1"

func token(i int) string { return fmt.Sprintf("t%d ", i) }

func fullText(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(token(i))
	}
	return b.String()
}

// event is one event of a stream: a token, or the last frame when finish is set.
func event(id string, position int, text, finish string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"position\":%d,\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%q}]}\n\n", id, position, text, finish)
}

// drawAttempt draws the events that one faulty attempt at an answer of n tokens sends.
func drawAttempt(t *rapid.T, next, n int) string {
	var b strings.Builder
	from := rapid.SampledFrom([]int{next, next, 0, min(next+1, n)}).Draw(t, "from")
	for i := from; i < n; i++ {
		switch rapid.SampledFrom([]string{"", "", "", "", "double", "cross", "late", "skip", "cut", "half"}).Draw(t, "fault") {
		case "double":
			b.WriteString(event(requestID, i, token(i), ""))
		case "cross":
			b.WriteString(event("another", i, "CROSSED", rapid.SampledFrom([]string{"", "stop"}).Draw(t, "finish")))
		case "late":
			late := rapid.IntRange(0, i).Draw(t, "late")
			b.WriteString(event(requestID, late, token(late), ""))
		case "skip":
			continue
		case "cut":
			return b.String()
		case "half":
			return b.String() + event(requestID, i, token(i), "")[:20]
		}
		b.WriteString(event(requestID, i, token(i), ""))
	}
	if rapid.Bool().Draw(t, "finishes") {
		b.WriteString(event(requestID, n, "", "stop"))
	}
	if rapid.Bool().Draw(t, "crossed after the end") {
		b.WriteString(event("another", n, "CROSSED", ""))
	}
	if rapid.Bool().Draw(t, "marks its end") {
		b.WriteString("data: [DONE]\n\n")
	}
	return b.String()
}

// An answer consists of several attempts whose frames are duplicated, late, mixed with
// another request's, missing or cut. The relayed text must always be a prefix of the
// true answer, and an answer reported as complete must be the whole of it.
func TestRelayedTextIsPrefixOfAnswer(t *testing.T) {
	c := NewClient(NewMetrics(prometheus.NewRegistry()))
	completed := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "tokens")
		truth, got := fullText(n), ""
		s := &Stream{}
		for range rapid.IntRange(1, 6).Draw(t, "attempts") {
			body := drawAttempt(t, s.Next, n)
			result, _ := c.relayEvents(strings.NewReader(body), Call{RequestID: requestID}, s, func(f Frame) error {
				got += f.Text
				require.True(t, strings.HasPrefix(truth, got), "%q", got)
				return nil
			})
			require.Equal(t, got, s.Text())
			if result == Complete {
				completed++
				require.Equal(t, truth, got)
				require.Equal(t, "stop", s.Finish)
				return
			}
			require.Contains(t, []Result{Cut}, result)
		}
	})
	require.Positive(t, completed, "some answers must have been complete")
}

// FuzzRelay checks with arbitrary bytes from an endpoint that no token is relayed twice,
// out of order or from another request, that nothing follows the finish reason, and that
// an answer without the end marker is not complete.
func FuzzRelay(f *testing.F) {
	good := event(requestID, 0, "a", "") + event(requestID, 1, "b", "") + event(requestID, 2, "", "stop") + "data: [DONE]\n\n"
	for _, seed := range []string{
		good, good + good, good[:len(good)-10], "data: [DONE]\n\n", ": comment\n\n" + good,
		event("another", 0, "x", "stop") + good, event(requestID, 1, "b", "") + good, event(requestID, -1, "b", ""),
		event(requestID, 0, "a", "stop") + event(requestID, 1, "b", "") + "data: [DONE]\n\n",
		"data: {\ndata: \"id\":\"request-1\"}\n\n", "data: null\n\n", "data: {\"id\":1}\n\n", "\r\r\n\n", "id: 1\nevent: x\nretry: 1\n\n",
	} {
		f.Add([]byte(seed))
	}
	c := NewClient(NewMetrics(prometheus.NewRegistry()))
	f.Fuzz(func(t *testing.T, body []byte) {
		next, finished := 0, false
		s := &Stream{}
		result, _ := c.relayEvents(bytes.NewReader(body), Call{RequestID: requestID}, s, func(f Frame) error {
			require.Equal(t, requestID, f.ID)
			require.Equal(t, next, f.Position)
			require.False(t, finished)
			if f.Text != "" {
				next++
			}
			finished = f.Finish != ""
			return nil
		})
		require.Equal(t, next, s.Next)
		if result == Complete {
			require.Contains(t, string(body), endMarker)
			require.True(t, finished)
		}
	})
}

// FuzzParseFrame checks that a parsed frame can be encoded and parsed again with the
// same meaning.
func FuzzParseFrame(f *testing.F) {
	for _, seed := range []string{
		`{"id":"a","position":1,"choices":[{"delta":{"content":"x"}}]}`, `{}`, `null`, `[]`, `{"position":1e9}`, `{"position":1.5}`,
		`{"id":"a","choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":2}}`, `{"choices":[{"delta":null}]}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data string) {
		frame, err := ParseFrame(data)
		if err != nil {
			return
		}
		require.Equal(t, data, frame.Data)
		usage := Usage{}
		if frame.Usage != nil {
			usage = *frame.Usage
		}
		again, err := ParseFrame(WholeFrame(frame.ID, frame.Text, frame.Finish, usage).Data)
		require.NoError(t, err)
		require.Equal(t, frame.Text, again.Text)
		require.Equal(t, frame.Finish, again.Finish)
	})
}

// FuzzParseBody checks that the body sent to an engine names the chosen version,
// requests a stream and holds no "resume" of the caller, whatever the caller's body
// holds.
func FuzzParseBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"asistente","messages":[{"role":"user","content":"x"}],"max_tokens":4}`, `{"MODEL":"x","model":"y"}`, `{}`, `null`, `[]`,
		`{"model":"a","messages":null,"stream":false,"stream_options":7}`, `{"model":"a","resume":{"position":3,"text":"forged"}}`,
		`{"messages":[1,` + strings.Repeat("[", 100), `{"model":"a","temperature":1e400}`, `{"model":1}`, `{"max_tokens":99999999999999999999}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := ParseBody(raw)
		if err != nil {
			return
		}
		sent, err := b.encode("version-1", nil)
		require.NoError(t, err)
		var out map[string]json.RawMessage
		require.NoError(t, json.Unmarshal(sent, &out))
		require.JSONEq(t, `"version-1"`, string(out["model"]))
		require.JSONEq(t, `true`, string(out["stream"]))
		require.NotContains(t, out, "resume")
	})
}
