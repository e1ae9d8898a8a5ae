package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/policy/pace"
)

func TestStreamIsPassedOn(t *testing.T) {
	w := newTestEnv(t, 1)
	w.setHandlers(events(1, 5, false))
	r := w.send(http.MethodPost, "/stream/a", "x")
	require.NoError(t, r.err)
	require.Equal(t, streamOf(1, 5), r.body)
}

// An endpoint crashes in the middle of an event. The stream continues from another endpoint,
// which is asked to start after the last whole event but repeats that one. No event may be
// missing, truncated or duplicated.
func TestStreamResumesElsewhere(t *testing.T) {
	w := newTestEnv(t, 2)
	w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testNames.LastEventID) == "" {
			events(1, 3, true)(rw, r)
			return
		}
		events(3, 6, false)(rw, r)
	})
	r := w.send(http.MethodPost, "/stream/a", "x")
	require.NoError(t, r.err)
	require.Equal(t, streamOf(1, 6), r.body)
	var last []string
	for _, h := range w.headers() {
		last = append(last, h.Get(testNames.LastEventID))
	}
	require.ElementsMatch(t, []string{"", "3"}, last)
}

// A stream on a route without resumption breaks: the caller's part must not look complete, and
// nothing runs again.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	w := newTestEnv(t, 2)
	w.setHandlers(events(1, 3, true))
	r := w.send(http.MethodPost, "/stream-once/a", "x")
	require.Error(t, r.err)
	require.Equal(t, streamOf(1, 3), r.body)
	require.EqualValues(t, 1, w.totalRuns())
}

// All endpoints break every stream: the attempts run out, and the caller's connection is
// aborted.
func TestStreamThatAlwaysBreaks(t *testing.T) {
	w := newTestEnv(t, 6)
	w.setHandlers(events(1, 3, true))
	r := w.send(http.MethodPost, "/stream/a", "x")
	require.Error(t, r.err)
	require.Equal(t, streamOf(1, 3), r.body)
	require.EqualValues(t, 3, w.totalRuns())
}

// The smallest model reports a low confidence: its answer is dropped before the caller has any
// of it, and the largest model is asked. Without a retry budget the weak answer is passed on.
func TestWeakAnswerIsRepeatedByLargerModel(t *testing.T) {
	w := newTestEnv(t, 2)
	w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testNames.Model) == "small" {
			events(1, 1, false, testNames.Confidence, "10")(rw, r)
			return
		}
		events(1, 2, false, testNames.Confidence, "20")(rw, r)
	})
	r := w.send(http.MethodPost, "/sized/a", "x", testNames.Model, "*")
	require.Equal(t, streamOf(1, 2), r.body)
	require.EqualValues(t, 2, w.totalRuns())

	w.budget.none.Store(true)
	r = w.send(http.MethodPost, "/sized/b", "x", testNames.Model, "*")
	require.Equal(t, streamOf(1, 1), r.body)
}

// Guards against asking the largest model where the next larger one is sure enough, and against an answer made of two.
func TestMiddlingAnswerIsRepeatedByNextModel(t *testing.T) {
	for middleConfidence, runs := range map[string]int64{"70": 2, "20": 3} {
		w := newTestEnv(t, 2)
		w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			switch r.Header.Get(testNames.Model) {
			case "small":
				events(1, 1, false, testNames.Confidence, "50")(rw, r)
			case "middle":
				events(1, 2, false, testNames.Confidence, middleConfidence)(rw, r)
			case "large":
				events(1, 3, false, testNames.Confidence, "30")(rw, r)
			}
		})
		r := w.send(http.MethodPost, "/sized/a", "x", testNames.Model, "*")
		require.Equal(t, streamOf(1, int(runs)), r.body)
		require.Equal(t, runs, w.totalRuns())
	}
}

