package forward

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/reach"
)

// fakeDetours offers VMs in order to requests that reach.Tracker sends elsewhere.
type fakeDetours struct {
	tracker  *reach.Tracker
	mu       sync.Mutex
	vms      []Peer
	unusable []string
	down     []string
}

func (d *fakeDetours) Needed(r reach.Request) bool { return d.tracker.NeedsDetour(r) }

func (d *fakeDetours) Next(_ string, _, tried []string) (Peer, bool) {
	for _, p := range d.vms {
		if !slices.Contains(tried, p.Name) {
			return p, true
		}
	}
	return Peer{}, false
}

func (d *fakeDetours) Unusable(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unusable = append(d.unusable, vm)
}

func (d *fakeDetours) Down(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = append(d.down, service)
}

// cutOff ends a VM's endpoints and names other VMs to it.
func (w *testEnv) cutOff(others ...*testEnv) *fakeDetours {
	for _, e := range w.endpoints {
		e.server.CloseClientConnections()
		e.server.Close()
	}
	return w.detourTo(others...)
}

func (w *testEnv) detourTo(others ...*testEnv) *fakeDetours {
	d := &fakeDetours{tracker: reach.New()}
	for i, o := range others {
		d.vms = append(d.vms, Peer{Name: string(rune('b' + i)), Address: o.vmServer.Listener.Addr().String()})
	}
	w.handler.cfg.Detours = d
	return d
}

var detourPaths = []string{"/once/x", "/safe/x", "/stream/x", "/sized/x"}

// Guards against requests that are refused, or that reach an endpoint changed, when only other VMs can connect to the endpoints.
func TestRequestsGoThroughAnotherVM(t *testing.T) {
	a, b := newTestEnv(t, 3), newTestEnv(t, 1)
	a.cutOff(b)
	b.setHandlers(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "q=1", r.URL.RawQuery)
		events(1, 3, false)(w, r)
	})
	for _, path := range detourPaths {
		r := a.send("POST", path+"?q=1", "body", testNames.Model, "*")
		require.NoError(t, r.err, path)
		require.Equal(t, http.StatusOK, r.status, path)
		require.Equal(t, streamOf(1, 3), r.body)
	}
	require.EqualValues(t, len(detourPaths), b.totalRuns())
	for _, h := range b.headers() {
		require.Equal(t, "acme", h.Get(testNames.Account))
		require.NotEmpty(t, h.Get(testNames.ExpectInstance))
		require.Empty(t, h.Get(testNames.Key))
		require.Empty(t, h.Get(testNames.Forwarded))
	}
	require.Equal(t, "small", b.headers()[len(detourPaths)-1].Get(testNames.Model), "the other VM chooses the model")
}

// Guards against requests that VMs without paths send each other in circles, and against refusals of these that aren't given at once.
func TestForwardedRequestIsForwardedNoFurther(t *testing.T) {
	a, b := newTestEnv(t, 3), newTestEnv(t, 3)
	d := a.cutOff(b, b, b)
	b.cutOff(a, a)
	for _, path := range detourPaths {
		require.Equal(t, http.StatusServiceUnavailable, a.send("POST", path, "body", testNames.Model, "*").status, path)
	}
	require.Zero(t, a.totalRuns()+b.totalRuns())
	require.Contains(t, d.unusable, "b")
	require.Contains(t, d.down, "s", "three VMs reach no endpoint of the service")
}

// Guards against a VM with an older configuration that handles a request by it, though the caller has seen the effect of a newer one.
func TestOlderConfigurationRunsNoForwardedRequest(t *testing.T) {
	a, b, c := newTestEnv(t, 3), newTestEnv(t, 1), newTestEnv(t, 1)
	b.state.config.Revision--
	a.cutOff(b)
	require.Equal(t, http.StatusServiceUnavailable, a.send("POST", "/once/x", "body").status)
	a.detourTo(b, c)
	require.Equal(t, http.StatusOK, a.send("POST", "/once/x", "body").status)
	require.Zero(t, b.totalRuns())
	require.EqualValues(t, 1, c.totalRuns())
}

// Guards against a second run of a request that may not be repeated after another VM lost its answer.
func TestForwardedRequestOfUnknownOutcomeIsNotRepeated(t *testing.T) {
	a, b, c := newTestEnv(t, 3), newTestEnv(t, 2), newTestEnv(t, 2)
	a.cutOff(b, c)
	b.setHandlers(crash)
	require.Equal(t, http.StatusBadGateway, a.send("POST", "/once/x", "body").status)
	require.EqualValues(t, 1, b.totalRuns())
	b.setHandlers(func(w http.ResponseWriter, _ *http.Request) {
		b.vmServer.CloseClientConnections()
	})
	require.Equal(t, http.StatusBadGateway, a.send("POST", "/once/x", "body").status, "the other VM ended")
	require.EqualValues(t, 2, b.totalRuns())
	require.Zero(t, c.totalRuns())
}

// Guards against more runs than the route allows, when a request ran before it went through another VM.
func TestForwardedRequestKeepsToItsAttempts(t *testing.T) {
	a, b := newTestEnv(t, 1), newTestEnv(t, 4)
	a.setHandlers(crash)
	a.detourTo(b)
	b.setHandlers(crash)
	require.Equal(t, http.StatusBadGateway, a.send("POST", "/safe/x", "body").status)
	require.EqualValues(t, 1, a.totalRuns())
	require.EqualValues(t, 2, b.totalRuns(), "the route allows three attempts")
}

