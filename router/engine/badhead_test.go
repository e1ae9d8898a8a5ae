package engine

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"goldcrestfork/router/answer/answertest"
)

// Guards against a head that isn't valid, and that completes a stream, refuses a request or reports a state.
func TestInvalidHeadsAreNoAnswers(t *testing.T) {
	const fields = "X-Model-Version: " + callVersion + "\r\nX-Request-Id: " + requestID + "\r\nX-Incarnation: i\r\nX-Running: 3\r\n"
	stream := event(requestID, 0, "a", "") + event(requestID, 1, "", "stop") + "data: [DONE]\n\n"
	c := NewClient(NewMetrics(prometheus.NewRegistry()))
	defer c.Close()
	run := func(text string) (o Outcome, tokens int) {
		// A call with a cold slot asks for no state before.
		o = c.Stream(t.Context(), Call{RequestID: requestID, Address: answertest.ServeText(t, text), Version: callVersion, Body: chat(t, 2), MayStart: func() bool { return true }},
			&Stream{}, func(Frame) error { tokens++; return nil })
		return o, tokens
	}
	o, tokens := run(answertest.Sound(fields, stream))
	require.Equal(t, Complete, o.Result, "%v", o.Err)
	require.Equal(t, 2, tokens)
	_, err := c.State(t.Context(), answertest.ServeText(t, answertest.Sound(fields, "")))
	require.NoError(t, err)
	for name, text := range answertest.Invalid(fields, stream) {
		o, tokens := run(text)
		require.Equal(t, Failed, o.Result, "%s: %v", name, o.Err)
		require.False(t, o.Reported, name)
		require.Zero(t, tokens, name)
	}
	for name, text := range answertest.Invalid(fields, "{}") {
		_, err := c.State(t.Context(), answertest.ServeText(t, text))
		require.Error(t, err, name)
	}
}
