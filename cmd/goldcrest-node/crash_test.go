package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"goldcrestfork/platform"
	"goldcrestfork/platform/platformtest"
	"goldcrestfork/router/refusal"
)

const (
	crashingBody = "crashes engines" // begins the bodies that do
	// runUntilCrash is the time from the start of a run to the end of its endpoint, and
	// restartTime that until the endpoint is back under another id.
	runUntilCrash = 80 * time.Millisecond
	restartTime   = time.Second
)

// crashPool is endpoints that end when they run a body with crashingBody, and start again.
type crashPool struct {
	t     *testing.T
	store *platformtest.Store

	mu       sync.Mutex
	arrivals map[string][]time.Time // of crashing requests, by body
	crashes  map[string][]time.Time // of endpoints, by body
	closed   bool
	servers  map[string]*http.Server // by id
}

// start starts an endpoint's life at an address, or at any free one.
func (p *crashPool) start(name, address string, life int) {
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		p.t.Errorf("endpoint %s can't start again: %v", name, err)
		return
	}
	id := fmt.Sprint(name, "-", life)
	s := &http.Server{}
	var once sync.Once
	end := func(body string) {
		_ = s.Close() // closes the listener and all connections
		p.store.Remove("servers", id)
		p.mu.Lock()
		p.crashes[body] = append(p.crashes[body], time.Now())
		p.mu.Unlock()
		time.AfterFunc(restartTime, func() { p.start(name, l.Addr().String(), life+1) })
	}
	crash := func(body string) {
		once.Do(func() { time.AfterFunc(runUntilCrash, func() { end(body) }) })
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, crash) })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		l.Close()
		return
	}
	p.servers[id] = s
	go func() { _ = s.Serve(l) }()
	p.store.Put("servers", id, map[string]any{
		"service": "s", "address": l.Addr().String(), "zone": "a", "version": "v1", "slots": 8, "state": "ready", "born": time.Now().UnixMilli(),
	})
}

// serve streams two events. The smallest model is unsure, so that its answer is dropped.
func (p *crashPool) serve(w http.ResponseWriter, r *http.Request, crash func(body string)) {
	n := platform.Names()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(n.RequestID, r.Header.Get(n.RequestID))
	w.Header().Set(n.Signature, "sig")
	if r.Header.Get(n.Model) == "small" {
		w.Header().Set(n.Confidence, "5")
	}
	crashes := strings.HasPrefix(string(body), crashingBody)
	if crashes {
		p.mu.Lock()
		p.arrivals[string(body)] = append(p.arrivals[string(body)], time.Now())
		p.mu.Unlock()
		crash(string(body))
	}
	rc := http.NewResponseController(w)
	for i := range 2 {
		fmt.Fprintf(w, "id: %d\ndata: e\n\n", i+1)
		_ = rc.Flush()
		if crashes {
			<-r.Context().Done()
			return
		}
	}
}

// sendStream sends a stream request and returns whether its answer was complete, and whether it
// was refused since it crashes endpoints.
func sendStream(ctx context.Context, front, id, body string) (complete, quarantined bool) {
	n := platform.Names()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/a/b", strings.NewReader(body))
	if err != nil {
		return false, false
	}
	req.Host = "h"
	for name, value := range map[string]string{n.RequestID: id, n.Key: "k", n.Deadline: "10000", n.Model: "*"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false, false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return err == nil && strings.Contains(string(b), "id: 2"), strings.Contains(string(b), string(refusal.Quarantined))
}

// Guards against processes that keep sending requests to endpoints after each has crashed three, while several do so and first answers are dropped.
func TestCrashingRequestsAreRefusedByAllVMs(t *testing.T) {
	const vms, endpoints, contents, contact, maxLater = 3, 9, 3, 3 * time.Second, 3
	store, address := platformtest.New(t)
	store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r", "host": "h", "pathPrefix": "/a/", "kind": "streaming", "resumeStreams": true, "service": "s", "maxAttempts": 3,
			"timeoutMs": 10000, "targetLatencyMs": 5000, "sizes": []string{"small", "middle", "large"},
		}},
		"services": []any{map[string]any{"name": "s"}},
		"tenants":  []any{map[string]any{"name": "acme", "apiKeys": []string{"k"}}},
	})
	p := &crashPool{t: t, store: store, arrivals: make(map[string][]time.Time), crashes: make(map[string][]time.Time), servers: make(map[string]*http.Server)}
	t.Cleanup(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closed = true
		for _, s := range p.servers {
			s.Close()
		}
	})
	for i := range endpoints {
		p.start(fmt.Sprint("e", i), "127.0.0.1:0", 0)
	}
	started := startVMs(t, address, vms)
	var callers sync.WaitGroup
	for c := range contents {
		body := fmt.Sprint(crashingBody, c)
		callers.Go(func() {
			refused := 0 // in a row
			for i := 0; refused < 2*vms && i < 100; i++ {
				complete, quarantined := sendStream(t.Context(), started[i%vms].front, fmt.Sprintf("c%d-%d", c, i), body)
				assert.False(t, complete)
				if refused++; !quarantined {
					refused = 0
				}
				assert.Eventually(t, func() bool {
					served, _ := sendStream(t.Context(), started[(i+1)%vms].front, fmt.Sprintf("h%d-%d-%d", c, i, time.Now().UnixNano()), fmt.Sprintf("harmless %d-%d", c, i))
					return served
				}, 20*time.Second, 10*time.Millisecond, "harmless requests are served")
			}
			assert.Equal(t, 2*vms, refused, "all VMs refuse it")
		})
	}
	callers.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for body, crashes := range p.crashes {
		later := 0
		for _, at := range p.arrivals[body] {
			if len(crashes) >= 3 && at.Sub(crashes[2]) > contact {
				later++
			}
		}
		t.Logf("%s: %d arrivals, %d endpoints crashed", body, len(p.arrivals[body]), len(crashes))
		assert.LessOrEqual(t, later, maxLater, body)
	}
}
