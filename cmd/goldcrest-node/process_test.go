package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/platform"
	"goldcrestfork/platform/platformtest"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "goldcrest-node")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "goldcrest-node")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out), err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// vm is one process of the program.
type vm struct {
	t        *testing.T
	cmd      *exec.Cmd
	settings string
	front    string
	side     string
	metrics  int
	mu       sync.Mutex
	lines    []string
	first    int // of this life's lines
	done     chan error
}

const (
	// firstPort and ports are below the range from which the system draws ports for
	// outgoing connections: one of those could take a process's port while it is down.
	firstPort = 15000
	ports     = 15000
)

// freePort draws a port that no test here has drawn; TCP and UDP have it free, and the
// one after it, which a VM uses between VMs as well.
func freePort(t *testing.T) int {
	t.Helper()
	for range 1000 {
		port := firstPort + 2*rand.IntN(ports/2)
		if _, taken := drawn.LoadOrStore(port, true); !taken && free(port) && free(port+1) {
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

func free(port int) bool {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	u.Close()
	return true
}

// drawn are the ports that this run has given out.
var drawn sync.Map

func start(t *testing.T, store, name string, more ...string) *vm {
	t.Helper()
	v := &vm{t: t, settings: filepath.Join(t.TempDir(), "node.conf"), done: make(chan error, 1)}
	v.front = fmt.Sprintf("127.0.0.1:%d", freePort(t))
	v.side = fmt.Sprintf("127.0.0.1:%d", freePort(t))
	inner := freePort(t)
	v.write(append([]string{
		"nodeName=" + name, "ip=127.0.0.1", "zone=a", "region=north", "zones.a=north",
		"listen.front=" + v.front, "listen.ready=" + v.side, "listen.directory=" + v.side,
		fmt.Sprintf("internalPorts=%d,%d", inner, inner+1), "limits.memoryMb=284",
		"bounds.gracePeriodS=4", "platform.address=" + store,
	}, more...)...)
	v.metrics = freePort(t)
	v.spawn()
	t.Cleanup(func() {
		_ = v.cmd.Process.Kill()
		<-v.done
	})
	return v
}

// spawn starts the process, again after it has ended.
func (v *vm) spawn() {
	v.cmd = exec.Command(binary, "--metrics-port", fmt.Sprint(v.metrics))
	v.cmd.Env = append(os.Environ(), platform.SettingsVar+"="+v.settings)
	out, err := v.cmd.StdoutPipe()
	require.NoError(v.t, err)
	v.cmd.Stderr = os.Stderr
	v.mu.Lock()
	v.first = len(v.lines)
	v.mu.Unlock()
	require.NoError(v.t, v.cmd.Start())
	go v.read(out)
}

// started says that this life of the process has said so.
func (v *vm) started() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, l := range v.lines[v.first:] {
		if strings.Contains(l, `"message":"started"`) {
			return true
		}
	}
	return false
}

func (v *vm) write(lines ...string) {
	require.NoError(v.t, os.WriteFile(v.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
}

func (v *vm) read(out io.Reader) {
	sc := bufio.NewScanner(out)
	for sc.Scan() {
		v.mu.Lock()
		v.lines = append(v.lines, sc.Text())
		v.mu.Unlock()
	}
	v.done <- v.cmd.Wait()
}

// logged waits for a log line that holds all of the words.
func (v *vm) logged(words ...string) string {
	v.t.Helper()
	var found string
	require.Eventually(v.t, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, l := range v.lines {
			all := true
			for _, w := range words {
				all = all && strings.Contains(l, w)
			}
			if all {
				found = l
				return true
			}
		}
		return false
	}, 20*time.Second, 5*time.Millisecond, "no line with %q", words)
	return found
}

func (v *vm) ready() bool {
	resp, err := http.Get("http://" + v.side + platform.PathReady)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (v *vm) awaitReady(want bool) {
	v.t.Helper()
	require.Eventually(v.t, func() bool { return v.ready() == want }, 20*time.Second, 10*time.Millisecond)
}

// addresses asks the VM's directory; nil for no answer.
func (v *vm) addresses() []string {
	resp, err := http.Get("http://" + v.side + platform.PathResolve + "?name=h&zone=a")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var a platform.Addresses
	if json.NewDecoder(resp.Body).Decode(&a) != nil {
		return nil
	}
	return a.Addresses
}

// world is a store with one service of one endpoint, whose answers wait for release.
func world(t *testing.T) (store *platformtest.Store, address string, entered chan struct{}, release chan struct{}) {
	t.Helper()
	store, address = platformtest.New(t)
	entered, release = make(chan struct{}, 16), make(chan struct{})
	n := platform.Names()
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case entered <- struct{}{}:
		default: // the test has seen enough
		}
		select {
		case <-release:
		case <-r.Context().Done():
			return
		}
		w.Header().Set(n.RequestID, r.Header.Get(n.RequestID))
		w.Header().Set(n.Signature, "sig")
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(func() {
		e.CloseClientConnections()
		e.Close()
	})
	store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "r", "host": "h", "pathPrefix": "/a/", "kind": "non_idempotent", "service": "s", "maxAttempts": 1, "timeoutMs": 60000}},
		"services": []any{map[string]any{"name": "s"}},
		"tenants":  []any{map[string]any{"name": "acme", "apiKeys": []string{"k"}}},
	})
	store.Put("servers", "e1", map[string]any{
		"service": "s", "address": e.Listener.Addr().String(), "zone": "a", "version": "v1", "slots": 8, "state": "ready",
	})
	return store, address, entered, release
}

