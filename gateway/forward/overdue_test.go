package forward

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// lose runs a request and never answers it.
func lose(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// An endpoint whose answer never comes is left while there is time for another.
func TestLostAnswerIsMadeElsewhere(t *testing.T) {
	w := newWorld(t, 4)
	w.endpoints[0].handlers = []http.HandlerFunc{lose}
	for _, e := range w.endpoints[1:] {
		e.handlers = []http.HandlerFunc{events(1, 3, false)}
	}
	for w.endpoints[0].runs.Load() == 0 {
		r := w.ask(http.MethodPost, "/aimed/a", "x")
		require.Equal(t, http.StatusOK, r.status)
		require.Equal(t, streamOf(1, 3), r.body)
	}
}

// An answer that must not be made twice is waited for to the end.
func TestLostAnswerOfOneRunIsWaitedFor(t *testing.T) {
	w := newWorld(t, 3)
	w.all(lose)
	r := w.ask(http.MethodPost, "/aimed-once/a", "x", testNames.Deadline, "400")
	require.Equal(t, http.StatusGatewayTimeout, r.status)
	require.Equal(t, "unknown", r.header.Get("X-Ran"))
	require.EqualValues(t, 1, w.runs())
}

// Where all answers are lost few requests are moved: in an overload each that is moved
// makes the others later.
func TestFewRequestsAreMoved(t *testing.T) {
	w := newWorld(t, 3)
	w.all(lose)
	for range 12 {
		w.ask(http.MethodPost, "/aimed/a", "x", testNames.Deadline, "100")
	}
	require.LessOrEqual(t, w.runs(), int64(12+movesSlack+12*movesRatio))
}
