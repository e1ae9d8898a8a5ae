package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/platform"
	"goldcrestfork/platform/platformtest"
)

// repeatBound bounds the arrivals beyond the first of each request.
type repeatBound struct {
	ratio, slack float64
	window       time.Duration
}

func (b repeatBound) settings() []string {
	return []string{
		fmt.Sprint("bounds.retryBudgetRatio=", b.ratio), fmt.Sprint("bounds.budgetSlack=", b.slack),
		fmt.Sprint("bounds.budgetWindowS=", b.window.Seconds()),
	}
}

// repeatRecord records the requests of callers and what reaches endpoints.
type repeatRecord struct {
	bound repeatBound

	mu      sync.Mutex
	sent    []time.Time // by callers, whether they reached a VM or not
	repeats []time.Time // arrivals beyond the first of a request
	arrived map[string]bool
}

func newRepeatRecord(b repeatBound) *repeatRecord {
	return &repeatRecord{bound: b, arrived: make(map[string]bool)}
}

func (r *repeatRecord) send() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, time.Now())
}

func (r *repeatRecord) arrive(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.arrived[id] {
		r.repeats = append(r.repeats, time.Now())
	}
	r.arrived[id] = true
}

func (r *repeatRecord) sentSoFar() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sent)
}

// worst returns the window with the most arrivals beyond the first above what the bound allows, as
// that number, and its start. Requests count in the window, the one before it or the one half a
// window before it, whichever has most.
func (r *repeatRecord) worst() (excess float64, start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	within := func(at []time.Time, from time.Time) (n int) {
		for _, x := range at {
			if !x.Before(from) && x.Before(from.Add(r.bound.window)) {
				n++
			}
		}
		return n
	}
	for i, from := range r.repeats {
		requests := 0
		for _, earlier := range []time.Duration{0, r.bound.window / 2, r.bound.window} {
			requests = max(requests, within(r.sent, from.Add(-earlier)))
		}
		if e := float64(within(r.repeats, from)) - r.bound.ratio*float64(requests) - r.bound.slack; i == 0 || e > excess {
			excess, start = e, from
		}
	}
	return excess, start
}

// failingPool is endpoints that fail all requests while failing is set.
type failingPool struct {
	*repeatRecord
	failing atomic.Bool
}

// newFailingPool starts endpoints, and a store that lists them and has one route to them.
func newFailingPool(t *testing.T, endpoints int, bound repeatBound) (p *failingPool, storeAddress string) {
	store, address := platformtest.New(t)
	store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "r", "host": "h", "pathPrefix": "/a/", "kind": "idempotent", "service": "s", "maxAttempts": 3, "timeoutMs": 5000}},
		"services": []any{map[string]any{"name": "s"}},
		"tenants":  []any{map[string]any{"name": "acme", "apiKeys": []string{"k"}}},
	})
	p = &failingPool{repeatRecord: newRepeatRecord(bound)}
	for i := range endpoints {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		s := &http.Server{Handler: p}
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { s.Close() })
		store.Put("servers", fmt.Sprint("e", i), map[string]any{
			"service": "s", "address": l.Addr().String(), "zone": "a", "version": "v1", "slots": 64, "state": "ready", "born": time.Now().UnixMilli(),
		})
	}
	return p, address
}

func (p *failingPool) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := platform.Names()
	id := r.Header.Get(n.RequestID)
	p.arrive(id)
	w.Header().Set(n.RequestID, id)
	w.Header().Set(n.Signature, "sig")
	if p.failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// call sends a request to a VM and counts it, whether the VM is there or not.
func (p *failingPool) call(ctx context.Context, v *vm, id string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.front+"/a/b", nil)
	if err != nil {
		return
	}
	req.Host = "h"
	n := platform.Names()
	for name, value := range map[string]string{n.RequestID: id, n.Key: "k", n.Deadline: "5000"} {
		req.Header.Set(name, value)
	}
	p.send()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// load sends requests to all VMs in turn, each after a pause, until ctx ends.
func (p *failingPool) load(ctx context.Context, vms []*vm, pause time.Duration) {
	tick := time.NewTicker(pause)
	defer tick.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			calls.Go(func() { p.call(ctx, vms[i%len(vms)], fmt.Sprint("r", i)) })
		}
	}
}

// awaitSent waits until callers have sent so many requests more.
func (p *failingPool) awaitSent(t *testing.T, more int) {
	t.Helper()
	target := p.sentSoFar() + more
	require.Eventually(t, func() bool { return p.sentSoFar() >= target }, 60*time.Second, time.Millisecond)
}

// Guards against VMs that, once restarted, repeat requests as if none had been repeated before.
func TestRepeatsStayWithinBoundWhenAllVMsRestart(t *testing.T) {
	p, address := newFailingPool(t, 4, repeatBound{ratio: 0.9, slack: 10, window: 2 * time.Second})
	var vms []*vm
	for i := range 3 {
		vms = append(vms, startVM(t, address, fmt.Sprint("v", i), p.bound.settings()...))
	}
	for _, v := range vms {
		v.awaitReady(true)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var loaded sync.WaitGroup
	defer loaded.Wait()
	loaded.Go(func() { p.load(ctx, vms, 6*time.Millisecond) })
	p.awaitSent(t, 500)
	p.failing.Store(true)
	p.awaitSent(t, 150)
	for _, v := range vms {
		require.NoError(t, v.cmd.Process.Kill())
	}
	for _, v := range vms {
		<-v.done
		v.startProcess()
	}
	p.awaitSent(t, 500)
	cancel()
	loaded.Wait()
	excess, start := p.worst()
	p.mu.Lock() // an attempt that was under way may still arrive
	defer p.mu.Unlock()
	t.Logf("%d requests, %d arrivals beyond the first; %.0f above the bound from %s on", len(p.sent), len(p.repeats), excess, start.Sub(p.sent[0]))
	require.LessOrEqual(t, excess, 0.0)
}
