package forward

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that a full endpoint must turn away, though it said that it falls over then.
func TestFullBrittleEndpointIsLeftAlone(t *testing.T) {
	const requests, slots, canTurnAway = 64, 8, 2
	w := newTestEnv(t, 1)
	var running, turnedAway atomic.Int64
	release := make(chan struct{})
	w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
		h := rw.Header()
		h.Set(testNames.Brittle, "2")
		h.Set(testNames.Load, "7,0,8")
		defer running.Add(-1)
		if running.Add(1) > slots {
			turnedAway.Add(1)
			h.Set(testNames.NotRun, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path != "/once/first" {
			<-release
		}
		answerOK(rw, r)
	})
	require.Equal(t, http.StatusOK, w.send("POST", "/once/first", "").status)
	var callers sync.WaitGroup
	var refused atomic.Int64
	for range requests {
		callers.Go(func() {
			r := w.send("POST", "/once/x", "")
			if r.status == http.StatusServiceUnavailable && refused.Add(1) == requests-slots {
				close(release)
			}
		})
	}
	callers.Wait()
	require.LessOrEqual(t, turnedAway.Load(), int64(canTurnAway))
}

// Guards against a bound that is kept to although the endpoint states none any more, or a malformed one.
func TestBrittleEndsWithTheStatement(t *testing.T) {
	w := newTestEnv(t, 1)
	say := func(value string) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			if value != "" {
				rw.Header().Set(testNames.Brittle, value)
			}
			rw.Header().Set(testNames.Load, "8,4,8")
			answerOK(rw, r)
		}
	}
	w.setHandlers(say("x"), say("5"), say(""), say(""))
	for range 2 {
		require.Equal(t, http.StatusOK, w.send("POST", "/once/x", "").status)
	}
	require.Equal(t, http.StatusServiceUnavailable, w.send("POST", "/once/x", "").status, "the endpoint reported no free slot")
	w.table.ReportLoad(time.Now(), "e0", 0)
	for range 2 {
		require.Equal(t, http.StatusOK, w.send("POST", "/once/x", "").status)
	}
}
