package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/platform"
	"goldcrestfork/platform/platformtest"
)

// The soak runs three real processes before four endpoints and a store, each VM's path to
// the store through a proxy of its own, and injects faults from outside in series that
// overlap. GOLDCREST_SOAK_SEEDS names other seeds, GOLDCREST_SOAK_SECONDS another length.
const (
	soakLength     = 6 * time.Second
	soakRevocation = 2 * time.Second // the bound that the VMs are told
)

// vmGone: a VM's process was missing at the end. Most likely SIGHUP met it while it
// started; exits by it were seen when these seeds ran again, not at the failures.
const vmGone = "a process was gone at the end; SIGHUP while it started is the likely cause"

// regressions are seeds that failed once, each with its cause. Signals meet processes by
// the wall clock, so that a seed repeats the order of the faults and not their moments.
var regressions = map[uint64]string{
	2:  vmGone,
	9:  vmGone,
	16: vmGone,
	21: vmGone,
	27: vmGone,
	31: vmGone,
	32: vmGone,
	35: vmGone,
	41: vmGone,
	52: vmGone,
}

func TestSoak(t *testing.T) {
	seeds := []uint64{1}
	for s := range regressions {
		seeds = append(seeds, s)
	}
	if list := os.Getenv("GOLDCREST_SOAK_SEEDS"); list != "" {
		seeds = nil
		for f := range strings.SplitSeq(list, ",") {
			n, err := strconv.ParseUint(f, 10, 64)
			require.NoError(t, err)
			seeds = append(seeds, n)
		}
	}
	length := soakLength
	if s, err := strconv.Atoi(os.Getenv("GOLDCREST_SOAK_SECONDS")); err == nil {
		length = time.Duration(s) * time.Second
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, seed, length) })
	}
}

// proxy passes a VM's connections to the store on, late, not at all, or resets them.
type proxy struct {
	net.Listener
	target string
	mode   atomic.Int32
}

const (
	passing = iota
	late
	silent
	resetting
	proxyModes
)

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{Listener: l, target: target}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	go p.copy(up, c)
	p.copy(c, up)
}

