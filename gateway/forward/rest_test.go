package forward

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
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
