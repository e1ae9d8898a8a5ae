package service

import (
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"goldcrestfork/router/answer/answertest"
)

// Guards against an answer whose head isn't valid, and that a caller gets.
func TestInvalidHeadsAreNoAnswers(t *testing.T) {
	const fields = "Content-Type: text/plain\r\n"
	do := func(text string, idempotent bool) (Answer, Result, error) {
		return NewClient(prometheus.NewRegistry()).Do(t.Context(), Call{
			Address: answertest.ServeText(t, text), Method: http.MethodPost, Path: "/", Body: []byte("x"), Idempotent: idempotent,
		})
	}
	for _, idempotent := range []bool{false, true} {
		_, result, err := do(answertest.Sound(fields, "whole"), idempotent)
		require.NoError(t, err)
		require.Equal(t, Answered, result)
		for name, text := range answertest.Invalid(fields, "whole") {
			answer, result, err := do(text, idempotent)
			require.Error(t, err, name)
			require.Equal(t, Unknown, result, name)
			require.Zero(t, answer, name)
		}
	}
}

// Guards against a sound answer that is lost since its head is an unusual one.
func TestUnusualSoundHeadsAreAnswers(t *testing.T) {
	for _, text := range []string{
		answertest.Sound("X-Folded: a\r\n b: c\r\n\td e: f\r\n", "whole"), answertest.Sound("X!#$%&'*+-.^_`|~1: a\r\nX-Empty:\r\n", "whole"),
		"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + answertest.Sound("", "whole"),
		"HTTP/1.1 200 OK\nContent-Length:\n 5\n\nwhole", "HTTP/1.1 200 OK\r\n\r\nwhole", "HTTP/1.0 200 OK\r\n\r\nwhole",
	} {
		answer, result, err := NewClient(prometheus.NewRegistry()).Do(t.Context(), Call{Address: answertest.ServeText(t, text), Method: http.MethodGet, Path: "/", Idempotent: true})
		require.NoError(t, err, "%q", text)
		require.Equal(t, Answered, result)
		require.Equal(t, "whole", string(answer.Body))
	}
}
