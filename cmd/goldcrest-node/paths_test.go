package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"goldcrestfork/platform"
	"goldcrestfork/platform/platformtest"
)

// network lets a test cut single VMs off from all endpoints. Processes on one machine share an
// address, so that a connection's VM is known from the process that has the other end.
type network struct {
	mu    sync.Mutex
	vms   []*vm
	cut   map[*vm]bool
	conns map[net.Conn]*vm
	// missed counts connections whose VM wasn't found at the first look, unknown those for which it
	// wasn't found at all.
	missed, unknown int
}

func newNetwork() *network {
	return &network{cut: make(map[*vm]bool), conns: make(map[net.Conn]*vm)}
}

func (n *network) setVMs(vms []*vm) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms = slices.Clone(vms)
}

// cutOff resets the new connections of VMs and, with old, also those that are open.
func (n *network) cutOff(old bool, vms ...*vm) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range vms {
		n.cut[v] = true
	}
	for c, v := range n.conns {
		if old && n.cut[v] {
			reset(c)
		}
	}
}

// heal gives VMs their paths back.
func (n *network) heal(vms ...*vm) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range vms {
		delete(n.cut, v)
	}
}

// allCut reports whether no VM has its paths. A connection need not be looked up then, which takes so long on a busy
// machine that a VM's probe sees an open connection.
func (n *network) allCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.vms) > 0 && len(n.cut) == len(n.vms)
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// connState forgets connections that are closed, for an http.Server.
func (n *network) connState(c net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns, c)
	}
}

// vmOf returns the index of the VM that has the other end of a connection, -1 if it is unknown.
func (n *network) vmOf(c net.Conn) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Index(n.vms, n.conns[c])
}

func (n *network) count(what *int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*what++
}

// maxLooks bounds the searches for a connection's VM. The list of a process's files changes while it is read, so that
// one may be missed.
const maxLooks = 3

// pathListener is an endpoint's listener behind a network.
type pathListener struct {
	net.Listener
	n *network
}

// Accept returns the next connection of a VM that has its paths. A connection whose VM isn't found is
// reset, since its requests would count for another VM.
func (l *pathListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.n.allCut() {
			reset(c)
			continue
		}
		v := l.n.lookUp(c)
		for look := 1; v == nil && look < maxLooks; look++ {
			v = l.n.lookUp(c)
			l.n.count(&l.n.missed)
		}
		if v == nil {
			l.n.count(&l.n.unknown)
		}
		l.n.mu.Lock()
		cut := v == nil || l.n.cut[v]
		if cut {
			reset(c)
		} else {
			l.n.conns[c] = v
		}
		l.n.mu.Unlock()
		if !cut {
			return c, nil
		}
	}
}

// lookUp returns the VM that has the other end of a new connection, nil if none has.
func (n *network) lookUp(c net.Conn) *vm {
	n.mu.Lock()
	vms := n.vms
	n.mu.Unlock()
	return ownerOf(c, vms)
}

// pathFleet is a fleet of VMs, single ones of which a network can cut off from the endpoints.
type pathFleet struct {
	t       *testing.T
	network *network
	vms     []*vm
	mu      sync.Mutex
	runs    map[string]int // by request
}

// startPathFleet starts VMs and endpoints of one service.
func startPathFleet(t *testing.T, vms, endpoints int) *pathFleet {
	store, address := platformtest.New(t)
	route := func(kind string) map[string]any {
		return map[string]any{
			"name": kind, "host": "h", "pathPrefix": "/" + kind + "/", "kind": kind, "service": "s", "maxAttempts": 3, "timeoutMs": 20000, "resumeStreams": true,
		}
	}
	store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{route("non_idempotent"), route("idempotent"), route("streaming")},
		"services": []any{map[string]any{"name": "s"}},
		"tenants":  []any{map[string]any{"name": "acme", "apiKeys": []string{"k"}}},
	})
	f := &pathFleet{t: t, network: newNetwork(), runs: make(map[string]int)}
	for i := range endpoints {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		s := &http.Server{Handler: f, ConnState: f.network.connState}
		go func() { _ = s.Serve(&pathListener{l, f.network}) }()
		t.Cleanup(func() { s.Close() })
		store.Put("servers", fmt.Sprint("e", i), map[string]any{
			"service": "s", "address": l.Addr().String(), "zone": "a", "version": "v1", "slots": 64, "state": "ready",
		})
	}
	f.vms = startVMs(t, address, vms)
	f.network.setVMs(f.vms)
	t.Cleanup(f.logFailure)
	return f
}

// logFailure logs, if the test has failed, what the VMs found of their paths, and the connections whose VM
// wasn't found.
func (f *pathFleet) logFailure() {
	if !f.t.Failed() {
		return
	}
	f.network.mu.Lock()
	f.t.Logf("connections: %d looked for again, %d of no known VM", f.network.missed, f.network.unknown)
	f.network.mu.Unlock()
	for _, v := range f.vms {
		v.mu.Lock()
		for _, l := range v.lines {
			if strings.Contains(l, "paths to endpoints") {
				f.t.Log(l)
			}
		}
		v.mu.Unlock()
	}
}

// ServeHTTP is an endpoint.
func (f *pathFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := platform.Names()
	id := r.Header.Get(n.RequestID)
	f.mu.Lock()
	f.runs[id]++
	f.mu.Unlock()
	w.Header().Set(n.RequestID, id)
	w.Header().Set(n.Signature, "sig")
	assert.Equal(f.t, "acme", r.Header.Get(n.Account))
	assert.Empty(f.t, r.Header.Get(n.Key))
	if strings.HasPrefix(r.URL.Path, "/streaming/") {
		_, _ = io.WriteString(w, "id: 1\ndata: whole\n\n")
		return
	}
	_, _ = io.WriteString(w, "whole")
}

