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

// rollOut puts a roll-out from v1 to v2 at a share in force on all VMs given.
func (w *world) rollOut(share float64, vms ...*VM) {
	w.t.Helper()
	w.put(&config.RollOut{Meta: config.Meta{Name: "to-2"}, Model: "asistente", From: v1, To: v2,
		Steps: []float64{share, 100}, State: config.RollOutRunning})
	for _, v := range vms {
		w.inForce(v, w.vm.cache.Revision())
	}
}

// Sessions start on one VM while the roll-out stands at 40%. It goes on to 60%, and
// the sessions' next requests come to another VM without their tokens. Each must
// get the version of its first answer.
func TestSessionKeepsItsVersionOnAnotherVM(t *testing.T) {
	w := newWorld(t, 1)
	other, _ := w.start("vm-2")
	w.rollOut(40, other)
	versions := make(map[string]string)
	seen := make(map[string]bool)
	for i := range 12 {
		session := fmt.Sprint("s-", i)
		r := w.ask(bakerKey, "asistente", prompt, 2, false, map[string]string{"X-Session": session})
		require.Equal(t, http.StatusOK, r.status, r.body)
		versions[session] = r.header.Get("X-Model-Version")
		seen[versions[session]] = true
		require.NotEmpty(t, r.header.Get("X-Session-Pin"))
	}
	require.Len(t, seen, 2, "both versions must be in play")
	w.rollOut(60, other)
	for session, version := range versions {
		r := w.askAt(other, bakerKey, "asistente", prompt, 2, false, map[string]string{"X-Session": session})
		require.Equal(t, version, r.header.Get("X-Model-Version"), session)
	}
}

// A session's version is withdrawn. Its next request must not run on it, with or
// without its token; the caller is told that the session moved.
func TestWithdrawnVersionMovesTheSession(t *testing.T) {
	w := newWorld(t, 1)
	header := map[string]string{"X-Session": "s"}
	first := w.ask(bakerKey, "asistente", prompt, 2, false, header)
	left := first.header.Get("X-Model-Version")
	withdrawn := *w.vm.cache.Snapshot().Versions[left]
	withdrawn.State = config.VersionWithdrawn
	w.put(&withdrawn)
	for _, token := range []string{first.header.Get("X-Session-Pin"), ""} {
		header["X-Session-Pin"] = token
		r := w.ask(bakerKey, "asistente", prompt, 2, false, header)
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.NotEqual(t, left, r.header.Get("X-Model-Version"))
		require.Equal(t, left, r.header.Get("X-Session-Moved"))
	}
}

