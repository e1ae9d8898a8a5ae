package view

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"goldcrestfork/router/answer/answertest"
)

// Guards against a head that isn't valid, and whose answer is read as the state of another VM.
func TestInvalidHeadsOfFeedsAreNoAnswers(t *testing.T) {
	body, err := cbor.Marshal(&Step{Revision: 7})
	require.NoError(t, err)
	read := func(text string) (Step, error) {
		return NewFeedTransport(nil, prometheus.NewRegistry()).Read(t.Context(), answertest.ServeText(t, text), "kind", 0, time.Second)
	}
	s, err := read(answertest.Sound("", string(body)))
	require.NoError(t, err)
	require.EqualValues(t, 7, s.Revision)
	for name, text := range answertest.Invalid("", string(body)) {
		_, err := read(text)
		require.Error(t, err, name)
	}
}