// kindsOfRequests are the kinds of the routes, in the order in which callers use them.
var kindsOfRequests = []string{"non_idempotent", "idempotent", "streaming"}

// try sends one request. It reports whether the caller got the whole answer.
func (f *pathFleet) try(v *vm, id, kind string) bool {
	n := platform.Names()
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.front+"/"+kind+"/b", strings.NewReader("x"))
	assert.NoError(f.t, err)
	req.Host = "h"
	req.Header.Set(n.RequestID, id)
	req.Header.Set(n.Key, "k")
	req.Header.Set(n.Deadline, "5000")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch resp.StatusCode {
	case http.StatusOK:
		whole := err == nil && strings.Contains(string(body), "whole")
		assert.True(f.t, whole || err != nil, "an answer that is not whole looks complete")
		return whole
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		assert.Zero(f.t, f.runs[id], "request %s was refused as not run", id)
	}
	return false
}

// served sends requests of all kinds, one after the other, and returns how many were served.
func (f *pathFleet) served(v *vm, name string, requests int) (served int) {
	for i := range requests {
		if f.try(v, fmt.Sprint(name, "-", v.front, "-", i), kindsOfRequests[i%len(kindsOfRequests)]) {
			served++
		}
	}
	return served
}

// refusals counts the outcomes of the requests that a VM didn't serve and whose ids begin with prefix, with
// their details and attempts.
func (v *vm) refusals(prefix string) map[string]int {
	out := make(map[string]int)
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, l := range v.lines {
		var r struct{ Request, Outcome, Detail, Attempts, Repeats string }
		if json.Unmarshal([]byte(l), &r) == nil && strings.HasPrefix(r.Request, prefix) && r.Outcome != "answered" {
			out[strings.Join([]string{r.Outcome, r.Detail, r.Attempts, r.Repeats}, "; ")]++
		}
	}
	return out
}

// awaitServing sends requests to a VM until it serves one of each kind in a row.
func (f *pathFleet) awaitServing(v *vm, name string) {
	round := 0
	require.Eventually(f.t, func() bool {
		round++
		return f.served(v, fmt.Sprint(name, round), len(kindsOfRequests)) == len(kindsOfRequests)
	}, 20*time.Second, 10*time.Millisecond, "%s: a VM that lost its paths serves no caller", name)
}

// requireRunOnce requires that no request that may not be repeated ran twice.
func (f *pathFleet) requireRunOnce() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, runs := range f.runs {
		if i, err := strconv.Atoi(id[strings.LastIndex(id, "-")+1:]); err == nil && kindsOfRequests[i%len(kindsOfRequests)] == "non_idempotent" {
			require.Equal(f.t, 1, runs, id)
		}
	}
}

// Guards against VMs that refuse their callers when they lose their own paths to all endpoints, though other VMs reach these.
func TestVMsWithoutPathsServeTheirCallers(t *testing.T) {
	for name, c := range map[string]struct {
		vms, cut int
		old      bool
	}{
		"one, old connections reset":      {4, 1, true},
		"most, old connections reset":     {5, 3, true},
		"all but one, reset":              {4, 3, true},
		"most, old connections left open": {5, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := startPathFleet(t, c.vms, 6)
			for _, v := range f.vms {
				require.Equal(t, 12, f.served(v, "before", 12))
			}
			f.network.cutOff(c.old, f.vms[:c.cut]...)
			for _, v := range f.vms[:c.cut] {
				f.awaitServing(v, "cut")
			}
			const requests = 60
			for i, v := range f.vms {
				served := f.served(v, "during", requests)
				if i < c.cut && served < requests*2/3 {
					t.Logf("refusals of %s: %v", v.front, v.refusals("during-"))
				}
				if i < c.cut {
					require.GreaterOrEqual(t, served, requests*2/3, "a VM that lost its paths")
				} else {
					require.Equal(t, requests, served, "a VM that has its paths")
				}
			}
			f.network.heal(f.vms...)
			for _, v := range f.vms {
				f.awaitServing(v, "after")
				require.Equal(t, 12, f.served(v, "healed", 12))
			}
			f.requireRunOnce()
		})
	}
}

// Guards against a directory that goes on sending callers to VMs without paths, or that names nobody when all VMs have lost theirs.
func TestDirectoryLeadsCallersToVMsWithPaths(t *testing.T) {
	f := startPathFleet(t, 4, 4)
	round := 0
	named := func(want int) {
		t.Helper()
		for _, v := range f.vms {
			require.Eventually(t, func() bool {
				round++
				for _, other := range f.vms {
					f.served(other, fmt.Sprint("round", round), len(kindsOfRequests)) // so that VMs notice a change
				}
				return len(v.addresses()) == want
			}, 20*time.Second, 10*time.Millisecond, "%d VMs named", want)
			require.True(t, v.ready(), "a VM without paths serves through others")
		}
	}
	named(4)
	f.network.cutOff(true, f.vms[:2]...)
	named(2)
	require.NotContains(t, f.vms[0].addresses(), f.vms[1].front)
	f.network.cutOff(true, f.vms...)
	named(4)
	f.network.heal(f.vms...)
	named(4)
}
