package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"goldcrestfork/platform"
	"goldcrestfork/platform/platformtest"
	"goldcrestfork/router/refusal"
)

const (
	crashingBody = "crashes engines" // begins the bodies that do
	crashingPart = "bad"             // the id of a prompt part that does
	// runUntilCrash is the time from the start of a run to the end of its endpoint, and
	// restartTime that until the endpoint is back under another id.
	runUntilCrash = 80 * time.Millisecond
	restartTime   = time.Second
	// soundAnswer is the length of an answer to a prompt with parts.
	soundAnswer = 200 * time.Millisecond
)

// crashPool is endpoints that end when they run a body with crashingBody or a prompt with
// crashingPart, and start again.
type crashPool struct {
	t     *testing.T
	store *platformtest.Store

	mu         sync.Mutex
	crashAfter time.Duration          // from the start of a run to the end of its endpoint
	arrivals   map[string][]time.Time // of crashing requests, by body or part
	crashes    map[string][]time.Time // of endpoints, by body or part
	closed     bool
	servers    map[string]*http.Server // by id
}

// newCrashPool starts endpoints, and a store that lists them and has one route to them.
func newCrashPool(t *testing.T, endpoints int) (p *crashPool, storeAddress string) {
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
	p = &crashPool{t: t, store: store, crashAfter: runUntilCrash, arrivals: make(map[string][]time.Time), crashes: make(map[string][]time.Time), servers: make(map[string]*http.Server)}
	t.Cleanup(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closed = true
		for _, s := range p.servers {
			s.Close()
		}
	})
	for i := range endpoints {
		p.start(fmt.Sprint("e", i), fmt.Sprintf("127.0.0.1:%d", freePort(t)), 0)
	}
	return p, address
}

// check asserts how many requests with a body or part arrived later than the given time after it had
// crashed a number of endpoints.
func (p *crashPool) check(cause string, after int, later time.Duration, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	crashes, n := p.crashes[cause], 0
	for _, at := range p.arrivals[cause] {
		if len(crashes) >= after && at.Sub(crashes[after-1]) > later {
			n++
		}
	}
	p.t.Logf("%s: %d arrivals, %d of them late, %d endpoints crashed", cause, len(p.arrivals[cause]), n, len(crashes))
	assert.LessOrEqual(p.t, n, most, cause)
}

// start starts an endpoint's life at an address.
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
	end := func(cause string) {
		_ = s.Close() // closes the listener and all connections
		p.store.Remove("servers", id)
		p.mu.Lock()
		p.crashes[cause] = append(p.crashes[cause], time.Now())
		p.mu.Unlock()
		time.AfterFunc(restartTime, func() { p.start(name, l.Addr().String(), life+1) })
	}
	crash := func(cause string) {
		p.mu.Lock()
		after := p.crashAfter
		p.mu.Unlock()
		once.Do(func() { time.AfterFunc(after, func() { end(cause) }) })
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
func (p *crashPool) serve(w http.ResponseWriter, r *http.Request, crash func(cause string)) {
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
	cause := ""
	switch {
	case strings.HasPrefix(string(body), crashingBody):
		cause = string(body)
	case strings.Contains(r.Header.Get(n.PromptParts), crashingPart+":"):
		cause = crashingPart
	}
	if cause != "" {
		p.mu.Lock()
		p.arrivals[cause] = append(p.arrivals[cause], time.Now())
		p.mu.Unlock()
		crash(cause)
	}
	rc := http.NewResponseController(w)
	for i := range 2 {
		fmt.Fprintf(w, "id: %d\ndata: e\n\n", i+1)
		_ = rc.Flush()
		if cause != "" {
			streamUntilCrash(w, r)
			return
		}
		if r.Header.Get(n.PromptParts) != "" && i == 0 {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(soundAnswer):
			}
		}
	}
}

// streamUntilCrash sends events, none of which completes the answer, until the connection ends.
func streamUntilCrash(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	for i := range 100 {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(soundAnswer):
		}
		fmt.Fprintf(w, "id: %d\ndata: e\n\n", 100+i)
		_ = rc.Flush()
	}
}