func ask(ctx context.Context, front, id string) (int, string, error) {
	n := platform.Names()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/a/b", strings.NewReader("x"))
	if err != nil {
		return 0, "", err
	}
	req.Host = "h"
	req.Header.Set(n.RequestID, id)
	req.Header.Set(n.Key, "k")
	req.Header.Set(n.Deadline, "30000")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

type asked struct {
	status int
	body   string
	err    error
}

// A booking is at its endpoint when the settings change and the VM is told by SIGHUP,
// which by itself would end the process; then the VM is told to stop by SIGTERM. The
// booking's caller must get its answer. Meanwhile the VM isn't ready and other VMs name
// it no more, new requests are still served, and it exits by itself before its time.
func TestSignalsLoseNoRequest(t *testing.T) {
	_, store, entered, release := world(t)
	a, b := start(t, store, "vm-a"), start(t, store, "vm-b")
	a.awaitReady(true)
	b.awaitReady(true)
	require.Eventually(t, func() bool { return len(b.addresses()) == 2 }, 20*time.Second, 10*time.Millisecond)

	answer := make(chan asked, 2)
	send := func(id string) {
		status, body, err := ask(context.Background(), a.front, id)
		answer <- asked{status, body, err}
	}
	go send("r1")
	<-entered
	text, err := os.ReadFile(a.settings)
	require.NoError(t, err)
	a.write(strings.TrimSpace(string(text)), "bounds.revocationMs=4000")
	require.NoError(t, a.cmd.Process.Signal(syscall.SIGHUP))
	a.logged("settings read again", `"bounds_changed":true`, `"needs_restart":false`)

	require.NoError(t, a.cmd.Process.Signal(syscall.SIGTERM))
	a.logged(`"message":"stopping"`)
	a.awaitReady(false)
	require.Eventually(t, func() bool { return len(b.addresses()) == 1 }, 20*time.Second, 10*time.Millisecond)
	go send("r2")
	<-entered
	close(release)
	for range 2 {
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, asked{http.StatusOK, "whole", nil}, got)
	}
	require.NoError(t, <-a.done)
	a.done <- nil
	a.logged(`"message":"stopped"`, `"cut":0`)
}

// The store is lost to all VMs. A key may be taken away meanwhile, so that none may be
// honoured for longer than the bound; VMs that read from each other must not keep their
// proof alive between them. When the store is back they serve again.
func TestNoKeyIsHonouredWithoutTheStore(t *testing.T) {
	store, address, _, release := world(t)
	close(release)
	a, b := start(t, address, "vm-a"), start(t, address, "vm-b")
	a.awaitReady(true)
	b.awaitReady(true)
	status, _, err := ask(t.Context(), a.front, "before")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	store.Override(func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	a.logged("platform lost", `"kind":"configuration"`)
	a.awaitReady(false)
	require.Eventually(t, func() bool {
		status, _, err := ask(t.Context(), a.front, "cut")
		return err == nil && status == http.StatusServiceUnavailable
	}, 20*time.Second, 20*time.Millisecond)
	store.Override(nil)
	a.logged("platform regained", `"kind":"configuration"`)
	a.awaitReady(true)
}

// Settings that lack a field end the start with one line that names it.
func TestWrongSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.conf")
	require.NoError(t, os.WriteFile(path, []byte("nodeName=x\nzone=a\n"), 0o600))
	out, err := exec.Command(binary, "--settings", path, "--check").CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(out), "field ip")
	require.Equal(t, 1, strings.Count(string(out), "\n"))
}