// Guards against a stream that ends early, though another VM could go on with it.
func TestStreamGoesOnThroughAnotherVM(t *testing.T) {
	a, b := newTestEnv(t, 2), newTestEnv(t, 1)
	a.setHandlers(func(w http.ResponseWriter, r *http.Request) {
		for _, e := range a.endpoints {
			e.server.Listener.Close()
		}
		events(1, 2, true)(w, r)
	})
	b.setHandlers(events(3, 5, false))
	a.detourTo(b)
	r := a.send("POST", "/stream/x", "body")
	require.NoError(t, r.err)
	require.Equal(t, streamOf(1, 5), r.body)
	require.Eventually(t, func() bool {
		a.versions.mu.Lock()
		defer a.versions.mu.Unlock()
		return slices.Equal(a.versions.endedVersions, []string{"v1"})
	}, 10*time.Second, time.Millisecond, "the session stays at the version that this VM knows")
	require.Equal(t, "2", b.headers()[0].Get(testNames.LastEventID))
}

// Guards against an answer that looks whole although the VM that passed it on ended in the middle.
func TestAnswerThatAnotherVMBreaksOffIsNotWhole(t *testing.T) {
	a, b := newTestEnv(t, 1), newTestEnv(t, 1)
	a.cutOff(b)
	b.setHandlers(events(1, 2, true))
	r := a.send("POST", "/stream-once/x", "body")
	require.Error(t, r.err)
}

// Guards against a malformed header of another VM that is taken for none.
func TestMalformedForwardedIsRefused(t *testing.T) {
	a := newTestEnv(t, 1)
	for _, text := range []string{"x", ";1;1", "vm;x;1", "vm;1;-1", "vm;1;1;1"} {
		r := a.send("POST", "/once/x", "body", testNames.Forwarded, text)
		require.Equal(t, http.StatusBadRequest, r.status, text)
	}
	require.Zero(t, a.totalRuns())
}

// Guards against a forwarded request that waits at one endpoint after the other, when the VM that got it has lost its paths without knowing, instead of going to a third VM.
func TestForwardedRequestIsRefusedOnceNoEndpointAnswers(t *testing.T) {
	a, b, c := newTestEnv(t, 3), newTestEnv(t, 12), newTestEnv(t, 1)
	a.cutOff(b, c)
	b.cutOff()
	require.Equal(t, http.StatusOK, a.send("POST", "/once/x", "body").status)
	unreached := 0
	for _, row := range b.table.Rows(time.Now()) {
		if row.AvoidMs > 0 {
			unreached++
		}
	}
	require.Equal(t, 2, unreached, "endpoints that the other VM tried")
	require.EqualValues(t, 1, c.totalRuns())
}

// Guards against endpoints that go on working for a caller who has left, when the request took a detour.
func TestCallerLeavesDuringADetour(t *testing.T) {
	a, b := newTestEnv(t, 3), newTestEnv(t, 1)
	a.cutOff(b)
	began, ended := make(chan struct{}), make(chan struct{})
	b.setHandlers(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.vmServer.URL+"/safe/x", nil)
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(testNames.RequestID, "left")
	req.Header.Set(testNames.Key, "k")
	go func() {
		<-began
		cancel()
	}()
	_, err = http.DefaultTransport.RoundTrip(req)
	require.ErrorIs(t, err, context.Canceled)
	<-ended
}

// hangingEndpoint adds an endpoint that neither accepts nor refuses connections, as behind a network
// that drops packets: nobody accepts, and the queue of its listener is full.
func (w *testEnv) hangingEndpoint(id string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(w.t, err)
	w.t.Cleanup(func() { l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	require.NoError(w.t, err)
	require.NoError(w.t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	for err == nil {
		var c net.Conn
		if c, err = net.DialTimeout("tcp4", l.Addr().String(), 100*time.Millisecond); err == nil {
			w.t.Cleanup(func() { c.Close() })
		}
	}
	w.table.Set(time.Now(), placement.Spec{ID: id, Service: "s", Address: l.Addr().String(), DataCentre: "a", Version: "v1", Slots: 8})
}

// Guards against a request that waits for one hanging connection after the other, while a caller with little time leaves.
func TestRequestTriesOneHangingEndpoint(t *testing.T) {
	a, b := newTestEnv(t, 0), newTestEnv(t, 1)
	for _, id := range []string{"e0", "e1", "e2"} {
		a.hangingEndpoint(id)
	}
	var failures failureCount
	a.handler.cfg.Pool = upstream.NewPool(prometheus.NewRegistry(), "test", &failures)
	a.detourTo(b)
	require.Equal(t, http.StatusOK, a.send("POST", "/once/x", "body").status)
	require.EqualValues(t, 1, failures.Load())
	require.EqualValues(t, 1, b.totalRuns())
}

// failureCount is an upstream.Observer that counts failed connections.
type failureCount struct{ atomic.Int64 }

func (*failureCount) Received()       {}
func (c *failureCount) Failed(string) { c.Add(1) }
