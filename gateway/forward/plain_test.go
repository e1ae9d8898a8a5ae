package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/placement"
)

func TestAnswerIsPassedOn(t *testing.T) {
	w := newTestEnv(t, 2)
	r := w.send(http.MethodPost, "/once/a?b=c", "body", "X-Mine", "1")
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, "whole", r.body)
	require.Equal(t, "sig", r.header.Get(testNames.Signature))
	head := w.headers()[0]
	require.Equal(t, "1", head.Get("X-Mine"))
	require.Equal(t, "acme", head.Get(testNames.Account))
	require.Empty(t, head.Get(testNames.Key))
	require.NotEmpty(t, head.Get(testNames.ExpectInstance))
}

// A caller sets headers that are reserved for the system, and lists some as hop-by-hop headers
// to have them removed. The endpoint must get the account of the key and none of the reserved
// values.
func TestOwnedHeadersAreReplaced(t *testing.T) {
	w := newTestEnv(t, 1)
	r := w.send(http.MethodPost, "/once/a", "x", testNames.Account, "other", "X-Hold", "h", testNames.ExpectInstance, "e9",
		"Connection", "X-Account, X-Request")
	require.Equal(t, http.StatusOK, r.status)
	head := w.headers()[0]
	require.Equal(t, "acme", head.Get(testNames.Account))
	require.Equal(t, "e0", head.Get(testNames.ExpectInstance))
	require.Empty(t, head.Get("X-Hold"))
	require.NotEmpty(t, head.Get(testNames.RequestID))
}

// An endpoint runs a booking and crashes before it answers. A second attempt would book twice,
// so the caller must learn that the outcome is unknown.
func TestBookingIsNotSentTwice(t *testing.T) {
	w := newTestEnv(t, 3)
	w.setHandlers(crash)
	r := w.send(http.MethodPost, "/once/a", "x")
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Equal(t, "unknown", r.header.Get("X-Ran"))
	require.EqualValues(t, 1, w.totalRuns())
}

// The answer to a booking is truncated. It must neither look complete nor be requested again,
// since the endpoint ran the booking.
func TestTruncatedAnswerOfABooking(t *testing.T) {
	w := newTestEnv(t, 2)
	w.setHandlers(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testNames.Signature, "sig")
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "abc")
		panic(http.ErrAbortHandler)
	})
	r := w.send(http.MethodPost, "/once/a", "x")
	require.Equal(t, http.StatusBadGateway, r.status)
	require.EqualValues(t, 1, w.totalRuns())
}

// An endpoint states that it did not run a booking: the booking goes to another endpoint, once.
func TestRefusedBookingGoesElsewhere(t *testing.T) {
	w := newTestEnv(t, 2)
	w.endpoints[0].handlers = []http.HandlerFunc{status(http.StatusServiceUnavailable, testNames.NotRun, "1")}
	for range 20 {
		r := w.send(http.MethodPost, "/once/a", "x")
		require.Equal(t, http.StatusOK, r.status)
	}
	require.EqualValues(t, 20, w.endpoints[1].runs.Load())
}

// Every endpoint refuses for lack of capacity. The caller learns at once that nothing ran and
// when to retry, within a third of its timeout.
func TestAllEndpointsAtCapacity(t *testing.T) {
	w := newTestEnv(t, 2)
	w.setHandlers(status(http.StatusServiceUnavailable, testNames.NotRun, "1"))
	r := w.send(http.MethodPost, "/once/a", "x", testNames.Deadline, "600")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not run", r.header.Get("X-Ran"))
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, after, 0.0)
	require.LessOrEqual(t, after, 0.2)
}

// Endpoints that restarted as new incarnations run nothing, so their refusals must not count as
// attempts.
func TestOtherIncarnationsCostNoAttempt(t *testing.T) {
	for _, path := range []string{"/single/a", "/safe/a", "/stream/a"} {
		w := newTestEnv(t, 6)
		w.endpoints[0].handlers = []http.HandlerFunc{events(1, 2, false)}
		for _, e := range w.endpoints[1:] {
			e.handlers = []http.HandlerFunc{status(http.StatusMisdirectedRequest)}
		}
		for range 5 {
			r := w.send(http.MethodPost, path, "x")
			require.Equal(t, http.StatusOK, r.status, path)
		}
		require.EqualValues(t, 5, w.endpoints[0].runs.Load(), path)
	}
}

