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
