package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/platform"
	"goldcrestfork/platform/platformtest"
)

// admissionFleet is VMs before endpoints with little room, and accounts that send to them.
type admissionFleet struct {
	vms    []*vm
	alive  []*vm
	mu     sync.Mutex     // guards alive and counts
	counts map[string]int // by account and status
	next   atomic.Int64
}

// startAdmissionFleet starts VMs that manage the load of a service with endpoints as in the soak. Each
// of the accounts has its name as key.
func startAdmissionFleet(t *testing.T, vms, endpoints int, accounts ...string) *admissionFleet {
	store, address := platformtest.New(t)
	var tenants []any
	for _, a := range accounts {
		tenants = append(tenants, map[string]any{"name": a, "apiKeys": []string{a}})
	}
	store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "r", "host": "h", "pathPrefix": "/a/", "kind": "idempotent", "service": "s", "maxAttempts": 3, "timeoutMs": 5000}},
		"services": []any{map[string]any{"name": "s"}}, "tenants": tenants,
	})
	l := newLoadRecord(2) // no fourth figure
	for i := range endpoints {
		name := fmt.Sprint("e", i)
		e := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			n := platform.Names()
			rw.Header().Set(n.RequestID, r.Header.Get(n.RequestID))
			held, err := l.endpoints[name].enter(r)
			if err == nil {
				err = l.endpoints[name].run(r.Context(), held, soakHold)
			}
			l.stateLoad(rw, name, nil)
			if errors.Is(err, errEndpointFull) {
				rw.Header().Set(n.NotRun, "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			rw.Header().Set(n.Signature, "sig")
			_, _ = io.WriteString(rw, "whole")
		}))
		t.Cleanup(func() { e.CloseClientConnections(); e.Close() })
		store.Put("servers", name, map[string]any{
			"service": "s", "address": e.Listener.Addr().String(), "zone": "a", "version": "v1", "slots": soakSlots, "state": "ready",
		})
	}
	f := &admissionFleet{counts: make(map[string]int)}
	for i := range vms {
		f.vms = append(f.vms, startVM(t, address, fmt.Sprint("vm", i), "contracts=pressure"))
	}
	f.alive = append(f.alive, f.vms...)
	for _, v := range f.vms {
		v.awaitReady(true)
		require.Eventually(t, func() bool { return len(v.addresses()) == vms }, 20*time.Second, 10*time.Millisecond)
	}
	return f
}

// send sends requests of an account, each after a pause, until ctx ends. A request whose VM was killed
// meanwhile doesn't count.
func (f *admissionFleet) send(ctx context.Context, account string, pause time.Duration) {
	n := platform.Names()
	for ctx.Err() == nil {
		id := f.next.Add(1)
		f.mu.Lock()
		v := f.alive[int(id)%len(f.alive)]
		f.mu.Unlock()
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+v.front+"/a/b", nil)
		if err != nil {
			return
		}
		req.Host = "h"
		for name, value := range map[string]string{n.RequestID: fmt.Sprint("r", id), n.Key: account, n.Deadline: "3000"} {
			req.Header.Set(name, value)
		}
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err == nil {
			body, _ := io.ReadAll(resp.Body) // a refusal that is cut off counts by its status
			resp.Body.Close()
			f.mu.Lock()
			f.counts[account+" all"]++
			refused := readRefusal(body)
			f.counts[strings.TrimSpace(fmt.Sprint(account, " ", resp.StatusCode, " ", refused.Code))]++
			if strings.Contains(refused.Detail, "of the account's requests") {
				f.counts[account+" share"]++
			}
			f.mu.Unlock()
		}
		time.Sleep(pause)
	}
}

func (f *admissionFleet) count(what string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[what]
}

// Guards against a fleet that lets one account's flood take the room of the others once the VM that keeps the sums of demand has ended.
func TestQuietAccountsAreServedWhenTheKeeperIsKilled(t *testing.T) {
	const awaited = 120
	quiet := []string{"q0", "q1", "q2"}
	f := startAdmissionFleet(t, 4, 3, append([]string{"loud"}, quiet...)...)
	ctx, cancel := context.WithCancel(t.Context())
	var senders sync.WaitGroup
	defer senders.Wait()
	defer cancel()
	for _, a := range quiet {
		senders.Go(func() { f.send(ctx, a, 50*time.Millisecond) })
	}
	for range 12 {
		senders.Go(func() { f.send(ctx, "loud", 20*time.Millisecond) })
	}
	await := func(what string, n int) {
		require.Eventually(t, func() bool { return f.count(what) >= n }, 60*time.Second, 10*time.Millisecond, "%s", what)
	}
	await("loud share", 100)

	var names []string
	for i := range f.vms {
		names = append(names, fmt.Sprint("vm", i))
	}
	keeper := slices.Index(names, rendezvous.Best("load", names))
	f.mu.Lock()
	f.alive = slices.Delete(slices.Clone(f.vms), keeper, keeper+1)
	clear(f.counts)
	f.mu.Unlock()
	require.NoError(t, f.vms[keeper].cmd.Process.Kill())
	for _, a := range quiet {
		await(a+" all", awaited)
	}
	await("loud share", 100)
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("after %s was killed: %v", names[keeper], f.counts)
	for _, a := range quiet {
		require.GreaterOrEqual(t, float64(f.counts[a+" 200"]), 0.95*float64(f.counts[a+" all"]), "%s is served", a)
	}
}