// If all endpoints restarted as new incarnations, the caller learns at once that nothing ran.
func TestOnlyOtherIncarnations(t *testing.T) {
	w := newTestEnv(t, 30)
	w.setHandlers(status(http.StatusMisdirectedRequest))
	r := w.send(http.MethodPost, "/once/a", "x")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not run", r.header.Get("X-Ran"))
	require.EqualValues(t, maxMisdirected+1, w.totalRuns())
}

// Endpoints without free capacity run nothing: a booking with a single attempt must still reach
// the endpoint that has capacity.
func TestEndpointsAtCapacityCostNoAttempt(t *testing.T) {
	w := newTestEnv(t, 3)
	for _, e := range w.endpoints[1:] {
		e.handlers = []http.HandlerFunc{status(http.StatusServiceUnavailable, testNames.NotRun, "1")}
	}
	for range 10 {
		require.Equal(t, http.StatusOK, w.send(http.MethodPost, "/single/a", "x").status)
	}
}

// An endpoint answers a booking with 503 without stating that it did not run. If the status
// were passed on, the caller would take a second request to be safe.
func TestUnconfirmedNotRunStatusIsNotPassedOn(t *testing.T) {
	for _, code := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		w := newTestEnv(t, 2)
		w.setHandlers(status(code, testNames.Signature, "sig"))
		r := w.send(http.MethodPost, "/once/a", "x")
		require.Equal(t, http.StatusBadGateway, r.status)
		require.EqualValues(t, 1, w.totalRuns())
		require.Empty(t, r.header.Get(testNames.Signature))
	}
}

// An error that the endpoint itself returns for a booking is passed on unchanged.
func TestFailureIsPassedOnUnchanged(t *testing.T) {
	w := newTestEnv(t, 2)
	w.setHandlers(status(http.StatusInternalServerError, testNames.Signature, "sig"))
	r := w.send(http.MethodPost, "/once/a", "x")
	require.Equal(t, http.StatusInternalServerError, r.status)
	require.Equal(t, "sig", r.header.Get(testNames.Signature))
	require.EqualValues(t, 1, w.totalRuns())
}

// An idempotent lookup is repeated after a crash, a truncated answer, an error, or an answer
// with the wrong request id, without a signature or in an encoding that the endpoint didn't
// use. The caller gets a complete answer of another endpoint.
func TestLookupIsSentAgain(t *testing.T) {
	bad := map[string]http.HandlerFunc{
		"crash": crash,
		"error": status(http.StatusInternalServerError, testNames.Signature, "sig"),
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testNames.Signature, "sig")
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "abc")
			panic(http.ErrAbortHandler)
		},
		"no signature": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "forged") },
		"encoding":     status(http.StatusOK, testNames.Signature, "sig", "Content-Encoding", "gzip"),
		"wrong id":     status(http.StatusOK, testNames.Signature, "sig", testNames.RequestID, ""),
	}
	for name, h := range bad {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, 2)
			w.endpoints[0].handlers = []http.HandlerFunc{h}
			for range 8 {
				r := w.send(http.MethodGet, "/safe/a", "")
				require.Equal(t, http.StatusOK, r.status)
				require.Equal(t, "whole", r.body)
			}
		})
	}
}

// All endpoints crash on every request. The route allows three attempts, and the retry budget
// may allow fewer.
func TestAttemptsAreBounded(t *testing.T) {
	w := newTestEnv(t, 6)
	w.setHandlers(crash)
	r := w.send(http.MethodGet, "/safe/a", "")
	require.Equal(t, http.StatusBadGateway, r.status)
	require.EqualValues(t, 3, w.totalRuns())
	w.budget.none.Store(true)
	r = w.send(http.MethodGet, "/safe/b", "")
	require.GreaterOrEqual(t, r.status, 500)
	require.EqualValues(t, 4, w.totalRuns())
}

