package vm

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/ledger/bill"
	"goldcrestfork/router/refusal"
	"goldcrestfork/standin/backend"
)

// startRollOut puts a running roll-out from v1 to v2 at the given share in force on all
// given VMs.
func (w *testbed) startRollOut(share float64, vms ...*VM) {
	w.t.Helper()
	w.put(&config.RollOut{Meta: config.Meta{Name: "to-2"}, Model: "asistente", From: v1, To: v2,
		Steps: []float64{share, 100}, State: config.RollOutRunning})
	for _, v := range vms {
		w.waitInForce(v, w.vm.cache.Revision())
	}
}

// Sessions must keep the version of their first answer when the roll-out's share grows and
// their next requests arrive at another VM without the session token.
func TestSessionKeepsItsVersionOnAnotherVM(t *testing.T) {
	w := newTestbed(t, 1)
	other, _ := w.start("vm-2")
	w.startRollOut(40, other)
	versions := make(map[string]string)
	seen := make(map[string]bool)
	for i := range 12 {
		session := fmt.Sprint("s-", i)
		r := w.chat(bakerKey, "asistente", prompt, 2, false, map[string]string{"X-Session": session})
		require.Equal(t, http.StatusOK, r.status, r.body)
		versions[session] = r.header.Get("X-Model-Version")
		seen[versions[session]] = true
		require.NotEmpty(t, r.header.Get("X-Session-Pin"))
	}
	require.Len(t, seen, 2, "both versions must serve sessions")
	w.startRollOut(60, other)
	for session, version := range versions {
		r := w.chatAt(other, bakerKey, "asistente", prompt, 2, false, map[string]string{"X-Session": session})
		require.Equal(t, version, r.header.Get("X-Model-Version"), session)
	}
}

// A session whose version is withdrawn must move to another version, with or without its
// token, and the answer must name the version that it left.
func TestWithdrawnVersionMovesTheSession(t *testing.T) {
	w := newTestbed(t, 1)
	header := map[string]string{"X-Session": "s"}
	first := w.chat(bakerKey, "asistente", prompt, 2, false, header)
	oldVersion := first.header.Get("X-Model-Version")
	withdrawn := *w.vm.cache.Snapshot().Versions[oldVersion]
	withdrawn.State = config.VersionWithdrawn
	w.put(&withdrawn)
	for _, token := range []string{first.header.Get("X-Session-Pin"), ""} {
		header["X-Session-Pin"] = token
		r := w.chat(bakerKey, "asistente", prompt, 2, false, header)
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.NotEqual(t, oldVersion, r.header.Get("X-Model-Version"))
		require.Equal(t, oldVersion, r.header.Get("X-Session-Moved"))
	}
}

