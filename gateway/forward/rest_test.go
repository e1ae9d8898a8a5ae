package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/policy/placement"
)

// maxAtRest is the most requests that an endpoint may get from a VM while it rests.
const maxAtRest = 2

// resting refuses a request and asks for rest.
func resting(seconds string) http.HandlerFunc {
	return status(http.StatusServiceUnavailable, testNames.NotRun, "1", testNames.Rest, seconds)
}

// Guards against sending requests to an endpoint that asked for rest: first attempts, repeats, streams, and those for a larger model.
func TestRestingEndpointIsLeftAlone(t *testing.T) {
	w := newTestEnv(t, 4)
	w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testNames.Model) == "small" {
			events(1, 1, false, testNames.Confidence, "10")(rw, r)
			return
		}
		events(1, 2, false)(rw, r)
	})
	w.endpoints[0].handlers = []http.HandlerFunc{resting("60.5")}
	w.endpoints[1].handlers = []http.HandlerFunc{crash}
	for w.endpoints[0].runs.Load() == 0 {
		require.Equal(t, http.StatusOK, w.send(http.MethodGet, "/stream/a", "").status)
	}
	for range 20 {
		require.Equal(t, http.StatusOK, w.send(http.MethodGet, "/safe/a", "").status)
		require.Equal(t, http.StatusOK, w.send(http.MethodGet, "/stream/a", "").status)
		require.Equal(t, http.StatusOK, w.send(http.MethodPost, "/sized/a", "x", testNames.Model, anyModel).status)
	}
	require.LessOrEqual(t, w.endpoints[0].runs.Load(), int64(1+maxAtRest))
}

// Guards against holding a request, or running it, while all endpoints rest, and against a caller that isn't told that nothing ran.
func TestRequestIsRefusedWhileAllEndpointsRest(t *testing.T) {
	w := newTestEnv(t, 2)
	w.setHandlers(resting("60"))
	require.Equal(t, http.StatusServiceUnavailable, w.send(http.MethodPost, "/once/a", "x").status)
	require.EqualValues(t, 2, w.totalRuns())
	r := w.send(http.MethodPost, "/once/a", "x")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not run", r.header.Get("X-Ran"))
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Contains(t, r.body, "rest")
	require.EqualValues(t, 2, w.totalRuns())
}

// Guards against taking for rest what is none: another status, a malformed or negative time, and another incarnation's answer.
func TestOnlyStatedRestCounts(t *testing.T) {
	for _, h := range []http.HandlerFunc{
		resting("soon"), resting("-1"), resting("NaN"), resting("0"), status(http.StatusMisdirectedRequest, testNames.Rest, "60"),
		status(http.StatusTooManyRequests, testNames.NotRun, "1", testNames.Rest, "60"), status(http.StatusServiceUnavailable, testNames.NotRun, "1"),
	} {
		w := newTestEnv(t, 1)
		w.setHandlers(h)
		w.send(http.MethodGet, "/safe/a", "")
		require.Zero(t, w.table.Rows(time.Now())[0].RestMs)
	}
	w := newTestEnv(t, 1)
	w.setHandlers(resting("1e300"))
	w.send(http.MethodGet, "/safe/a", "")
	require.InDelta(t, maxRest.Milliseconds(), w.table.Rows(time.Now())[0].RestMs, 60_000)
}

// Guards against requests to an endpoint that said in an answer that it leaves, also after its entry was removed and is back.
func TestLeavingEndpointGetsNoRequest(t *testing.T) {
	w := newTestEnv(t, 2)
	w.endpoints[0].handlers = []http.HandlerFunc{func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(testNames.Leaving, "1")
		answerOK(rw, r)
	}}
	spec := placement.Spec{ID: "e0", Service: "s", Address: w.endpoints[0].address(), DataCentre: "a", Version: "v1", Slots: 8}
	sendAll := func() int64 {
		before := w.endpoints[0].runs.Load()
		for range 20 {
			require.Equal(t, http.StatusOK, w.send(http.MethodGet, "/safe/a", "").status)
		}
		return w.endpoints[0].runs.Load() - before
	}
	require.EqualValues(t, 1, sendAll())
	w.table.Set(time.Now(), spec)
	require.Zero(t, sendAll(), "its entry is written again")
	w.table.Remove("e0")
	w.table.Set(time.Now(), spec)
	require.Zero(t, sendAll(), "its entry is back")
	spec.StartedAt = 1
	w.table.Set(time.Now(), spec)
	require.EqualValues(t, 1, sendAll(), "it has started again")
}
