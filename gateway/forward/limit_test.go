package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limited returns a handler that states a request limit in a complete answer.
func limited(rate string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testNames.RateLimit, rate)
		answerOK(w, r)
	}
}

// Guards against passing over a limit in an answer, and against keeping one that the endpoint no longer states.
func TestStatedLimitFollowsAnswers(t *testing.T) {
	w := newTestEnv(t, 1)
	limit := func() *float64 { return w.table.Rows(time.Now())[0].Limit }
	w.setHandlers(limited("1000.5"), limited("none"), answerOK, limited("1000.5"), status(http.StatusMisdirectedRequest))
	w.send(http.MethodGet, "/safe/a", "")
	require.InDelta(t, 1000.5, *limit(), 0)
	w.send(http.MethodGet, "/safe/a", "")
	require.InDelta(t, 1000.5, *limit(), 0, "a malformed limit")
	w.send(http.MethodGet, "/safe/a", "")
	require.Nil(t, limit(), "an answer without a limit")
	w.send(http.MethodGet, "/safe/a", "")
	w.send(http.MethodGet, "/safe/a", "")
	require.InDelta(t, 1000.5, *limit(), 0, "another incarnation")
}
