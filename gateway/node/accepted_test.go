package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/forward"
	"goldcrestfork/gateway/view"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/trial"
)

// completedOrders returns a VM's completed roll-out of v2, whose endpoints are known.
func completedOrders() *orders {
	o := newOrders()
	for e := range 9 {
		id := fmt.Sprint("e", e)
		o.n.table.Set(time.Now(), placement.Spec{ID: id, Address: id, Service: "s", DataCentre: "dc", Version: "v2", Slots: 64})
	}
	o.receive("v2", 10, catalog.RollOutRunning)
	o.receive("v2", 10, catalog.RollOutCompleted)
	return o
}

// answer counts an answer of each of v2's endpoints, and judges them after each.
func (o *orders) answer(failed bool) {
	for e := range 9 {
		o.RecordAnswer(forward.AnswerResult{Service: "s", Version: "v2", Route: "r", Endpoint: fmt.Sprint("e", e), Failed: failed})
		o.judge()
	}
}

func (o *orders) judge() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.watchAccepted(o.clock(), o.orders["s"])
}

// Guards against a version that turned bad after its roll-out and gets requests for good, and against a stop that ends with the VMs that decided it or binds the next version.
func TestStoppedVersionGetsNoRequests(t *testing.T) {
	o := completedOrders()
	start := bootClock()
	at := time.Duration(0)
	o.clock = func() time.Duration { return start + at }
	for ; at < 20*time.Second; at += 200 * time.Millisecond {
		o.answer(at%(600*time.Millisecond) == 0)
	}
	stopped := forward.VersionChoice{Stopped: true, RetryAfter: stoppedRetryAfter}
	require.Equal(t, map[forward.VersionChoice]int{stopped: 200}, o.choices())
	require.True(t, o.mustKeep(o.orders["s"]), "the platform learns of it")
	standing := o.orders["s"].trial.Standing()
	require.True(t, standing.Stopped)

	restarted := newOrders()
	restarted.view.ApplyRollOuts(rollOutUpdate(catalog.RollOut{
		Name: "s", Service: "s", Target: "v2", Created: 10, Revision: 1, State: catalog.RollOutCompleted, Duration: time.Second, Standing: standing,
	}))
	restarted.update()
	require.Equal(t, map[forward.VersionChoice]int{stopped: 200}, restarted.choices(), "a VM that starts later")

	o.receive("v3", 20, catalog.RollOutRunning)
	require.Equal(t, map[forward.VersionChoice]int{stopped: 200}, o.choices(), "its trial has not begun")
	at += 10 * time.Second
	require.Len(t, o.choices(), 2, "some sessions try the next version")
	o.receive("v3", 20, catalog.RollOutCompleted)
	require.Equal(t, map[forward.VersionChoice]int{{Version: "v3"}: 200}, o.choices())
	o.receive("v4", 30, catalog.RollOutRunning)
	require.Equal(t, 200, o.choices()[forward.VersionChoice{Version: "v3", ExcludedVersion: "v4"}]+o.choices()[forward.VersionChoice{Version: "v4"}], "v3 isn't stopped")
}

// Guards against the only good version that is rolled back, since the version before it is stopped and has no answers to compare with.
func TestVersionAfterAStoppedOneIsAccepted(t *testing.T) {
	for share, want := range map[int]trial.Decision{0: trial.Take, 3: trial.TakeBack} {
		tr := trial.New(0, 0, 20*time.Second, 5*time.Second, 0.15, 30)
		tr.SetOldStopped()
		for i := range 60 {
			tr.CountAnswer(10*time.Second, trial.Origin{New: true}, trial.Result{Failed: share > 0 && i%share == 0})
		}
		d, reason := tr.Decide(19500 * time.Millisecond)
		require.Equal(t, want, d, reason)
	}
}

// Guards against VMs that learn nothing of each other's answers since the reports on all completed roll-outs are too large for a datagram.
func TestCompletedRollOutsAreReportedInTurn(t *testing.T) {
	const services = 19
	o := newOrders()
	for i := range services {
		name := fmt.Sprint("s", i)
		o.view.ApplyRollOuts(view.Update[catalog.RollOut]{Revision: int64(i + 1), Changes: []view.Change[catalog.RollOut]{
			{Item: view.Item[catalog.RollOut]{Name: name, Revision: int64(i + 1), Value: catalog.RollOut{
				Name: name, Service: name, Target: "v2", Created: 1, Revision: int64(i + 1), State: catalog.RollOutCompleted, Duration: time.Second,
			}}},
		}})
		o.update()
		for e := range 200 {
			o.RecordAnswer(forward.AnswerResult{Service: name, Version: "v2", Route: "r", Endpoint: fmt.Sprint("e", e%9), Failed: e%3 == 0, InFlight: e % 20, Slots: 64})
		}
	}
	heard := make(map[string]bool)
	for range services {
		reports := o.reports(bootClock(), maxPayloadBytes)
		b, err := cbor.Marshal(reports)
		require.NoError(t, err)
		require.LessOrEqual(t, len(b), maxPayloadBytes)
		for _, r := range reports {
			heard[r.Service] = true
		}
	}
	require.Len(t, heard, services)
}