// A request that waits in the queue when its version is withdrawn must be refused as not
// run: what was permitted at its arrival may be forbidden when its turn comes.
func TestWithdrawnWhileWaiting(t *testing.T) {
	w := newTestbed(t, 1)
	slots := *w.vm.cache.Snapshot().Endpoints["runner-0"]
	slots.Slots = 1
	w.put(&slots)
	w.engines[0].SetFaults(backend.EngineFaults{TokenDelay: 20 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	slow := w.sendOpen(ctx, w.vm, http.MethodPost, chatPath, bakerKey, nil, chatBody(t, v1, prompt, 200, true))
	defer slow.Body.Close()
	waiting := make(chan reply, 1)
	go func() { waiting <- w.chat(bakerKey, v1, prompt, 2, false, nil) }()
	eventually(t, func() bool { return w.vm.dispatch.Waiting(v1) > 0 })
	withdrawn := *w.vm.cache.Snapshot().Versions[v1]
	withdrawn.State = config.VersionWithdrawn
	w.put(&withdrawn)
	cancel()
	r := <-waiting
	p := r.problem(t)
	require.Equal(t, refusal.NoVersion, p.Code)
	require.Equal(t, refusal.NotRun, p.Ran)
	require.Equal(t, 1, w.engines[0].Stats().Started)
}

// eventually polls for a condition. The timeout only ends a test that would hang.
func eventually(t testing.TB, state func() bool) {
	t.Helper()
	require.Eventually(t, state, 30*time.Second, time.Millisecond)
}

// A stream that breaks with its VM must be resumable at another VM with the token and the
// position of the last event. Both parts together must be the complete answer, with no
// token lost or repeated, and be billed once.
func TestStreamResumedAtAnotherVM(t *testing.T) {
	const tokens, received = 30, 7
	w := newTestbed(t, 1)
	other, _ := w.start("vm-2")
	w.waitInForce(other, w.vm.cache.Revision())
	w.engines[0].SetFaults(backend.EngineFaults{TokenDelay: time.Millisecond})
	body := chatBody(t, v1, prompt, tokens, true)

	ctx, disconnect := context.WithCancel(t.Context())
	first := w.sendOpen(ctx, w.vm, http.MethodPost, chatPath, bakerKey, nil, body)
	defer first.Body.Close()
	lines := bufio.NewScanner(first.Body)
	var seen strings.Builder
	for n := 0; n < received && lines.Scan(); {
		seen.WriteString(lines.Text() + "\n")
		if strings.HasPrefix(lines.Text(), "data:") {
			n++
		}
	}
	disconnect()
	part := reply{header: first.Header, body: seen.String()}
	head, complete := part.text(t)
	require.False(t, complete)

	header := map[string]string{"X-Resume-Token": first.Header.Get("X-Resume-Token"), "X-Resume-From": fmt.Sprint(received)}
	rest := w.chatBodyAt(other, body, header)
	require.Equal(t, http.StatusOK, rest.status, rest.body)
	tail, complete := rest.text(t)
	require.True(t, complete, rest.body)
	require.Equal(t, backend.Answer(prompt, tokens), head+tail)

	stolen := w.sendTo(other, http.MethodPost, chatPath, clerkKey, header, body)
	require.Equal(t, http.StatusBadRequest, stolen.status, "another account's token")

	for _, v := range []*VM{w.vm, other} {
		eventually(t, func() bool { return v.entry.Running() == 0 })
		require.NoError(t, v.bills.Flush(t.Context()))
	}
	sums, err := bill.NewReader(other.store).Day(t.Context(), time.Now())
	require.NoError(t, err)
	require.Len(t, sums.Rows, 1)
	require.EqualValues(t, 1, sums.Rows[0].Requests)
}

func (w *testbed) chatBodyAt(v *VM, body string, header map[string]string) reply {
	w.t.Helper()
	return w.sendTo(v, http.MethodPost, chatPath, bakerKey, header, body)
}

// A planned stop must let running streams finish before the VM ends.
func TestPlannedStopCutsNoStream(t *testing.T) {
	const tokens = 40
	w := newTestbed(t, 1)
	leaving, stop := w.start("vm-2")
	w.waitInForce(leaving, w.vm.cache.Revision())
	w.engines[0].SetFaults(backend.EngineFaults{TokenDelay: 2 * time.Millisecond})
	resp := w.sendOpen(t.Context(), leaving, http.MethodPost, chatPath, bakerKey, nil, chatBody(t, v1, prompt, tokens, true))
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	require.True(t, lines.Scan())
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	body := lines.Text() + "\n"
	for lines.Scan() {
		body += lines.Text() + "\n"
	}
	text, complete := reply{header: resp.Header, body: body}.text(t)
	require.True(t, complete, body)
	require.Equal(t, backend.Answer(prompt, tokens), text)
	<-stopped
}

// A caller that disconnects during a stream must cancel the request at the engine, which
// would otherwise go on generating unread tokens.
func TestDisconnectCancelsEngineRequest(t *testing.T) {
	w := newTestbed(t, 1)
	w.engines[0].SetFaults(backend.EngineFaults{TokenDelay: time.Millisecond})
	ctx, disconnect := context.WithCancel(t.Context())
	resp := w.sendOpen(ctx, w.vm, http.MethodPost, chatPath, bakerKey, nil, chatBody(t, v1, prompt, 1000, true))
	defer resp.Body.Close()
	require.True(t, bufio.NewScanner(resp.Body).Scan())
	disconnect()
	eventually(t, func() bool { return w.engines[0].Stats().Cancelled > 0 })
}

// An endpoint may answer with another version than requested, for example when an order
// reaches it late. No part of such an answer may reach the caller.
func TestWrongVersionAnswerIsNotForwarded(t *testing.T) {
	w := newTestbed(t, 2)
	w.engines[0].SetFaults(backend.EngineFaults{AnswersAs: v2})
	for i := 0; i < 6 || w.engines[0].Stats().Started == 0; i++ {
		r := w.chat(clerkKey, v1, prompt, 4, true, nil)
		if r.status == http.StatusOK {
			require.Equal(t, v1, r.header.Get("X-Model-Version"))
			text, complete := r.text(t)
			require.True(t, complete)
			require.Equal(t, backend.Answer(prompt, 4), text)
		}
		require.NotContains(t, r.body, `"model":"`+v2+`"`)
	}
}

// A data centre is taken out, or an endpoint leaves, which holds the only endpoint of a
// version. While the change is in force, requests for that version must be refused as not
// run and none may reach the endpoint; afterwards it must serve again.
func TestDataCentreOutAndEndpointLeaving(t *testing.T) {
	w := newTestbed(t, 2)
	near, away := *w.vm.cache.Snapshot().Endpoints["runner-0"], *w.vm.cache.Snapshot().Endpoints["runner-1"]
	near.Versions, away.Versions, away.DataCentre = []string{v1}, []string{v2}, "norte-b"
	in := config.DataCentre{Meta: config.Meta{Name: "norte-b"}, Region: "norte", State: config.DataCentreIn}
	out, leaving := in, away
	out.State, leaving.State = config.DataCentreOut, config.EndpointLeaving
	w.put(&in, &near, &away)
	ask := func() reply { return w.chat(bakerKey, v2, prompt, 2, false, nil) }
	for name, gone := range map[string]config.Object{"data centre out": &out, "endpoint leaving": &leaving} {
		require.Equal(t, http.StatusOK, ask().status, name)
		w.put(gone)
		before := w.engines[1].Stats().Started
		for range 4 {
			p := ask().problem(t)
			require.Equal(t, refusal.NoEndpoint, p.Code, name)
			require.Equal(t, refusal.NotRun, p.Ran, name)
		}
		require.Equal(t, before, w.engines[1].Stats().Started, name)
		w.put(&in, &away)
	}
	require.Equal(t, http.StatusOK, ask().status)
}

// A roll-out whose new version fails every request must be rolled back without an operator
// and after few requests. The failures must not eject the endpoints, which serve the old
// version well.
func TestBadVersionIsRolledBack(t *testing.T) {
	w := newTestbed(t, 3)
	for _, e := range w.engines {
		e.SetFaults(backend.EngineFaults{FailVersion: v2})
	}
	w.startRollOut(30, w.vm)
	sent, exposed := 0, 0
	eventually(t, func() bool {
		r := w.chat(alternateKey(sent), "asistente", fmt.Sprint(prompt, sent), 2, false, nil)
		sent++
		if r.status != http.StatusOK && r.problem(t).Ran != refusal.NotRun {
			exposed++
		}
		return w.vm.cache.Snapshot().RollOuts["to-2"].State == config.RollOutRolledBack
	})
	require.Positive(t, exposed)
	require.Less(t, exposed, 200)
	for _, e := range w.vm.dispatch.Dump().Endpoints {
		require.Equal(t, "healthy", e.Detector, e.Endpoint)
	}
	for i := range 6 {
		r := w.chat(bakerKey, "asistente", fmt.Sprint(prompt, -i), 2, false, nil)
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.Equal(t, v1, r.header.Get("X-Model-Version"))
	}
}

// alternateKey returns the key of an account that may only use the old version for every
// fourth request, and that of an account that may use both for the others.
func alternateKey(i int) string {
	if i%4 == 0 {
		return clerkKey
	}
	return bakerKey
}

// An engine in cold start accepts two concurrent requests while three VMs have work for it.
// The VMs together must never exceed that limit, and every caller must get its answer:
// each cold slot belongs to one VM at a time, and a VM without one borrows it.
func TestColdSlotsAreExactOverThreeVMs(t *testing.T) {
	w := newTestbed(t, 1)
	vms := []*VM{w.vm}
	for _, name := range []string{"vm-2", "vm-3"} {
		v, _ := w.start(name)
		vms = append(vms, v)
	}
	e := *w.vm.cache.Snapshot().Endpoints["runner-0"]
	e.ColdSlots, e.Slots = 2, 24
	w.put(&e)
	for _, v := range vms {
		w.waitInForce(v, w.vm.cache.Revision())
		eventually(t, func() bool { return len(v.fleet.liveOthers()) == 2 && v.slots.cold.Dump(time.Now()).Members == 3 })
	}
	w.restart(0)
	w.engines[0].SetFaults(backend.EngineFaults{TokenDelay: 2 * time.Millisecond})
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			r := w.chatAt(vms[i%len(vms)], bakerKey, v1, fmt.Sprint(prompt, i), 5, true, nil)
			assert.Equal(t, http.StatusOK, r.status, r.body)
			text, complete := r.text(t)
			assert.True(t, complete)
			assert.Equal(t, backend.Answer(fmt.Sprint(prompt, i), 5), text)
		})
	}
	callers.Wait()
	require.LessOrEqual(t, w.engines[0].Stats().MaxCold, 2)
	require.Positive(t, w.engines[0].Stats().MaxCold)
}