func (p *proxy) copy(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		switch p.mode.Load() {
		case late:
			time.Sleep(200 * time.Millisecond)
		case resetting:
			return
		case silent:
			continue // taken and never passed on
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// record is what one request came to, by its caller and by the endpoints.
type record struct {
	once   bool
	key    string
	sent   time.Time
	status int
	runs   int
}

// soakWorld is the state that callers, endpoints and faults share.
type soakWorld struct {
	t       *testing.T
	store   *platformtest.Store
	vms     []*vm
	proxies []*proxy

	mu       sync.Mutex
	rng      *rand.Rand
	records  map[string]*record
	version  int
	keys     []string             // in the configuration
	revoked  map[string]time.Time // when the store had accepted it
	wrong    []string
	troubled bool
	arrived  map[string]int // requests by endpoint
}

func (w *soakWorld) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// endpoint answers one request, at times as a faulty one does.
func (w *soakWorld) endpoint(name string) http.HandlerFunc {
	n := platform.Names()
	return func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(n.RequestID)
		w.mu.Lock()
		w.arrived[name]++
		fault := 100
		if w.troubled {
			fault = w.rng.IntN(100)
		}
		if fault >= 5 {
			if rec := w.records[id]; rec != nil {
				rec.runs++
			} else {
				w.wrong = append(w.wrong, "an endpoint ran "+id+", which nobody sent")
			}
		}
		w.mu.Unlock()
		rw.Header().Set(n.RequestID, id)
		switch {
		case fault < 5:
			rw.Header().Set(n.NotRun, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		case fault < 10:
			panic(http.ErrAbortHandler)
		case fault < 13:
			rw.WriteHeader(http.StatusInternalServerError)
			return
		case fault < 16:
			rw.Header().Set(n.Signature, "sig")
			rw.Header().Set("Content-Length", "99")
			_, _ = io.WriteString(rw, "part")
			panic(http.ErrAbortHandler)
		case fault < 25:
			time.Sleep(time.Duration(fault) * 10 * time.Millisecond)
		}
		rw.Header().Set(n.Signature, "sig")
		_, _ = io.WriteString(rw, "whole:"+id)
	}
}

// configure writes the next configuration with the keys in force.
func (w *soakWorld) configure(keys []string) {
	w.version++
	route := func(name, kind string) map[string]any {
		return map[string]any{"name": name, "host": "h", "pathPrefix": "/" + name + "/", "kind": kind, "service": "s", "maxAttempts": 3, "timeoutMs": 5000}
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": []any{route("once", "non_idempotent"), route("again", "idempotent")},
		"services": []any{map[string]any{"name": "s"}}, "tenants": []any{map[string]any{"name": "acme", "apiKeys": keys}},
	})
}

func (w *soakWorld) serverEntry(name, address, state string) {
	w.store.Put("servers", name, map[string]any{
		"service": "s", "address": address, "zone": "a", "version": "v1", "slots": 8, "state": state,
	})
}

// call sends one request and checks its answer.
func (w *soakWorld) call(ctx context.Context, client *http.Client, id string) int {
	n := platform.Names()
	w.mu.Lock()
	rec := &record{once: w.rng.IntN(2) == 0, key: w.keys[w.rng.IntN(len(w.keys))], sent: time.Now()}
	w.records[id] = rec
	front := w.vms[w.rng.IntN(len(w.vms))].front
	w.mu.Unlock()
	method, path := http.MethodGet, "/again/"+id
	if rec.once {
		method, path = http.MethodPost, "/once/"+id
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "h"
	req.Header.Set(n.RequestID, id)
	req.Header.Set(n.Key, rec.key)
	req.Header.Set(n.Deadline, "3000")
	resp, err := client.Transport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	w.mu.Lock()
	defer w.mu.Unlock()
	rec.status = resp.StatusCode
	if resp.StatusCode == http.StatusOK && err == nil && string(body) != "whole:"+id {
		w.wrong = append(w.wrong, fmt.Sprintf("%s got %q", id, body))
	}
	return resp.StatusCode
}

// fault injects one fault and, where it ends, its end a little later.
func (w *soakWorld) fault(wg *sync.WaitGroup, signals []*sync.Mutex) {
	i := w.draw(len(w.vms))
	v, p := w.vms[i], w.proxies[i]
	lasts := time.Duration(200+w.draw(2000)) * time.Millisecond
	background := func(f func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f()
		}()
	}
	signal := func(end syscall.Signal, respawn bool) {
		background(func() {
			signals[i].Lock()
			defer signals[i].Unlock()
			started := v.started()
			_ = v.cmd.Process.Signal(end)
			if end == syscall.SIGHUP {
				w.survives(v, started)
			} else if respawn {
				<-v.done
				v.spawn()
			} else if end == syscall.SIGSTOP {
				time.Sleep(lasts)
				_ = v.cmd.Process.Signal(syscall.SIGCONT)
			}
		})
	}
	switch w.draw(8) {
	case 0:
		signal(syscall.SIGKILL, true)
	case 1:
		signal(syscall.SIGTERM, true)
	case 2:
		signal(syscall.SIGSTOP, false)
	case 3:
		signal(syscall.SIGHUP, false)
	case 4, 5:
		p.mode.Store(int32(1 + w.draw(proxyModes-1)))
		background(func() { time.Sleep(lasts); p.mode.Store(passing) })
	case 6: // the store is away for all
		for _, p := range w.proxies {
			p.mode.Store(resetting)
		}
		background(func() {
			time.Sleep(lasts)
			for _, p := range w.proxies {
				p.mode.Store(passing)
			}
		})
	case 7: // one key goes, another comes
		w.mu.Lock()
		gone := w.keys[0]
		w.keys = append(w.keys[1:], fmt.Sprint("key", w.version))
		w.configure(w.keys)
		w.revoked[gone] = time.Now()
		w.mu.Unlock()
	}
}

// hangup is how long a process that doesn't take SIGHUP has to end.
const hangup = 500 * time.Millisecond

// survives demands that a process that has started lives on after SIGHUP. One that is
// hit before its runtime takes signals ends as the system has it, and is started again,
// as the platform starts what ends; without that a VM was missing at the end.
func (w *soakWorld) survives(v *vm, started bool) {
	select {
	case err := <-v.done:
		if started {
			w.mu.Lock()
			w.wrong = append(w.wrong, fmt.Sprintf("%s ended after SIGHUP: %v", v.front, err))
			w.mu.Unlock()
		}
		w.t.Logf("ended by SIGHUP while starting: %v", err)
		v.spawn()
	case <-time.After(hangup):
	}
}

// soak plays one seed: faults under callers, then calm, in which everything must serve
// again, and a drained endpoint must get nothing.
func soak(t *testing.T, seed uint64, length time.Duration) {
	store, address := platformtest.New(t)
	w := &soakWorld{
		t: t, store: store, rng: rand.New(rand.NewPCG(seed, 1)), records: map[string]*record{},
		keys: []string{"key-a", "key-b", "key-c"}, revoked: map[string]time.Time{}, arrived: map[string]int{}, troubled: true,
	}
	w.configure(w.keys)
	addresses := map[string]string{}
	for i := range 4 {
		name := fmt.Sprint("e", i)
		e := httptest.NewServer(w.endpoint(name))
		t.Cleanup(func() { e.CloseClientConnections(); e.Close() })
		addresses[name] = e.Listener.Addr().String()
		w.serverEntry(name, addresses[name], "ready")
	}
	var signals []*sync.Mutex
	for i := range 3 {
		p := newProxy(t, address)
		w.proxies = append(w.proxies, p)
		w.vms = append(w.vms, start(t, p.Addr().String(), fmt.Sprint("vm", i), fmt.Sprint("bounds.revocationMs=", soakRevocation.Milliseconds())))
		signals = append(signals, &sync.Mutex{})
	}
	for _, v := range w.vms {
		v.awaitReady(true)
	}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	var callers, faults sync.WaitGroup
	for c := range 8 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for i := 0; ctx.Err() == nil; i++ {
				w.call(context.Background(), client, fmt.Sprintf("c%d-%d", c, i))
				time.Sleep(time.Duration(w.draw(20)) * time.Millisecond)
			}
		}()
	}
	for ctx.Err() == nil {
		w.fault(&faults, signals)
		time.Sleep(time.Duration(100+w.draw(600)) * time.Millisecond)
	}
	callers.Wait()
	faults.Wait()
	w.calm(addresses)
	w.verdict(seed)
}