// sendStream sends a stream request and returns whether its answer was complete, and whether it
// was refused since it crashes endpoints. The parts of its prompt may be empty.
func sendStream(ctx context.Context, front, id, body, parts string) (complete, quarantined bool) {
	n := platform.Names()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/a/b", strings.NewReader(body))
	if err != nil {
		return false, false
	}
	req.Host = "h"
	for name, value := range map[string]string{n.RequestID: id, n.Key: "k", n.Deadline: "10000", n.Model: "*"} {
		req.Header.Set(name, value)
	}
	if parts != "" {
		req.Header.Set(n.PromptParts, parts)
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
	p, address := newCrashPool(t, endpoints)
	started := startVMs(t, address, vms)
	var callers sync.WaitGroup
	for c := range contents {
		body := fmt.Sprint(crashingBody, c)
		callers.Go(func() {
			refused := 0 // in a row
			for i := 0; refused < 2*vms && i < 100; i++ {
				complete, quarantined := sendStream(t.Context(), started[i%vms].front, fmt.Sprintf("c%d-%d", c, i), body, "")
				assert.False(t, complete)
				if refused++; !quarantined {
					refused = 0
				}
				assert.Eventually(t, func() bool {
					served, _ := sendStream(t.Context(), started[(i+1)%vms].front, fmt.Sprintf("h%d-%d-%d", c, i, time.Now().UnixNano()), fmt.Sprintf("harmless %d-%d", c, i), "")
					return served
				}, 20*time.Second, 10*time.Millisecond, "harmless requests are served")
			}
			assert.Equal(t, 2*vms, refused, "all VMs refuse it")
		})
	}
	callers.Wait()
	for c := range contents {
		p.check(fmt.Sprint(crashingBody, c), 3, contact, maxLater)
	}
}

// partCallers are VMs before endpoints, with a sound request that each of twelve callers repeats.
type partCallers struct {
	*crashPool
	vms   []*vm
	parts string // of the prompts of bad requests
}

// sound sends a sound request until one is served.
func (p *partCallers) sound(i int) {
	assert.Eventually(p.t, func() bool {
		id := fmt.Sprintf("sound-%d-%d", i, time.Now().UnixNano())
		complete, _ := sendStream(p.t.Context(), p.vms[i%len(p.vms)].front, id, "sound "+id, "shared:100,own-"+id+":10")
		return complete
	}, 20*time.Second, 10*time.Millisecond, "sound requests are served")
}

// refuse sends bad requests until all VMs refuse them, with sound ones beside.
func (p *partCallers) refuse(name string) {
	for i := range 2 * len(p.vms) {
		p.sound(i)
	}
	var callers sync.WaitGroup
	defer callers.Wait()
	ctx, cancel := context.WithCancel(p.t.Context())
	defer cancel()
	for c := range 12 {
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%s-%d-%d", name, c, i)
				_, _ = sendStream(ctx, p.vms[c%len(p.vms)].front, id, "sound "+id, fmt.Sprintf("shared:100,second%d:50,own-%s:10", c%6, id))
			}
		})
	}
	refused := 0 // in a row
	for i := 0; refused < 2*len(p.vms) && i < 40; i++ {
		id := fmt.Sprint("bad-", name, i)
		complete, quarantined := sendStream(p.t.Context(), p.vms[i%len(p.vms)].front, id, "body "+id, fmt.Sprintf(p.parts, id))
		assert.False(p.t, complete)
		if refused++; !quarantined {
			refused = 0
		}
		p.sound(i + 1)
	}
	assert.Equal(p.t, 2*len(p.vms), refused, "all VMs refuse requests with the part")
}

// Guards against processes that keep sending endpoints requests with one part that crashes each of them, since no two requests are alike.
func TestRequestsWithCrashingPartAreRefusedByAllVMs(t *testing.T) {
	for _, parts := range []string{"shared:100,bad:50,own-%s:10", "bad:100,shared:50,own-%s:10"} {
		t.Run(parts, func(t *testing.T) {
			const vms, endpoints, contact, maxLater = 3, 9, 3 * time.Second, 3
			pool, address := newCrashPool(t, endpoints)
			p := &partCallers{crashPool: pool, vms: startVMs(t, address, vms), parts: parts}
			p.refuse("first")
			p.check(crashingPart, 5, contact, maxLater)
			_, quarantined := sendStream(t.Context(), p.vms[0].front, "shared", "sound", "shared:100,own:10")
			assert.False(t, quarantined, "a sound request with the other part is refused")
		})
	}
}

// keepsVerdict reports whether the store has a decision against a part.
func (p *partCallers) keepsVerdict() bool {
	for i := range p.vms {
		o, _ := p.store.Get("goldcrest-crashes", fmt.Sprint("vm", i))
		var spec struct {
			Report []byte `json:"report"`
		}
		var report struct {
			PartVerdicts map[string][]any `cbor:"4,keyasint"`
		}
		if json.Unmarshal(o.Spec, &spec) == nil && cbor.Unmarshal(spec.Report, &report) == nil && len(report.PartVerdicts["s"]) > 0 {
			return true
		}
	}
	return false
}

// Guards against processes that let a part crash endpoints anew once all of them have ended.
func TestCrashingPartIsKnownAfterAllProcessesEnd(t *testing.T) {
	const vms, endpoints, mostArrivals = 3, 9, 3
	pool, address := newCrashPool(t, endpoints)
	p := &partCallers{crashPool: pool, vms: startVMs(t, address, vms), parts: "shared:100,bad:50,own-%s:10"}
	p.refuse("first")
	require.Eventually(t, p.keepsVerdict, 20*time.Second, 10*time.Millisecond, "the store keeps the decision")
	for _, v := range p.vms {
		require.NoError(t, v.cmd.Process.Kill())
	}
	for _, v := range p.vms {
		<-v.done
		v.startProcess()
	}
	for _, v := range p.vms {
		v.awaitReady(true)
	}
	p.mu.Lock()
	before := len(p.arrivals[crashingPart])
	p.mu.Unlock()
	p.refuse("second")
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.LessOrEqual(t, len(p.arrivals[crashingPart])-before, mostArrivals, "arrivals after all VMs had ended")
}
