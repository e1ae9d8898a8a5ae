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

// versioned is a store with a streaming service whose endpoints name their version in one
// event, and end a stream of /a/held when released.
type versioned struct {
	*platformtest.Store
	t       *testing.T
	address string
	release chan struct{}
	asked   atomic.Int64
}

func newVersioned(t *testing.T) *versioned {
	store, address := platformtest.New(t)
	v := &versioned{Store: store, t: t, address: address, release: make(chan struct{})}
	store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "r", "host": "h", "pathPrefix": "/a/", "kind": "streaming", "service": "s", "maxAttempts": 1, "timeoutMs": 60000}},
		"services": []any{map[string]any{"name": "s"}},
		"tenants":  []any{map[string]any{"name": "acme", "apiKeys": []string{"k"}}},
	})
	return v
}

// answerTime is long beside a busy machine's delays: a trial compares versions by it.
const answerTime = 100 * time.Millisecond

// endpoint starts an endpoint of a version.
func (v *versioned) endpoint(id, version string) {
	n := platform.Names()
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-time.After(answerTime)
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

// stream opens a stream of a session and returns the version that serves it.
func (v *versioned) stream(vm *vm, path, session string) (version string, body io.ReadCloser) {
	n := platform.Names()
	req, err := http.NewRequestWithContext(v.t.Context(), http.MethodPost, "http://"+vm.front+path, strings.NewReader("x"))
	require.NoError(v.t, err)
	req.Host = "h"
	req.Header.Set(n.RequestID, fmt.Sprint("r", v.asked.Add(1)))
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

// serves is the version that serves a session's next request.
func (v *versioned) serves(vm *vm, session string) string {
	version, body := v.stream(vm, "/a/short", session)
	body.Close()
	return version
}

// Guards against a session that changes its version from VM to VM, or when a VM that keeps it stops.
func TestSessionKeepsItsVersionOverVMs(t *testing.T) {
	v := newVersioned(t)
	v.endpoint("e1", "v1")
	more := []string{"bounds.sessionS=1", "bounds.exposureShare=0.4"}
	a, b, c := start(t, v.address, "vm-a", more...), start(t, v.address, "vm-b", more...), start(t, v.address, "vm-c", more...)
	vms := []*vm{a, b, c}
	for _, m := range vms {
		m.awaitReady(true)
		require.Eventually(t, func() bool { return len(m.addresses()) == len(vms) }, 20*time.Second, 10*time.Millisecond)
	}
	next := 0
	trying := func() string {
		for {
			next++
			if id := fmt.Sprint("session", next); trial.HashSession("s", id).Tries(trial.SessionShare(0.4)) {
				return id
			}
		}
	}
	early := trying()
	version, held := v.stream(a, "/a/held", early)
	defer held.Close()
	require.Equal(t, "v1", version)

	v.Put("rollouts", "s", map[string]any{"service": "s", "target": "v2", "durationS": 600})
	v.endpoint("e2", "v2")
	for _, m := range vms {
		require.Eventually(t, func() bool { return v.serves(m, trying()) == "v2" }, 30*time.Second, 20*time.Millisecond)
	}
	late := trying()
	version, held2 := v.stream(b, "/a/held", late)
	defer held2.Close()
	require.Equal(t, "v2", version)
	both := func(vms ...*vm) {
		for _, m := range vms {
			require.Equal(t, "v1", v.serves(m, early))
			require.Equal(t, "v2", v.serves(m, late))
		}
	}
	both(a, b, c)
	require.NoError(t, c.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-c.done)
	c.done <- nil
	both(a, b)
	close(v.release)
}
