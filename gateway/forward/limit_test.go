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
	w.limits.grants.Store(100)
	limit := func() *float64 { return w.table.Rows(time.Now())[0].Limit }
	w.setHandlers(limited("1000.5"), limited("none"), status(http.StatusNotFound, testNames.Signature, "sig"), answerOK, limited("1000.5"), status(http.StatusMisdirectedRequest))
	w.send(http.MethodGet, "/safe/a", "")
	require.InDelta(t, 1000.5, *limit(), 0)
	w.send(http.MethodGet, "/safe/a", "")
	require.InDelta(t, 1000.5, *limit(), 0, "a malformed limit")
	w.send(http.MethodGet, "/safe/a", "")
	require.NotNil(t, limit(), "an answer that is no success")
	w.send(http.MethodGet, "/safe/a", "")
	require.Nil(t, limit(), "an answer without a limit")
	w.send(http.MethodGet, "/safe/a", "")
	w.send(http.MethodGet, "/safe/a", "")
	require.InDelta(t, 1000.5, *limit(), 0, "another incarnation")
}

// Guards against requests at a limited endpoint without a grant: first attempts, and those for a larger model.
func TestLimitedEndpointGetsNoRequestWithoutGrant(t *testing.T) {
	w := newTestEnv(t, 2)
	w.endpoints[0].handlers = []http.HandlerFunc{limited("1")}
	for w.endpoints[0].runs.Load() == 0 {
		require.Equal(t, http.StatusOK, w.send(http.MethodGet, "/safe/a", "").status)
	}
	w.setHandlers(events(1, 2, false, testNames.Confidence, "0", testNames.RateLimit, "1"))
	w.endpoints[1].handlers = []http.HandlerFunc{events(1, 2, false, testNames.Confidence, "0")}
	for range 20 {
		require.Equal(t, http.StatusOK, w.send(http.MethodPost, "/sized/a", "x", testNames.Model, anyModel).status)
	}
	require.EqualValues(t, 1, w.endpoints[0].runs.Load())
	require.Greater(t, w.endpoints[1].runs.Load(), int64(20), "larger models were asked")
}

// Guards against holding a request, or running it, while no endpoint's limit allows it.
func TestRequestIsRefusedWhileAllLimitsAreUsedUp(t *testing.T) {
	w := newTestEnv(t, 2)
	w.limits.grants.Store(1)
	w.setHandlers(limited("1"))
	for range 3 {
		require.Equal(t, http.StatusOK, w.send(http.MethodPost, "/once/a", "x").status)
	}
	r := w.send(http.MethodPost, "/once/a", "x")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not run", r.header.Get("X-Ran"))
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.EqualValues(t, 3, w.totalRuns())
}

// Guards against dropping a weak answer for a larger model while no endpoint's limit allows another request.
func TestWeakAnswerIsKeptWhileLimitsAreUsedUp(t *testing.T) {
	w := newTestEnv(t, 1)
	w.limits.grants.Store(1)
	w.setHandlers(limited("1"), events(1, 2, false, testNames.Confidence, "0", testNames.RateLimit, "1"))
	require.Equal(t, http.StatusOK, w.send(http.MethodGet, "/safe/a", "").status)
	r := w.send(http.MethodPost, "/sized/a", "x", testNames.Model, anyModel)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, streamOf(1, 2), r.body)
}

// Guards against a refusal while an endpoint without a limit, or one whose limit allows a request, is left among many that are used up.
func TestRequestFindsTheEndpointThatIsLeft(t *testing.T) {
	for name, free := range map[string]bool{"without a limit": true, "within its limit": false} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, 9)
			w.setHandlers(limited("1"))
			if free {
				w.endpoints[8].handlers = []http.HandlerFunc{answerOK}
			}
			for _, e := range w.endpoints {
				if e.id != "e8" || !free {
					w.table.SetLimit(time.Now(), e.id, 1)
				}
			}
			w.limits.only.Store(&w.endpoints[8].id)
			for range 20 {
				require.Equal(t, http.StatusOK, w.send(http.MethodPost, "/once/a", "x").status)
			}
			require.EqualValues(t, 20, w.endpoints[8].runs.Load())
		})
	}
}
