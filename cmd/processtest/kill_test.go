package processtest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"goldcrestfork/config/staleness"
	"goldcrestfork/router/refusal"
	"goldcrestfork/standin/backend"
)

const prompt = "How did the week go?"

// totalTokens returns the number of tokens that all callers received.
func totalTokens(all []*caller) (n int64) {
	for _, c := range all {
		n += c.tokens.Load()
	}
	return n
}

// Guards against the loss of resume tokens, claims or bill names with a killed VM: an
// answer would be incomplete, an order would be booked twice or reported as "not run"
// although it was booked, or a request would be billed twice. A VM is killed while it
// serves streams and orders; the callers continue at the other VMs.
func TestKilledVM(t *testing.T) {
	t.Parallel()
	const streams, orders, tokens = 8, 12, 250
	w := newTestbed(t, 3, 2)
	w.setFaults(w.service, backend.ServiceFaults{Hold: 300 * time.Millisecond})
	// A stream keeps the token delay with which it began, so that no stream ends before
	// the kill and all resumed streams are fast.
	for _, e := range w.engines {
		w.setFaults(e, backend.EngineFaults{TokenDelay: 200 * time.Millisecond})
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	var work sync.WaitGroup
	var readers []*caller
	answers, orderOutcomes := make([]outcome, streams), make([]outcome, orders)
	for i := range streams {
		c := &caller{vms: w.vms}
		readers = append(readers, c)
		work.Go(func() { answers[i] = c.streamAnswer(ctx, version, prompt, tokens) })
	}
	waitUntil(t, "streams under way", func() bool { return totalTokens(readers) > 5*streams })
	for i := range orders {
		c := &caller{vms: w.vms}
		work.Go(func() {
			var err error
			orderOutcomes[i], err = c.completeOrder(ctx, fmt.Sprint("order-", i))
			assert.NoError(t, err)
		})
	}
	waitUntil(t, "orders at the service", func() bool { return len(w.bookedOrders()) > orders/2 })
	for _, e := range w.engines {
		w.setFaults(e, backend.EngineFaults{TokenDelay: 5 * time.Millisecond})
	}
	w.vms[0].kill()
	work.Wait()

	booked := w.bookedOrders()
	for i, o := range orderOutcomes {
		key := fmt.Sprint("order-", i)
		require.LessOrEqual(t, booked[key], 1, key)
		if o.ran == refusal.NotRun {
			require.Zero(t, booked[key], "%s was reported as not run", key)
		}
		if o.ran == refusal.DidRun {
			require.Equal(t, 1, booked[key], key)
		}
	}
	for i, o := range answers {
		require.True(t, o.complete, "%d: %+v", i, o)
		require.Equal(t, backend.Answer(prompt, tokens), o.text)
		require.Positive(t, readers[i].vmChanges.Load(), "the kill must interrupt each stream")
	}
	w.awaitIdle(w.vms[1:]...)
	bills := w.billedRequests(w.vms[1])
	require.Equal(t, int64(streams), bills[version])
	require.LessOrEqual(t, bills["conector"], int64(len(booked)))
}

// Guards against a resumed VM that starts work on an outdated configuration. A VM with an order
// at the service is suspended, a version is withdrawn, and requests for it queue up at the VM's
// port. Resumed after the bound of the configuration's age, the VM must start none of them,
// although its own configuration still allows the version. The order must be booked once.
func TestFrozenVM(t *testing.T) {
	t.Parallel()
	const late = 10
	w := newTestbed(t, 3, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 2*testTimeout)
	defer cancel()
	first := &caller{vms: w.vms[:1]}
	require.True(t, first.streamAnswer(ctx, version, prompt, 3).complete)
	w.setFaults(w.service, backend.ServiceFaults{Hold: 200 * time.Millisecond})
	var work sync.WaitGroup
	work.Go(func() { _, _ = sendOrder(ctx, w.vms[0], "order", nil) })
	waitUntil(t, "the order at the service", func() bool { return w.bookedOrders()["order"] == 1 })
	suspend(w.vms[0])
	started := w.startedStreams()

	revision := w.change(w.vms[1], "/v1/model-version/"+version+"/withdraw", nil)
	withdrawn := time.Now()
	again, err := sendOrder(ctx, w.vms[1], "order", nil)
	require.NoError(t, err)
	require.NotEqual(t, refusal.NotRun, again.ran, "the order was booked")
	refusals := make([]outcome, late)
	for i := range late {
		work.Go(func() {
			resp, err := post(ctx, w.vms[0], "/v1/chat/completions", http.Header{}, chatBody(version, prompt, 3))
			if assert.NoError(t, err) {
				refusals[i] = decodeRefusal(resp)
			}
		})
	}
	waitUntil(t, "the bound of the configuration's age", func() bool { return time.Since(withdrawn) > staleness.MaxConfirmationAge })
	resume(w.vms[0])
	work.Wait()
	for _, o := range refusals {
		require.Contains(t, []refusal.Code{refusal.Stale, refusal.ModelNotAllowed, refusal.NoVersion}, o.code, "%+v", o)
		require.Equal(t, refusal.NotRun, o.ran)
	}
	require.Equal(t, started, w.startedStreams())
	waitUntil(t, "the resumed VM is ready", func() bool { return ready(w.vms[0]) })
	_, err = operatorClient(w.vms[0]).Read(ctx, "/v1/revision", revision)
	require.NoError(t, err)
	for _, vm := range w.vms {
		o, err := sendOrder(ctx, vm, "order", nil)
		require.NoError(t, err)
		require.NotEqual(t, refusal.NotRun, o.ran)
	}
	require.Equal(t, 1, w.bookedOrders()["order"])
}

// Guards against a planned stop that cuts streams. A VM receives SIGTERM while it serves
// streams. The other VMs must drop its address from their answers while it still runs,
// and the VM must exit only after its streams are complete.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	const streams, tokens = 8, 2000
	w := newTestbed(t, 3, 2)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	var work sync.WaitGroup
	var readers []*caller
	for range streams {
		c := &caller{vms: w.vms[:1]}
		readers = append(readers, c)
		work.Go(func() {
			o := c.streamAnswer(ctx, version, prompt, tokens)
			assert.True(t, o.complete, "%+v", o)
			assert.Equal(t, backend.Answer(prompt, tokens), o.text)
			assert.Zero(t, c.vmChanges.Load(), "no stream may be cut")
		})
	}
	waitUntil(t, "streams under way", func() bool { return totalTokens(readers) > 5*streams })
	w.vms[0].signal(syscall.SIGTERM)
	for _, vm := range w.vms[1:] {
		waitUntil(t, vm.name+" no longer lists the stopping VM", func() bool {
			list := w.addresses(vm)
			return len(list) == 2 && !strings.Contains(strings.Join(list, " "), w.vms[0].serving["callers"])
		})
	}
	require.Less(t, totalTokens(readers), int64(streams*tokens), "the address was listed until the streams ended")
	work.Wait()
	<-w.vms[0].ended
	require.NoError(t, w.vms[0].err)
	require.Contains(t, w.vms[0].logText(), `"cut":0`)
	w.awaitIdle(w.vms[1:]...)
	require.Equal(t, int64(streams), w.billedRequests(w.vms[1])[version])
}