// calm ends all faults and demands full service of every VM.
func (w *soakWorld) calm(addresses map[string]string) {
	w.mu.Lock()
	w.troubled = false
	w.mu.Unlock()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	n := 0
	require.Eventually(w.t, func() bool {
		for range 30 {
			n++
			if w.call(w.t.Context(), client, fmt.Sprint("calm-", n)) != http.StatusOK {
				return false
			}
		}
		return true
	}, 40*time.Second, 50*time.Millisecond, "not all is served once the faults are over")
	w.serverEntry("e0", addresses["e0"], "draining")
	require.Eventually(w.t, func() bool {
		before := w.arrivals("e0")
		for range 30 {
			n++
			w.call(w.t.Context(), client, fmt.Sprint("drained-", n))
		}
		return w.arrivals("e0") == before
	}, 20*time.Second, 50*time.Millisecond, "a drained endpoint still gets requests")
}

func (w *soakWorld) arrivals(endpoint string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrived[endpoint]
}

// verdict judges the promises by what callers and endpoints saw.
func (w *soakWorld) verdict(seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	served := 0
	for id, r := range w.records {
		promise := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
		at, gone := w.revoked[r.key]
		switch {
		case r.once && r.runs > 1:
			w.wrong = append(w.wrong, fmt.Sprintf("%s ran %d times", id, r.runs))
		case r.once && promise && r.runs > 0:
			w.wrong = append(w.wrong, fmt.Sprintf("%s was answered %d and ran", id, r.status))
		case gone && r.runs > 0 && r.sent.After(at.Add(soakRevocation)):
			w.wrong = append(w.wrong, fmt.Sprintf("%s ran with a key that was taken away %s before", id, r.sent.Sub(at)))
		}
		if r.status == http.StatusOK {
			served++
		}
	}
	w.t.Logf("seed %d: %d requests, %d served, %d keys taken away", seed, len(w.records), served, len(w.revoked))
	require.Empty(w.t, w.wrong, "seed %d", seed)
}
