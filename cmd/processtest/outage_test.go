package processtest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"goldcrestfork/router/refusal"
	"goldcrestfork/standin/backend"
	"goldcrestfork/standin/store"
)

// setOutage starts or ends an outage of the platform.
func (w *testbed) setOutage(down bool) { w.setFaults(w.platform, store.FaultRequest{Down: down}) }

// startTraffic starts callers that send requests to the VMs until stop is called. The
// test fails if a request is refused or its answer is incomplete.
func (w *testbed) startTraffic(ctx context.Context, callers int) (clients []*caller, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	for i := range callers {
		c := &caller{vms: w.vms, current: i % len(w.vms)}
		clients = append(clients, c)
		work.Go(func() {
			for ctx.Err() == nil {
				// stop waits for the requests in progress and doesn't cancel them.
				o := c.streamAnswer(context.WithoutCancel(ctx), version, prompt, 10)
				assert.Equal(w.t, http.StatusOK, o.status, o.code)
				assert.Equal(w.t, backend.Answer(prompt, 10), o.text)
			}
		})
	}
	return clients, func() {
		cancel()
		work.Wait()
	}
}

// Guards against an outage that stops repeatable work, or in which an order is dispatched
// without a claim, so that it runs twice. Orders must be refused with a Retry-After, as "not
// run" only if the caller states a first send, and must run once afterwards. A VM that starts
// in the outage gets the configuration from its peers; without peers it must not be ready.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, 3, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 2*testTimeout)
	defer cancel()
	o, err := sendOrder(ctx, w.vms[0], "before", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, o.status)
	seeds := []string{peerAddress(t, w.vms[0]), peerAddress(t, w.vms[1])}
	clients, stop := w.startTraffic(ctx, 6)
	w.setOutage(true)
	for _, row := range []struct {
		key    string
		header http.Header
		ran    refusal.Ran
	}{
		{"first-send", http.Header{"X-Attempt": {"1"}}, refusal.NotRun},
		{"perhaps-again", nil, refusal.Unknown},
		{"before", nil, refusal.Unknown},
	} {
		o, err := sendOrder(ctx, w.vms[1], row.key, row.header)
		require.NoError(t, err)
		require.Equal(t, refusal.StoreDown, o.code, row.key)
		require.Equal(t, row.ran, o.ran, row.key)
		require.NotEmpty(t, o.header.Get("Retry-After"))
	}
	w.vms[2].kill()
	replaced, alone := w.startVM("vm-4", seeds...), w.startVM("vm-5")
	waitUntil(t, "the replaced VM is ready", func() bool { return ready(replaced) })
	c := &caller{vms: []*process{replaced}}
	require.True(t, c.streamAnswer(ctx, version, prompt, 5).complete)
	before := totalTokens(clients)
	waitUntil(t, "repeatable work continues", func() bool { return totalTokens(clients) > before+100 })
	require.False(t, ready(alone), "a VM without peers has no configuration")
	w.setOutage(false)
	stop()

	waitUntil(t, "the VM without peers is ready", func() bool { return ready(alone) })
	for _, vm := range []*process{w.vms[0], w.vms[1], replaced, alone} {
		for _, key := range []string{"before", "first-send", "perhaps-again"} {
			c := &caller{vms: []*process{vm}}
			o, err := c.completeOrder(ctx, key)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, o.status, "%s at %s: %+v", key, vm.name, o)
		}
	}
	require.Equal(t, map[string]int{"before": 1, "first-send": 1, "perhaps-again": 1}, w.bookedOrders())
}

// Guards against VMs that together exceed the cold limit of an engine that restarts in
// cold start at the same address without notice, and against cut answers. Each VM must
// query the state on a new connection before the first request, and the cold slots are
// assigned to the VMs.
func TestEngineComesBackCold(t *testing.T) {
	t.Parallel()
	const coldLimit = 3
	w := newTestbed(t, 3, 2)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	clients, stop := w.startTraffic(ctx, 18)
	// The retry budget of an account with little traffic on a VM covers only two requests.
	// The test needs a budget that covers the failure of an endpoint in steady traffic.
	waitUntil(t, "traffic for the retry budget", func() bool { return totalTokens(clients) > 6000 })
	address := w.engines[0].serving["address"]
	w.engines[0].kill()
	w.engines[0] = startProcess(t, "engine-0", "standin", "--listen", address, "engine", "--cold", version, otherVersion)
	waitUntil(t, "cold work", func() bool { return engineStats(t, w.engines[0]).MaxCold > 0 })
	before := totalTokens(clients)
	waitUntil(t, "traffic during the cold start", func() bool { return totalTokens(clients) > before+1000 })
	require.LessOrEqual(t, engineStats(t, w.engines[0]).MaxCold, coldLimit)
	require.NoError(t, call(http.MethodPost, address, "/warm", nil, nil))
	warm := engineStats(t, w.engines[0]).Started
	waitUntil(t, "warm work", func() bool { return engineStats(t, w.engines[0]).Started > warm+20 })
	stop()
	require.LessOrEqual(t, engineStats(t, w.engines[0]).MaxCold, coldLimit)
}

// Guards against a request that crashes every engine because only the VM that sent it
// knows of the crashes. The request must be quarantined after it has crashed two of
// three engines, also on the VMs that never sent it. Another prompt must still succeed.
func TestPoisonIsKnownToAllVMs(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, 3, 3)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for _, e := range w.engines {
		w.setFaults(e, backend.EngineFaults{CrashOn: "poison"})
	}
	crashes := func() (n int) {
		for _, e := range w.engines {
			n += engineStats(t, e).Crashes
		}
		return n
	}
	send := func(vm *process) outcome {
		resp, err := post(ctx, vm, "/v1/chat/completions", http.Header{}, chatBody(version, "poison", 5))
		require.NoError(t, err)
		return decodeRefusal(resp)
	}
	waitUntil(t, "quarantined on the VM that sent the request", func() bool { return send(w.vms[0]).code == refusal.Quarantined })
	most := crashes()
	require.LessOrEqual(t, most, 2)
	for _, vm := range w.vms[1:] {
		waitUntil(t, vm.name+" received the crash report", func() bool { return w.quarantineCount(vm) > 0 })
		o := send(vm)
		require.Equal(t, refusal.Quarantined, o.code, fmt.Sprint(o))
	}
	require.Equal(t, most, crashes())
	for _, e := range w.engines {
		require.NoError(t, call(http.MethodPost, e.serving["address"], "/warm", nil, nil))
	}
	c := &caller{vms: w.vms}
	require.True(t, c.streamAnswer(ctx, version, prompt, 5).complete)
}
