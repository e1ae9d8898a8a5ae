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

// sum adds up the tokens that callers received.
func sum(all []*caller) (n int64) {
	for _, c := range all {
		n += c.tokens.Load()
	}
	return n
}

// A VM is killed while it carries streams and work orders. Each caller goes on at
// the next VM, with its stream's token or its order's key: the answer must be whole,
// an order booked at most once and never called "not run" when it was booked, and a
// request billed once. The token, the claim and the bill's name outlive the VM.
func TestKilledVM(t *testing.T) {
	t.Parallel()
	const streams, orders, tokens = 8, 12, 250
	w := newWorld(t, 3, 2)
	w.faults(w.service, backend.ServiceFaults{Hold: 300 * time.Millisecond})
	// A stream keeps the delay that it began with: none ends before the kill, and all go on quickly.
	for _, e := range w.engines {
		w.faults(e, backend.EngineFaults{TokenDelay: 200 * time.Millisecond})
	}
	ctx, cancel := context.WithTimeout(t.Context(), guard)
	defer cancel()
	var work sync.WaitGroup
	var readers []*caller
	answers, ends := make([]outcome, streams), make([]outcome, orders)
	for i := range streams {
		c := &caller{vms: w.vms}
		readers = append(readers, c)
		work.Go(func() { answers[i] = c.ask(ctx, version, prompt, tokens) })
	}
	until(t, "streams under way", func() bool { return sum(readers) > 5*streams })
	for i := range orders {
		c := &caller{vms: w.vms}
		work.Go(func() {
			var err error
			ends[i], err = c.order(ctx, fmt.Sprint("order-", i))
			assert.NoError(t, err)
		})
	}
	until(t, "orders at the service", func() bool { return len(w.booked()) > orders/2 })
	for _, e := range w.engines {
		w.faults(e, backend.EngineFaults{TokenDelay: 5 * time.Millisecond})
	}
	w.vms[0].kill()
	work.Wait()

	booked := w.booked()
	for i, o := range ends {
		key := fmt.Sprint("order-", i)
		require.LessOrEqual(t, booked[key], 1, key)
		if o.ran == refusal.NotRun {
			require.Zero(t, booked[key], "%s was called not run", key)
		}
		if o.ran == refusal.DidRun {
			require.Equal(t, 1, booked[key], key)
		}
	}
	for i, o := range answers {
		require.True(t, o.whole, "%d: %+v", i, o)
		require.Equal(t, backend.Answer(prompt, tokens), o.text)
		require.Positive(t, readers[i].moved.Load(), "the kill must have met each stream")
	}
	w.settled(w.vms[1:]...)
	bills := w.bills(w.vms[1])
	require.Equal(t, int64(streams), bills[version])
	require.LessOrEqual(t, bills["conector"], int64(len(booked)))
}

// A VM is frozen while an order of its own is at the service; a version is
// withdrawn; requests for it pile up at the frozen VM's port. When the VM goes on
// after its view has become too old, it must start none of them, though its
// own configuration still allows the version; and the order stays booked once.
func TestFrozenVM(t *testing.T) {
	t.Parallel()
	const late = 10
	w := newWorld(t, 3, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 2*guard)
	defer cancel()
	first := &caller{vms: w.vms[:1]}
	require.True(t, first.ask(ctx, version, prompt, 3).whole)
	w.faults(w.service, backend.ServiceFaults{Hold: 200 * time.Millisecond})
	var work sync.WaitGroup
	work.Go(func() { _, _ = refund(ctx, w.vms[0], "order", nil) })
	until(t, "the order at the service", func() bool { return w.booked()["order"] == 1 })
	freeze(w.vms[0])
	started := w.started()

	revision := w.change(w.vms[1], "/v1/model-version/"+version+"/withdraw", nil)
	withdrawn := time.Now()
	again, err := refund(ctx, w.vms[1], "order", nil)
	require.NoError(t, err)
	require.NotEqual(t, refusal.NotRun, again.ran, "the order was booked")
	refusals := make([]outcome, late)
	for i := range late {
		work.Go(func() {
			resp, err := post(ctx, w.vms[0], "/v1/chat/completions", http.Header{}, chatBody(version, prompt, 3))
			if assert.NoError(t, err) {
				refusals[i] = refused(resp)
			}
		})
	}
	until(t, "the bound of a stale view", func() bool { return time.Since(withdrawn) > staleness.MaxConfirmationAge })
	thaw(w.vms[0])
	work.Wait()
	for _, o := range refusals {
		require.Contains(t, []refusal.Code{refusal.Stale, refusal.ModelNotAllowed, refusal.NoVersion}, o.code)
		require.Equal(t, refusal.NotRun, o.ran)
	}
	require.Equal(t, started, w.started())
	until(t, "the frozen VM works again", func() bool { return ready(w.vms[0]) })
	_, err = operators(w.vms[0]).Read(ctx, "/v1/revision", revision)
	require.NoError(t, err)
	for _, vm := range w.vms {
		o, err := refund(ctx, vm, "order", nil)
		require.NoError(t, err)
		require.NotEqual(t, refusal.NotRun, o.ran)
	}
	require.Equal(t, 1, w.booked()["order"])
}

// A VM is told to stop while it carries streams. The others must stop naming it
// while it still runs, its streams must end whole at it, and only then may it end:
// it leaves the address answers first and waits for what runs.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	const streams, tokens = 8, 2000
	w := newWorld(t, 3, 2)
	ctx, cancel := context.WithTimeout(t.Context(), guard)
	defer cancel()
	var work sync.WaitGroup
	var readers []*caller
	for range streams {
		c := &caller{vms: w.vms[:1]}
		readers = append(readers, c)
		work.Go(func() {
			o := c.ask(ctx, version, prompt, tokens)
			assert.True(t, o.whole, "%+v", o)
			assert.Equal(t, backend.Answer(prompt, tokens), o.text)
			assert.Zero(t, c.moved.Load(), "no stream may be cut")
		})
	}
	until(t, "streams under way", func() bool { return sum(readers) > 5*streams })
	w.vms[0].signal(syscall.SIGTERM)
	for _, vm := range w.vms[1:] {
		until(t, vm.name+" names it no more", func() bool {
			list := w.addresses(vm)
			return len(list) == 2 && !strings.Contains(strings.Join(list, " "), w.vms[0].serving["callers"])
		})
	}
	require.Less(t, sum(readers), int64(streams*tokens), "it is named until its streams have ended")
	work.Wait()
	<-w.vms[0].ended
	require.NoError(t, w.vms[0].err)
	require.Contains(t, w.vms[0].text(), `"cut":0`)
	w.settled(w.vms[1:]...)
	require.Equal(t, int64(streams), w.bills(w.vms[1])[version])
}