// A caller that names a model gets that model.
func TestNamedModelIsKept(t *testing.T) {
	w := newTestEnv(t, 1)
	w.setHandlers(events(1, 1, false, testNames.Confidence, "1"))
	w.send(http.MethodPost, "/sized/a", "x", testNames.Model, "middle")
	require.Equal(t, "middle", w.headers()[0].Get(testNames.Model))
	require.EqualValues(t, 1, w.totalRuns())
}

// An endpoint answers without a length and closes its connection in an orderly way in the
// middle of an event, which looks like the end of the answer.
func TestOrderlyEndWithinAnEvent(t *testing.T) {
	w := newTestEnv(t, 2)
	w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testNames.LastEventID) != "" {
			events(2, 4, false)(rw, r)
			return
		}
		c, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+testNames.RequestID+": "+r.Header.Get(testNames.RequestID)+"\r\n"+
			testNames.Signature+": sig\r\nConnection: close\r\n\r\nid: 1\ndata: e1\n\nid: 2\nda")
	})
	r := w.send(http.MethodPost, "/stream/a", "x")
	require.NoError(t, r.err)
	require.Equal(t, streamOf(1, 4), r.body)
}

// Guards against failures of a version under trial that are not counted.
func TestFailuresOfStreamsCountAgainstTheirVersion(t *testing.T) {
	cutError := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "100")
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(rw, "half")
	}
	onResume := func(h http.HandlerFunc) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(testNames.LastEventID) == "" {
				events(1, 3, true)(rw, r)
				return
			}
			h(rw, r)
		}
	}
	for name, h := range map[string]http.HandlerFunc{
		"error cut short": cutError,
		"error on resume": onResume(status(http.StatusInternalServerError)),
		"unsigned resume": onResume(func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "no signature") }),
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, 2)
			w.setHandlers(h)
			w.send(http.MethodPost, "/stream/a", "x")
			w.versions.mu.Lock()
			defer w.versions.mu.Unlock()
			failed := 0
			for _, a := range w.versions.answers {
				if a.Failed {
					failed++
				}
			}
			require.EqualValues(t, w.totalRuns(), failed)
		})
	}
}

// Guards against slow versions that nobody notices since only the head of a stream was reported: long streams are reported with their first events before they end, and those that callers give up on as well.
func TestStreamIsReportedWithItsEvents(t *testing.T) {
	w := newTestEnv(t, 1)
	open, end := context.WithCancel(t.Context())
	defer end()
	w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
		events(1, pace.KnownEvents, false)(rw, r)
		<-open.Done()
	}, events(1, 3, false), func(rw http.ResponseWriter, r *http.Request) {
		events(1, 2, false)(rw, r)
		<-r.Context().Done()
	})
	reported := func(n int) (a AnswerResult) {
		require.Eventually(t, func() bool {
			w.versions.mu.Lock()
			defer w.versions.mu.Unlock()
			if len(w.versions.paces) < n {
				return false
			}
			require.Len(t, w.versions.paces, n)
			require.Len(t, w.versions.answers, n)
			a = w.versions.paces[n-1]
			return true
		}, 10*time.Second, time.Millisecond)
		return a
	}
	done := make(chan result, 1)
	go func() { done <- w.send(http.MethodPost, "/stream/a", "x") }()
	a := reported(1)
	require.Equal(t, pace.KnownEvents, a.Answer.Events)
	require.True(t, a.Answer.Arriving)
	end()
	<-done
	w.send(http.MethodPost, "/stream/a", "x")
	a = reported(2)
	require.Equal(t, 3, a.Answer.Events)
	require.False(t, a.Answer.Arriving || a.Answer.Unfinished)

	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.vmServer.URL+"/stream/a", strings.NewReader("x"))
	require.NoError(t, err)
	req.Host = "h"
	for name, value := range map[string]string{testNames.RequestID: "left", testNames.Key: "k", testNames.Deadline: "20000"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, len(streamOf(1, 2))))
	require.NoError(t, err)
	leave()
	resp.Body.Close()
	a = reported(3)
	require.Equal(t, 2, a.Answer.Events)
	require.True(t, a.Answer.Unfinished)
}
