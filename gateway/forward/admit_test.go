package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A VM that just started knows no configuration. To say that a path or key doesn't
// exist would make callers give up for good.
func TestNoConfigurationYet(t *testing.T) {
	w := newWorld(t, 1)
	w.state.config = nil
	r := w.ask(http.MethodGet, "/safe/a", "")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
}

// The VM is cut from the platform. A path or key that it doesn't know may have been
// added since, so it denies nothing once its proof is older than DenyProof; and a key
// that it knows may have been taken away, so it serves none after KeyProof. What needs
// no key goes on.
func TestAgeOfTheProof(t *testing.T) {
	w := newWorld(t, 1)
	for _, c := range []struct {
		age       time.Duration
		path, key string
		want      int
	}{
		{0, "/none/a", "k", http.StatusNotFound},
		{0, "/safe/a", "unknown", http.StatusUnauthorized},
		{0, "/safe/a", "", http.StatusUnauthorized},
		{3 * time.Second, "/none/a", "k", http.StatusServiceUnavailable},
		{3 * time.Second, "/safe/a", "unknown", http.StatusServiceUnavailable},
		{3 * time.Second, "/safe/a", "k", http.StatusOK},
		{5 * time.Second, "/safe/a", "k", http.StatusServiceUnavailable},
		{time.Hour, "/open/a", "", http.StatusOK},
	} {
		w.state.mu.Lock()
		w.state.age = c.age
		w.state.mu.Unlock()
		r := w.ask(http.MethodGet, c.path, "", testNames.Key, c.key)
		require.Equal(t, c.want, r.status, "%+v", c)
	}
}

func TestLimits(t *testing.T) {
	w := newWorld(t, 1)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, w.ask(http.MethodGet, "/safe/a", "", "X-Long", strings.Repeat("a", 5000)).status)
	require.Equal(t, http.StatusRequestEntityTooLarge, w.ask(http.MethodPost, "/once/a", strings.Repeat("a", 1<<16+1)).status)
	require.Zero(t, w.runs())
	require.Equal(t, http.StatusOK, w.ask(http.MethodPost, "/once/a", strings.Repeat("a", 1<<16)).status)
}

func TestLongestPrefixWins(t *testing.T) {
	w := newWorld(t, 1)
	require.Equal(t, "quick", w.state.config.Match("H", "/safe/quick/x").Name)
	require.Equal(t, "safe", w.state.config.Match("h", "/safe/quic").Name)
	require.Nil(t, w.state.config.Match("h", "/safe"))
	require.Nil(t, w.state.config.Match("other", "/safe/a"))
}

// An endpoint is told what is left of the caller's time, or of the route's where that
// is shorter; when it is over the caller has its final answer, and the endpoint hears
// that nobody waits.
func TestTimeIsOver(t *testing.T) {
	w := newWorld(t, 1)
	left := make(chan struct{})
	w.all(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	})
	r := w.ask(http.MethodGet, "/safe/quick/a", "")
	require.Equal(t, http.StatusGatewayTimeout, r.status)
	<-left
	ms, err := strconv.Atoi(w.heads()[0].Get(testNames.Deadline))
	require.NoError(t, err)
	require.LessOrEqual(t, ms, 50)
}

// The caller leaves while an endpoint works: the endpoint hears of it, and no other
// endpoint gets the request.
func TestCallerLeaves(t *testing.T) {
	for _, path := range []string{"/safe/a", "/stream/a"} {
		w := newWorld(t, 3)
		ctx, cancel := context.WithCancel(t.Context())
		left := make(chan struct{})
		w.all(func(_ http.ResponseWriter, r *http.Request) {
			cancel()
			<-r.Context().Done()
			close(left)
		})
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, w.front.URL+path, nil)
		require.NoError(t, err)
		req.Host = "h"
		req.Header.Set(testNames.RequestID, "left")
		req.Header.Set(testNames.Key, "k")
		_, err = http.DefaultTransport.RoundTrip(req)
		require.ErrorIs(t, err, context.Canceled)
		<-left
		require.Eventually(t, func() bool { return w.handler.Active() == 0 }, 10*time.Second, time.Millisecond)
		require.EqualValues(t, 1, w.runs())
	}
}

// A request that crashed three endpoints comes again from its caller: it must not take
// down a fourth.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	w := newWorld(t, 6)
	w.all(crash)
	require.Equal(t, http.StatusBadGateway, w.ask(http.MethodGet, "/safe/bad", "").status)
	runs := w.runs()
	r := w.ask(http.MethodGet, "/safe/bad", "")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not run", r.header.Get("X-Ran"))
	require.Equal(t, runs, w.runs())
}

// A VM that is to stop ends each connection with an answer, and turns streams away that
// would outlive it, with when to come back.
func TestStopping(t *testing.T) {
	w := newWorld(t, 1)
	w.handler.Stop(time.Now().Add(-time.Second))
	r := w.ask(http.MethodPost, "/once/a", "x")
	require.Equal(t, http.StatusOK, r.status)
	require.True(t, r.last)
	r = w.ask(http.MethodGet, "/stream/a", "")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
}

// All VMs come back at once: a caller that is sent away before the VM knows what it serves
// would meet the next one that doesn't.
func TestStartedVMHoldsRequests(t *testing.T) {
	w := newWorld(t, 1)
	config := w.state.config
	w.state.known, w.state.config = make(chan struct{}), nil
	w.handler.started = time.Now().Add(time.Minute)
	var once sync.Once
	w.state.asked = func() {
		go once.Do(func() {
			w.state.mu.Lock()
			defer w.state.mu.Unlock()
			w.state.config = config
			close(w.state.known)
		})
	}
	require.Equal(t, http.StatusOK, w.ask(http.MethodGet, "/safe/a", "").status)
}

// A VM that has long started, or a caller with little time, gets the refusal that nothing ran.
func TestVMWithoutConfigurationRefuses(t *testing.T) {
	for name, started := range map[string]time.Time{"long ago": {}, "just now, no time": time.Now().Add(time.Hour)} {
		w := newWorld(t, 1)
		w.state.known, w.state.config = make(chan struct{}), nil
		w.handler.started = started
		r := w.ask(http.MethodGet, "/safe/a", "", testNames.Deadline, "40")
		require.Equal(t, http.StatusServiceUnavailable, r.status, name)
		require.Equal(t, "not run", r.header.Get("X-Ran"), name)
	}
}
