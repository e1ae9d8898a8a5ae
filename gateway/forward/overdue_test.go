package forward

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// neverAnswer accepts a request and never answers it.
func neverAnswer(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// An endpoint never answers: the request must go to another endpoint while there is time.
func TestOverdueRequestIsRerouted(t *testing.T) {
	w := newTestEnv(t, 4)
	w.endpoints[0].handlers = []http.HandlerFunc{neverAnswer}
	for _, e := range w.endpoints[1:] {
		e.handlers = []http.HandlerFunc{events(1, 3, false)}
	}
	for w.endpoints[0].runs.Load() == 0 {
		r := w.send(http.MethodPost, "/aimed/a", "x")
		require.Equal(t, http.StatusOK, r.status)
		require.Equal(t, streamOf(1, 3), r.body)
	}
}

// A request that must not run twice waits for its answer until the deadline.
func TestNonRepeatableRequestIsNotRerouted(t *testing.T) {
	w := newTestEnv(t, 3)
	w.setHandlers(neverAnswer)
	r := w.send(http.MethodPost, "/aimed-once/a", "x", testNames.Deadline, "400")
	require.Equal(t, http.StatusGatewayTimeout, r.status)
	require.Equal(t, "unknown", r.header.Get("X-Ran"))
	require.EqualValues(t, 1, w.totalRuns())
}

// If no endpoint answers, only a few requests may be rerouted: in an overload each second
// attempt delays the other requests.
func TestReroutesAreBounded(t *testing.T) {
	w := newTestEnv(t, 3)
	w.setHandlers(neverAnswer)
	for range 12 {
		w.send(http.MethodPost, "/aimed/a", "x", testNames.Deadline, "100")
	}
	require.LessOrEqual(t, w.totalRuns(), int64(12+rerouteSlack+12*rerouteRatio))
}
