package forward

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStreamIsPassedOn(t *testing.T) {
	w := newWorld(t, 1)
	w.all(events(1, 5, false))
	r := w.ask(http.MethodPost, "/stream/a", "x")
	require.NoError(t, r.err)
	require.Equal(t, streamOf(1, 5), r.body)
}

// An endpoint dies in the middle of an event. The caller's answer goes on with the
// events of another endpoint, which is asked to begin after the last whole one; the
// second one sends an event twice all the same. None may be missing, cut or double.
func TestStreamGoesOnElsewhere(t *testing.T) {
	w := newWorld(t, 2)
	w.all(func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testNames.LastEvent) == "" {
			events(1, 3, true)(rw, r)
			return
		}
		events(3, 6, false)(rw, r)
	})
	r := w.ask(http.MethodPost, "/stream/a", "x")
	require.NoError(t, r.err)
	require.Equal(t, streamOf(1, 6), r.body)
	var last []string
	for _, h := range w.heads() {
		last = append(last, h.Get(testNames.LastEvent))
	}
	require.ElementsMatch(t, []string{"", "3"}, last)
}

// A stream that may not be resumed breaks: what the caller has must not look complete,
// and nothing runs again.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	w := newWorld(t, 2)
	w.all(events(1, 3, true))
	r := w.ask(http.MethodPost, "/stream-once/a", "x")
	require.Error(t, r.err)
	require.Equal(t, streamOf(1, 3), r.body)
	require.EqualValues(t, 1, w.runs())
}

// All endpoints break every stream: the attempts run out, and the caller is cut off.
func TestStreamThatAlwaysBreaks(t *testing.T) {
	w := newWorld(t, 6)
	w.all(events(1, 3, true))
	r := w.ask(http.MethodPost, "/stream/a", "x")
	require.Error(t, r.err)
	require.Equal(t, streamOf(1, 3), r.body)
	require.EqualValues(t, 3, w.runs())
}

// The smallest model trusts its answer little: it is dropped before the caller has
// anything of it, and the largest is asked. With no budget for that the weak answer is
// better than none.
func TestWeakAnswerIsMadeAgain(t *testing.T) {
	w := newWorld(t, 2)
	w.all(func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testNames.Model) == "small" {
			events(1, 1, false, testNames.Confidence, "10")(rw, r)
			return
		}
		events(1, 2, false, testNames.Confidence, "20")(rw, r)
	})
	r := w.ask(http.MethodPost, "/sized/a", "x", testNames.Model, "*")
	require.Equal(t, streamOf(1, 2), r.body)
	require.EqualValues(t, 2, w.runs())

	w.budget.none.Store(true)
	r = w.ask(http.MethodPost, "/sized/b", "x", testNames.Model, "*")
	require.Equal(t, streamOf(1, 1), r.body)
}

// A caller that names a model gets that one.
func TestNamedModelStays(t *testing.T) {
	w := newWorld(t, 1)
	w.all(events(1, 1, false, testNames.Confidence, "1"))
	w.ask(http.MethodPost, "/sized/a", "x", testNames.Model, "middle")
	require.Equal(t, "middle", w.heads()[0].Get(testNames.Model))
	require.EqualValues(t, 1, w.runs())
}

// An endpoint answers without a length and ends its connection in order, but in the
// middle of an event: the end of the connection looks like the end of the answer.
func TestOrderlyEndWithinAnEvent(t *testing.T) {
	w := newWorld(t, 2)
	w.all(func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testNames.LastEvent) != "" {
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
	r := w.ask(http.MethodPost, "/stream/a", "x")
	require.NoError(t, r.err)
	require.Equal(t, streamOf(1, 4), r.body)
}

// Guards against failures of a version on trial that nobody counts.
func TestFailuresOfStreamsCountAgainstTheirVersion(t *testing.T) {
	cutError := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "100")
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(rw, "half")
	}
	onResume := func(h http.HandlerFunc) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(testNames.LastEvent) == "" {
				events(1, 3, true)(rw, r)
				return
			}
			h(rw, r)
		}
	}
	for name, h := range map[string]http.HandlerFunc{
		"error cut short": cutError,
		"error on resume": onResume(status(http.StatusInternalServerError)),
		"unsound resume":  onResume(func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "no signature") }),
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2)
			w.all(h)
			w.ask(http.MethodPost, "/stream/a", "x")
			w.versions.mu.Lock()
			defer w.versions.mu.Unlock()
			failed := 0
			for _, a := range w.versions.told {
				if a.Failed {
					failed++
				}
			}
			require.EqualValues(t, w.runs(), failed)
		})
	}
}