// Guards against a request that crashes further endpoints in its own attempts after it was quarantined.
func TestQuarantineEndsARequestsOwnAttempts(t *testing.T) {
	for _, path := range []string{"/safe/a", "/stream/a"} {
		w := newTestEnv(t, 6)
		w.poison.limit = 1
		w.setHandlers(crash)
		r := w.send(http.MethodGet, path, "")
		require.Equal(t, http.StatusBadGateway, r.status, "it may have run")
		require.EqualValues(t, 1, w.totalRuns(), path)
		require.Equal(t, http.StatusServiceUnavailable, w.send(http.MethodGet, path, "").status)
		require.EqualValues(t, 1, w.totalRuns(), path)
	}
	w := newTestEnv(t, 6)
	w.poison.limit = 1
	w.setHandlers(events(1, 2, true))
	require.Error(t, w.send(http.MethodGet, "/stream/a", "").err)
	require.EqualValues(t, 1, w.totalRuns(), "a broken stream is not resumed")
}

// Guards against blaming a request for the crash of an endpoint that it could not reach.
func TestUnreachedEndpointRanNothing(t *testing.T) {
	w := newTestEnv(t, 4)
	for _, e := range w.endpoints[1:] {
		e.server.Close()
	}
	for range 8 {
		require.Equal(t, http.StatusOK, w.send(http.MethodGet, "/safe/a", "").status)
	}
	require.EqualValues(t, w.totalRuns(), w.poison.begun)
	require.NotEmpty(t, w.poison.refused)
	require.NotContains(t, w.poison.refused, w.endpoints[0].id)
}

// Guards against blaming requests for the loss of a data centre's power, which a VM notices at each endpoint at another time.
func TestSilenceIsNoCrash(t *testing.T) {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET} {
		require.True(t, isClosedByPeer(&upstream.Error{Sent: true, Cause: cause}), cause)
		require.True(t, isClosedByPeer(fmt.Errorf("%w: %w", errStreamBroken, cause)), cause)
	}
	for _, cause := range []error{net.ErrClosed, syscall.ETIMEDOUT, os.ErrDeadlineExceeded} {
		require.False(t, isClosedByPeer(&upstream.Error{Sent: true, Cause: cause}), cause)
	}
	for _, path := range []string{"/safe/a", "/stream/a"} {
		w := newTestEnv(t, 1)
		w.setHandlers(crash)
		w.send(http.MethodGet, path, "")
		require.Equal(t, 1, w.poison.crashedRequests(), path)
	}
	w := newTestEnv(t, 1)
	w.setHandlers(events(1, 2, true))
	require.Error(t, w.send(http.MethodGet, "/stream/a", "").err)
	require.Equal(t, 1, w.poison.crashedRequests())
}

// Another incarnation refuses a request at an endpoint's address. It ran nothing, so the
// request goes to another endpoint.
func TestReusedAddress(t *testing.T) {
	w := newTestEnv(t, 2)
	w.endpoints[0].handlers = []http.HandlerFunc{status(http.StatusMisdirectedRequest)}
	for range 8 {
		require.Equal(t, http.StatusOK, w.send(http.MethodPost, "/once/a", "x").status)
	}
	require.LessOrEqual(t, w.endpoints[0].runs.Load(), int64(1))
}

// The cold time that an endpoint reports in an answer takes effect at once.
func TestReportedColdTimeApplies(t *testing.T) {
	w := newTestEnv(t, 1)
	w.table.Set(time.Now(), placement.Spec{ID: "e0", Service: "s", Address: w.endpoints[0].address(), DataCentre: "a", Slots: 8, ColdRate: func() float64 { return 0 }})
	w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(testNames.ColdRemaining, "60000")
		answerOK(rw, r)
	})
	require.Equal(t, http.StatusOK, w.send(http.MethodGet, "/safe/a", "").status)
	r := w.send(http.MethodGet, "/safe/a", "")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.EqualValues(t, 1, w.totalRuns())
}
