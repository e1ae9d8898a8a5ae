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

// outage sets whether the platform answers.
func (w *world) outage(down bool) { w.faults(w.platform, store.FaultOrder{Down: down}) }

// traffic asks at the VMs until stopped; each answer must be whole.
func (w *world) traffic(ctx context.Context, callers int) (asked []*caller, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	for i := range callers {
		c := &caller{vms: w.vms, at: i % len(w.vms)}
		asked = append(asked, c)
		work.Go(func() {
			for ctx.Err() == nil {
				// An answer that has begun is not broken off by the test's end.
				o := c.ask(context.WithoutCancel(ctx), version, prompt, 10)
				assert.Equal(w.t, http.StatusOK, o.status, o.code)
				assert.Equal(w.t, backend.Answer(prompt, 10), o.text)
			}
		})
	}
	return asked, func() {
		cancel()
		work.Wait()
	}
}

// The platform is away under traffic. Repeatable work must go on; an order must be
// refused at once, as "not run" only if its caller says that this is its first send,
// and with the time to come back; a VM replaced meanwhile gets its configuration
// from its peers and serves, and one without peers isn't ready. After the outage
// every order runs, once: nothing of it was dispatched without its claim.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 2*guard)
	defer cancel()
	o, err := refund(ctx, w.vms[0], "before", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, o.status)
	seeds := []string{peerAddress(t, w.vms[0]), peerAddress(t, w.vms[1])}
	asked, stop := w.traffic(ctx, 6)
	w.outage(true)
	for _, row := range []struct {
		key    string
		header http.Header
		ran    refusal.Ran
	}{
		{"first-send", http.Header{"X-Attempt": {"1"}}, refusal.NotRun},
		{"perhaps-again", nil, refusal.Unknown},
		{"before", nil, refusal.Unknown},
	} {
		o, err := refund(ctx, w.vms[1], row.key, row.header)
		require.NoError(t, err)
		require.Equal(t, refusal.StoreDown, o.code, row.key)
		require.Equal(t, row.ran, o.ran, row.key)
		require.NotEmpty(t, o.header.Get("Retry-After"))
	}
	w.vms[2].kill()
	replaced, alone := w.start("vm-4", seeds...), w.start("vm-5")
	until(t, "the replaced VM is ready", func() bool { return ready(replaced) })
	c := &caller{vms: []*process{replaced}}
	require.True(t, c.ask(ctx, version, prompt, 5).whole)
	before := sum(asked)
	until(t, "repeatable work goes on", func() bool { return sum(asked) > before+100 })
	require.False(t, ready(alone), "it has no configuration")
	w.outage(false)
	stop()

	until(t, "the lonely VM is ready", func() bool { return ready(alone) })
	for _, vm := range []*process{w.vms[0], w.vms[1], replaced, alone} {
		for _, key := range []string{"before", "first-send", "perhaps-again"} {
			c := &caller{vms: []*process{vm}}
			o, err := c.order(ctx, key)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, o.status, "%s at %s: %+v", key, vm.name, o)
		}
	}
	require.Equal(t, map[string]int{"before": 1, "first-send": 1, "perhaps-again": 1}, w.booked())
}

// An engine's process dies under traffic from three VMs and comes back cold, at its
// address, without a word. All VMs together must stay within its cold limit, and
// every caller gets its whole answer: a new connection asks for the engine's state
// before it carries a request, and the cold slots are dealt to the VMs.
func TestEngineComesBackCold(t *testing.T) {
	t.Parallel()
	const coldLimit = 3
	w := newWorld(t, 3, 2)
	ctx, cancel := context.WithTimeout(t.Context(), guard)
	defer cancel()
	asked, stop := w.traffic(ctx, 18)
	// On a VM where an account has sent little its retry budget bears two requests;
	// what is proved is an endpoint's death in running traffic.
	until(t, "a retry budget of traffic", func() bool { return sum(asked) > 6000 })
	address := w.engines[0].serving["address"]
	w.engines[0].kill()
	w.engines[0] = run(t, "engine-0", "standin", "--listen", address, "engine", "--cold", version, other)
	until(t, "cold work", func() bool { return stats(t, w.engines[0]).MaxCold > 0 })
	before := sum(asked)
	until(t, "traffic beside the cold engine", func() bool { return sum(asked) > before+1000 })
	require.LessOrEqual(t, stats(t, w.engines[0]).MaxCold, coldLimit)
	require.NoError(t, ask(http.MethodPost, address, "/warm", nil, nil))
	warm := stats(t, w.engines[0]).Started
	until(t, "warm work", func() bool { return stats(t, w.engines[0]).Started > warm+20 })
	stop()
	require.LessOrEqual(t, stats(t, w.engines[0]).MaxCold, coldLimit)
}

// A request crashes each engine that runs it, and its caller sends it to every VM.
// It must be quarantined after two engines of three, also on the VMs that never
// sent it: a crash is told to the others. Another prompt still gets its answer.
func TestPoisonIsKnownToAllVMs(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3, 3)
	ctx, cancel := context.WithTimeout(t.Context(), guard)
	defer cancel()
	for _, e := range w.engines {
		w.faults(e, backend.EngineFaults{CrashOn: "poison"})
	}
	crashes := func() (n int) {
		for _, e := range w.engines {
			n += stats(t, e).Crashes
		}
		return n
	}
	send := func(vm *process) outcome {
		resp, err := post(ctx, vm, "/v1/chat/completions", http.Header{}, chatBody(version, "poison", 5))
		require.NoError(t, err)
		return refused(resp)
	}
	until(t, "quarantined where it crashed engines", func() bool { return send(w.vms[0]).code == refusal.Quarantined })
	most := crashes()
	require.LessOrEqual(t, most, 2)
	for _, vm := range w.vms[1:] {
		until(t, vm.name+" was told", func() bool { return w.quarantines(vm) > 0 })
		o := send(vm)
		require.Equal(t, refusal.Quarantined, o.code, fmt.Sprint(o))
	}
	require.Equal(t, most, crashes())
	for _, e := range w.engines {
		require.NoError(t, ask(http.MethodPost, e.serving["address"], "/warm", nil, nil))
	}
	c := &caller{vms: w.vms}
	require.True(t, c.ask(ctx, version, prompt, 5).whole)
}
