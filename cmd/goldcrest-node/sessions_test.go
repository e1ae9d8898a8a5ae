package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/platform"
	"goldcrestfork/platform/platformtest"
	"goldcrestfork/policy/trial"
)

// versionedService is a platform store with a streaming service. Its endpoints send their
// version in one event and end a stream of /a/held once release is closed.
type versionedService struct {
	*platformtest.Store
	t            *testing.T
	address      string
	release      chan struct{}
	requestCount atomic.Int64
}

func newVersionedService(t *testing.T) *versionedService {
	store, address := platformtest.New(t)
	v := &versionedService{Store: store, t: t, address: address, release: make(chan struct{})}
	store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "r", "host": "h", "pathPrefix": "/a/", "kind": "streaming", "service": "s", "maxAttempts": 1, "timeoutMs": 60000}},
		"services": []any{map[string]any{"name": "s"}},
		"tenants":  []any{map[string]any{"name": "acme", "apiKeys": []string{"k"}}},
	})
	return v
}

// answerDelay is long compared with the delays of a busy machine, because a roll-out's
// trial compares versions by their answer times.
const answerDelay = 100 * time.Millisecond

// startEndpoint starts an endpoint that serves the given version and registers it.
func (v *versionedService) startEndpoint(id, version string) {
	n := platform.Names()
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-time.After(answerDelay)
		w.Header().Set(n.RequestID, r.Header.Get(n.RequestID))
		w.Header().Set(n.Signature, "sig")
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "id: 1\ndata: %s\n\n", version)
		if err := http.NewResponseController(w).Flush(); err != nil || r.URL.Path != "/a/held" {
			return
		}
		select {
		case <-v.release:
		case <-r.Context().Done():
		}
	}))
	v.t.Cleanup(func() {
		e.CloseClientConnections()
		e.Close()
	})
	v.Put("servers", id, map[string]any{
		"service": "s", "address": e.Listener.Addr().String(), "zone": "a", "version": version, "slots": 8, "state": "ready",
	})
}

// openStream opens a stream in a session and returns the version that serves it and the
// open body.
func (v *versionedService) openStream(vm *vm, path, session string) (version string, body io.ReadCloser) {
	n := platform.Names()
	req, err := http.NewRequestWithContext(v.t.Context(), http.MethodPost, "http://"+vm.front+path, strings.NewReader("x"))
	require.NoError(v.t, err)
	req.Host = "h"
	req.Header.Set(n.RequestID, fmt.Sprint("r", v.requestCount.Add(1)))
	req.Header.Set(n.Key, "k")
	req.Header.Set(n.Deadline, "60000")
	req.Header.Set(n.Session, session)
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(v.t, err)
	require.Equal(v.t, http.StatusOK, resp.StatusCode)
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if data, ok := strings.CutPrefix(sc.Text(), "data: "); ok {
			return data, resp.Body
		}
	}
	require.Fail(v.t, "no event", "session %s: %v", session, sc.Err())
	return "", nil
}

// servingVersion sends a request in a session and returns the version that serves it.
func (v *versionedService) servingVersion(vm *vm, session string) string {
	version, body := v.openStream(vm, "/a/short", session)
	body.Close()
	return version
}

// Guards against a session that changes its version from VM to VM, or when a VM that stores
// the session's version stops.
func TestSessionKeepsItsVersionOverVMs(t *testing.T) {
	v := newVersionedService(t)
	v.startEndpoint("e1", "v1")
	more := []string{"bounds.sessionS=1", "bounds.exposureShare=0.4"}
	a, b, c := startVM(t, v.address, "vm-a", more...), startVM(t, v.address, "vm-b", more...), startVM(t, v.address, "vm-c", more...)
	vms := []*vm{a, b, c}
	for _, m := range vms {
		m.awaitReady(true)
		require.Eventually(t, func() bool { return len(m.addresses()) == len(vms) }, 20*time.Second, 10*time.Millisecond)
	}
	next := 0
	newTrialSession := func() string {
		for {
			next++
			if id := fmt.Sprint("session", next); trial.HashSession("s", id).Tries(trial.SessionShare(0.4)) {
				return id
			}
		}
	}
	oldSession := newTrialSession()
	version, oldStream := v.openStream(a, "/a/held", oldSession)
	defer oldStream.Close()
	require.Equal(t, "v1", version)

	v.Put("rollouts", "s", map[string]any{"service": "s", "target": "v2", "durationS": 600})
	v.startEndpoint("e2", "v2")
	for _, m := range vms {
		require.Eventually(t, func() bool { return v.servingVersion(m, newTrialSession()) == "v2" }, 30*time.Second, 20*time.Millisecond)
	}
	newSession := newTrialSession()
	version, newStream := v.openStream(b, "/a/held", newSession)
	defer newStream.Close()
	require.Equal(t, "v2", version)
	requireVersions := func(vms ...*vm) {
		for _, m := range vms {
			require.Equal(t, "v1", v.servingVersion(m, oldSession))
			require.Equal(t, "v2", v.servingVersion(m, newSession))
		}
	}
	requireVersions(a, b, c)
	require.NoError(t, c.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-c.done)
	c.done <- nil
	requireVersions(a, b)
	close(v.release)
}