// Requests for a version wait behind a slow one when operators withdraw it. They
// must be refused as not run when their turn comes: what was allowed when they
// came isn't any more.
func TestWithdrawnWhileWaiting(t *testing.T) {
	w := newWorld(t, 1)
	slots := *w.vm.cache.Snapshot().Endpoints["runner-0"]
	slots.Slots = 1
	w.put(&slots)
	w.engines[0].SetFaults(backend.EngineFaults{TokenDelay: 20 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	slow := w.open(ctx, w.vm, http.MethodPost, chatPath, bakerKey, nil, chatBody(t, v1, prompt, 200, true))
	defer slow.Body.Close()
	waiting := make(chan reply, 1)
	go func() { waiting <- w.ask(bakerKey, v1, prompt, 2, false, nil) }()
	until(t, func() bool { return w.vm.dispatch.Waiting(v1) > 0 })
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

// until polls for a state; the bound only ends a test that would hang.
func until(t testing.TB, state func() bool) {
	t.Helper()
	require.Eventually(t, state, 30*time.Second, time.Millisecond)
}

// A caller's VM dies in the middle of a stream. The caller goes on at another VM
// with its token and the last event it saw: the two parts must make the whole
// answer, without a lost or doubled token, and one bill.
func TestStreamResumedAtAnotherVM(t *testing.T) {
	const tokens, had = 30, 7
	w := newWorld(t, 1)
	other, _ := w.start("vm-2")
	w.inForce(other, w.vm.cache.Revision())
	w.engines[0].SetFaults(backend.EngineFaults{TokenDelay: time.Millisecond})
	body := chatBody(t, v1, prompt, tokens, true)

	ctx, die := context.WithCancel(t.Context())
	first := w.open(ctx, w.vm, http.MethodPost, chatPath, bakerKey, nil, body)
	defer first.Body.Close()
	lines := bufio.NewScanner(first.Body)
	var seen strings.Builder
	for n := 0; n < had && lines.Scan(); {
		seen.WriteString(lines.Text() + "\n")
		if strings.HasPrefix(lines.Text(), "data:") {
			n++
		}
	}
	die()
	part := reply{header: first.Header, body: seen.String()}
	head, whole := part.text(t)
	require.False(t, whole)

	header := map[string]string{"X-Resume-Token": first.Header.Get("X-Resume-Token"), "X-Resume-From": fmt.Sprint(had)}
	rest := w.askAtBody(other, body, header)
	require.Equal(t, http.StatusOK, rest.status, rest.body)
	tail, whole := rest.text(t)
	require.True(t, whole, rest.body)
	require.Equal(t, backend.Answer(prompt, tokens), head+tail)

	stolen := w.sendTo(other, http.MethodPost, chatPath, clerkKey, header, body)
	require.Equal(t, http.StatusBadRequest, stolen.status, "another account's token")

	for _, v := range []*VM{w.vm, other} {
		until(t, func() bool { return v.entry.Running() == 0 })
		require.NoError(t, v.bills.Flush(t.Context()))
	}
	sums, err := bill.NewReader(other.store).Day(t.Context(), time.Now())
	require.NoError(t, err)
	require.Len(t, sums.Rows, 1)
	require.EqualValues(t, 1, sums.Rows[0].Requests)
}

func (w *world) askAtBody(v *VM, body string, header map[string]string) reply {
	w.t.Helper()
	return w.sendTo(v, http.MethodPost, chatPath, bakerKey, header, body)
}

// Operators stop a VM in the middle of a stream. The stream must end whole; only
// then may the VM go.
func TestPlannedStopCutsNoStream(t *testing.T) {
	const tokens = 40
	w := newWorld(t, 1)
	leaving, stop := w.start("vm-2")
	w.inForce(leaving, w.vm.cache.Revision())
	w.engines[0].SetFaults(backend.EngineFaults{TokenDelay: 2 * time.Millisecond})
	resp := w.open(t.Context(), leaving, http.MethodPost, chatPath, bakerKey, nil, chatBody(t, v1, prompt, tokens, true))
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
	text, whole := reply{header: resp.Header, body: body}.text(t)
	require.True(t, whole, body)
	require.Equal(t, backend.Answer(prompt, tokens), text)
	<-stopped
}

// A caller closes its connection in the middle of a stream. The engine must be
// told to stop: it would go on generating for nobody.
func TestCallerLeavesAndEngineStops(t *testing.T) {
	w := newWorld(t, 1)
	w.engines[0].SetFaults(backend.EngineFaults{TokenDelay: time.Millisecond})
	ctx, leave := context.WithCancel(t.Context())
	resp := w.open(ctx, w.vm, http.MethodPost, chatPath, bakerKey, nil, chatBody(t, v1, prompt, 1000, true))
	defer resp.Body.Close()
	require.True(t, bufio.NewScanner(resp.Body).Scan())
	leave()
	until(t, func() bool { return w.engines[0].Stats().Cancelled > 0 })
}

// An endpoint answers as another version than was asked, as after an order that
// came late. Nothing of its answer may reach the caller.
func TestWrongVersionReachesNobody(t *testing.T) {
	w := newWorld(t, 2)
	w.engines[0].SetFaults(backend.EngineFaults{AnswersAs: v2})
	for i := 0; i < 6 || w.engines[0].Stats().Started == 0; i++ {
		r := w.ask(clerkKey, v1, prompt, 4, true, nil)
		if r.status == http.StatusOK {
			require.Equal(t, v1, r.header.Get("X-Model-Version"))
			text, whole := r.text(t)
			require.True(t, whole)
			require.Equal(t, backend.Answer(prompt, 4), text)
		}
		require.NotContains(t, r.body, `"model":"`+v2+`"`)
	}
}

// Operators take a data centre out, or an endpoint leaves, and it comes back. The
// only endpoint of a version is there. From the moment the change is in force its
// requests are refused as not run, and none reaches it; back in, it serves again.
func TestDataCentreOutAndEndpointLeaving(t *testing.T) {
	w := newWorld(t, 2)
	near, away := *w.vm.cache.Snapshot().Endpoints["runner-0"], *w.vm.cache.Snapshot().Endpoints["runner-1"]
	near.Versions, away.Versions, away.DataCentre = []string{v1}, []string{v2}, "norte-b"
	in := config.DataCentre{Meta: config.Meta{Name: "norte-b"}, Region: "norte", State: config.DataCentreIn}
	out, leaving := in, away
	out.State, leaving.State = config.DataCentreOut, config.EndpointLeaving
	w.put(&in, &near, &away)
	ask := func() reply { return w.ask(bakerKey, v2, prompt, 2, false, nil) }
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

// A roll-out's new version fails every request. It must be rolled back without an
// operator, after few requests; and it must not take the endpoints, which serve the
// old version well, away from that one.
func TestBadVersionIsRolledBack(t *testing.T) {
	w := newWorld(t, 3)
	for _, e := range w.engines {
		e.SetFaults(backend.EngineFaults{FailVersion: v2})
	}
	w.rollOut(30, w.vm)
	sent, exposed := 0, 0
	until(t, func() bool {
		r := w.ask(clerkOrBaker(sent), "asistente", fmt.Sprint(prompt, sent), 2, false, nil)
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
		r := w.ask(bakerKey, "asistente", fmt.Sprint(prompt, -i), 2, false, nil)
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.Equal(t, v1, r.header.Get("X-Model-Version"))
	}
}

// clerkOrBaker spreads requests over an account that may use both versions and one
// that may use the old one alone.
func clerkOrBaker(i int) string {
	if i%4 == 0 {
		return clerkKey
	}
	return bakerKey
}

// Three VMs have work for one engine that has just started and bears two requests.
// Whichever VM sends them, never more than two may run at once, and every caller
// gets its answer: slots are one VM's at a time, and a VM without one borrows it.
func TestColdSlotsAreExactOverThreeVMs(t *testing.T) {
	w := newWorld(t, 1)
	vms := []*VM{w.vm}
	for _, name := range []string{"vm-2", "vm-3"} {
		v, _ := w.start(name)
		vms = append(vms, v)
	}
	e := *w.vm.cache.Snapshot().Endpoints["runner-0"]
	e.ColdSlots, e.Slots = 2, 24
	w.put(&e)
	for _, v := range vms {
		w.inForce(v, w.vm.cache.Revision())
		until(t, func() bool { return len(v.fleet.live()) == 2 && v.slots.cold.Dump(time.Now()).Members == 3 })
	}
	w.restart(0)
	w.engines[0].SetFaults(backend.EngineFaults{TokenDelay: 2 * time.Millisecond})
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			r := w.askAt(vms[i%len(vms)], bakerKey, v1, fmt.Sprint(prompt, i), 5, true, nil)
			assert.Equal(t, http.StatusOK, r.status, r.body)
			text, whole := r.text(t)
			assert.True(t, whole)
			assert.Equal(t, backend.Answer(fmt.Sprint(prompt, i), 5), text)
		})
	}
	callers.Wait()
	require.LessOrEqual(t, w.engines[0].Stats().MaxCold, 2)
	require.Positive(t, w.engines[0].Stats().MaxCold)
}

// All engines of a pool die under waiting requests. The callers must be told at
// once that their requests were not run and when to come back: nobody knows when
// there will be an engine again. When the engines are back, requests run.
func TestDeadPoolRefusesAtOnce(t *testing.T) {
	w := newWorld(t, 1)
	good := *w.vm.cache.Snapshot().Endpoints["runner-0"]
	bad := good
	bad.Address = closedAddress(t)
	w.put(&bad)
	for range 3 {
		r := w.ask(bakerKey, v1, prompt, 2, false, map[string]string{"X-Deadline-Ms": "1800000"})
		require.Equal(t, http.StatusServiceUnavailable, r.status, r.body)
		require.Equal(t, refusal.NotRun, r.problem(t).Ran)
		require.NotEmpty(t, r.header.Get("Retry-After"))
	}
	w.put(&good)
	until(t, func() bool { return w.ask(bakerKey, v1, prompt, 2, false, nil).status == http.StatusOK })
}

// An engine dies under twelve streams, soon after the VM started, when there is no
// budget for retries yet. Every stream must go on at the other engine and end whole:
// what is left of it was to be done anyway, and a caller whose stream is given up
// would ask for all of it again.
func TestEngineDiesUnderStreamsOfAYoungVM(t *testing.T) {
	const streams, tokens = 12, 60
	w := newWorld(t, 2)
	for _, e := range w.engines {
		e.SetFaults(backend.EngineFaults{TokenDelay: 5 * time.Millisecond})
	}
	// A response is there with its first token.
	open := make([]*http.Response, streams)
	var opening sync.WaitGroup
	for i := range streams {
		opening.Go(func() {
			open[i] = w.open(t.Context(), w.vm, http.MethodPost, chatPath, bakerKey, nil, chatBody(t, v1, fmt.Sprint(prompt, i), tokens, true))
		})
	}
	opening.Wait()
	require.Greater(t, w.engines[0].Stats().Started, 2, "the test must meet streams")
	w.restart(0)
	w.engines[0].Warm()
	for i, resp := range open {
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		text, whole := reply{header: resp.Header, body: string(body)}.text(t)
		require.True(t, whole, string(body))
		require.Equal(t, backend.Answer(fmt.Sprint(prompt, i), tokens), text)
	}
}