// When all engines of a pool are down, requests must be refused at once as not run, with a
// Retry-After, even if their deadline is far: it is unknown when an engine returns. When
// the engines are back, requests must run.
func TestUnreachablePoolRefusesAtOnce(t *testing.T) {
	w := newTestbed(t, 1)
	good := *w.vm.cache.Snapshot().Endpoints["runner-0"]
	bad := good
	bad.Address = closedAddress(t)
	w.put(&bad)
	for range 3 {
		r := w.chat(bakerKey, v1, prompt, 2, false, map[string]string{"X-Deadline-Ms": "1800000"})
		require.Equal(t, http.StatusServiceUnavailable, r.status, r.body)
		require.Equal(t, refusal.NotRun, r.problem(t).Ran)
		require.NotEmpty(t, r.header.Get("Retry-After"))
	}
	w.put(&good)
	eventually(t, func() bool { return w.chat(bakerKey, v1, prompt, 2, false, nil).status == http.StatusOK })
}

// An engine crashes under running streams soon after the VM's start, when the retry budget
// is still empty. Every stream must resume at the other engine and complete: the rest of
// it is no extra work, and a caller whose stream is cut would request all of it again.
func TestStreamsResumeAfterEngineCrashWithoutRetryBudget(t *testing.T) {
	const streams, tokens = 12, 60
	w := newTestbed(t, 2)
	for _, e := range w.engines {
		e.SetFaults(backend.EngineFaults{TokenDelay: 5 * time.Millisecond})
	}
	// sendOpen returns with the first token.
	open := make([]*http.Response, streams)
	var opening sync.WaitGroup
	for i := range streams {
		opening.Go(func() {
			open[i] = w.sendOpen(t.Context(), w.vm, http.MethodPost, chatPath, bakerKey, nil, chatBody(t, v1, fmt.Sprint(prompt, i), tokens, true))
		})
	}
	opening.Wait()
	require.Greater(t, w.engines[0].Stats().Started, 2, "the restarted engine must have running streams")
	w.restart(0)
	w.engines[0].Warm()
	for i, resp := range open {
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		text, complete := reply{header: resp.Header, body: string(body)}.text(t)
		require.True(t, complete, string(body))
		require.Equal(t, backend.Answer(fmt.Sprint(prompt, i), tokens), text)
	}
}
