package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/platform"
	"goldcrestfork/platform/platformtest"
)

const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5.0
)

// allowedInWindow is the most requests that an endpoint may get in limitWindow from VMs that know
// its limit, in requests a second.
func allowedInWindow(limit float64) int {
	return int(limitFactor*limit*limitWindow.Seconds() + limitSlack)
}

// limitedEndpoint answers at once and states a request limit. It records when each request arrived.
type limitedEndpoint struct {
	limit    float64 // 0 for none
	mu       sync.Mutex
	arrivals map[string]time.Time // by request
}

func (e *limitedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := platform.Names()
	id := r.Header.Get(n.RequestID)
	e.mu.Lock()
	e.arrivals[id] = time.Now()
	e.mu.Unlock()
	if e.limit > 0 {
		w.Header().Set(n.RateLimit, strconv.FormatFloat(e.limit, 'f', -1, 64))
	}
	w.Header().Set(n.RequestID, id)
	w.Header().Set(n.Signature, "sig")
	_, _ = io.WriteString(w, "whole")
}

// arrivedAt returns when a request arrived; ok is false if it didn't.
func (e *limitedEndpoint) arrivedAt(id string) (at time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok = e.arrivals[id]
	return at, ok
}

// startLimited starts VMs with one endpoint for each of the given limits.
func startLimited(t *testing.T, vms int, limits ...float64) ([]*vm, []*limitedEndpoint) {
	store, address := platformtest.New(t)
	store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "r", "host": "h", "pathPrefix": "/a/", "kind": "non_idempotent", "service": "s", "maxAttempts": 1, "timeoutMs": 60000}},
		"services": []any{map[string]any{"name": "s"}},
		"tenants":  []any{map[string]any{"name": "acme", "apiKeys": []string{"k"}}},
	})
	var endpoints []*limitedEndpoint
	for i, limit := range limits {
		e := &limitedEndpoint{limit: limit, arrivals: make(map[string]time.Time)}
		s := httptest.NewServer(e)
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		store.Put("servers", fmt.Sprint("e", i), map[string]any{
			"service": "s", "address": s.Listener.Addr().String(), "zone": "a", "version": "v1", "slots": 8, "state": "ready",
		})
		endpoints = append(endpoints, e)
	}
	return startVMs(t, address, vms), endpoints
}

// startVMs starts VMs that name each other to callers.
func startVMs(t *testing.T, store string, n int) (started []*vm) {
	for i := range n {
		started = append(started, startVM(t, store, fmt.Sprint("vm", i)))
	}
	for _, v := range started {
		v.awaitReady(true)
		require.Eventually(t, func() bool { return len(v.addresses()) == n }, 20*time.Second, 10*time.Millisecond)
	}
	return started
}

// Guards against VMs that exceed an endpoint's stated request limit together.
func TestStatedLimitHoldsOverAllVMs(t *testing.T) {
	const limit = 0.01
	vms, endpoints := startLimited(t, 8, limit, 0)
	told := make(map[*vm]bool)
	var arrivals []time.Time
	for i := range 12 * len(vms) {
		v, id := vms[i%len(vms)], fmt.Sprint("r", i)
		status, _, err := sendRequest(t.Context(), v.front, id)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, "the other endpoint serves")
		if at, ok := endpoints[0].arrivedAt(id); ok {
			if told[v] {
				arrivals = append(arrivals, at)
			}
			told[v] = true
		}
	}
	for i, from := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		require.LessOrEqual(t, n, allowedInWindow(limit), "requests in 4 s from VMs that knew the limit")
	}
}
