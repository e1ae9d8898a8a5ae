package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/sticky"
	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/forward"
	"goldcrestfork/gateway/view"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/trial"
)

// orders holds a VM's roll-outs as the platform reports them.
type orders struct {
	*rollouts
	view     *view.View
	revision int64
	duration time.Duration // of a roll-out
}

// newOrders returns the orders of a VM that keeps all sessions itself.
func newOrders() *orders {
	n := &Node{currentBounds: new(atomic.Pointer[Bounds]), log: zerolog.Nop()}
	n.sticky = sticky.New(sticky.Config{
		Self: "vm", Clock: func() time.Duration { return n.rollouts.clock() }, Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
		Ring: func() *sticky.Ring { return sticky.NewRing(sticky.Keeper{Name: "vm"}) },
	})
	n.currentBounds.Store(&Bounds{Session: 5 * time.Second, ExposureShare: 0.15, RollBack: 5 * time.Second})
	n.table = placement.New("dc")
	n.view = view.New(view.Settings{Table: n.table, Clock: bootClock, Log: zerolog.Nop()})
	n.rollouts = newRollouts(n)
	return &orders{rollouts: n.rollouts, view: n.view, duration: 20 * time.Second}
}

func (o *orders) receive(target string, created int64, state catalog.RollOutState) {
	o.revision++
	r := catalog.RollOut{Name: "s", Service: "s", Target: target, Created: created, Revision: o.revision, State: state, Duration: o.duration}
	o.view.ApplyRollOuts(rollOutUpdate(r))
	o.update()
}

// rollOutUpdate returns the change by which the platform reports a roll-out.
func rollOutUpdate(r catalog.RollOut) view.Update[catalog.RollOut] {
	return view.Update[catalog.RollOut]{Revision: r.Revision, Changes: []view.Change[catalog.RollOut]{
		{Item: view.Item[catalog.RollOut]{Name: "s", Revision: r.Revision, Value: r}},
	}}
}

// choices counts the choices for 200 sessions.
func (o *orders) choices() map[forward.VersionChoice]int {
	out := make(map[forward.VersionChoice]int)
	for i := range 200 {
		c, _ := o.Begin("s", fmt.Sprint("session", i), time.Now().Add(time.Minute)).Choose(context.Background())
		out[c]++
	}
	return out
}

// Guards against sessions that return to a replaced version: a roll-out is completed and the
// next is ordered while endpoints of the first version still run. Half of the sessions returned
// to it when the new order only excluded the third version, which none may use yet.
func TestReplacedVersionStaysReplaced(t *testing.T) {
	o := newOrders()
	o.receive("v2", 10, catalog.RollOutRunning)
	require.Equal(t, map[forward.VersionChoice]int{{ExcludedVersion: "v2"}: 200}, o.choices())
	o.receive("v2", 10, catalog.RollOutCompleted)
	require.Equal(t, map[forward.VersionChoice]int{{Version: "v2"}: 200}, o.choices())
	for _, state := range []catalog.RollOutState{"", catalog.RollOutRunning, catalog.RollOutRolledBack} {
		o.receive("v3", 10, state)
		require.Equal(t, map[forward.VersionChoice]int{{Version: "v2", ExcludedVersion: "v3"}: 200}, o.choices(), "%q", state)
	}
	o.receive("v4", 30, catalog.RollOutRunning)
	require.Equal(t, map[forward.VersionChoice]int{{Version: "v2", ExcludedVersion: "v4"}: 200}, o.choices())
	o.receive("v4", 30, catalog.RollOutCompleted)
	require.Equal(t, map[forward.VersionChoice]int{{Version: "v4"}: 200}, o.choices())
}

// Guards against a service whose requests have no sessions and all try a new version, or none.
func TestRequestsWithoutSessionsShareATrial(t *testing.T) {
	o := newOrders()
	o.receive("v2", 10, catalog.RollOutRunning)
	start := bootClock()
	o.clock = func() time.Duration { return start + 7*time.Second }
	const requests = 2000
	trying := 0
	for range requests {
		c, _ := o.Begin("s", "", time.Now().Add(time.Minute)).Choose(context.Background())
		if c.Version == "v2" {
			trying++
		}
	}
	share := trial.SessionShare(o.n.bounds().ExposureShare)
	require.InDelta(t, share*requests, trying, 100)
}

// Guards against answers of the old version that are cut off. The platform stops the old
// endpoints once a roll-out is completed, so the new version first gets all requests in a
// recorded state, of which all VMs learn before the next one is recorded.
func TestOldVersionEndsItsAnswers(t *testing.T) {
	o, order, began := newTakenOrder(t)
	order.learntAt = began + 19001*time.Millisecond
	_, ok := o.nextState(began+19500*time.Millisecond, order)
	require.False(t, ok, "all VMs are to learn of it")
	next, ok := o.nextState(began+19501*time.Millisecond, order)
	require.True(t, ok, "half a second later")
	require.Equal(t, catalog.RollOutCompleted, next)
}

// Guards against a roll-out that is never completed since all VMs restarted while the new version got all requests, and don't know the order's age.
func TestRestartedFleetCompletesARollOut(t *testing.T) {
	o := newOrders()
	o.receive("v2", 10, catalog.RollOutMoving)
	order := o.orders["s"]
	started := bootClock()
	_, ok := o.nextState(started+4*time.Second, order)
	require.False(t, ok, "answers of the old version may last for a session's pause")
	next, ok := o.nextState(started+5001*time.Millisecond, order)
	require.True(t, ok)
	require.Equal(t, catalog.RollOutCompleted, next)
}

// newTakenOrder returns a roll-out of 20 s whose new version was accepted after 19 s.
func newTakenOrder(t *testing.T) (o *orders, taken *order, began time.Duration) {
	o = newOrders()
	o.receive("v2", 10, catalog.RollOutRunning)
	taken = o.orders["s"]
	began = bootClock() - taken.trial.Age(bootClock())
	for range 100 {
		taken.trial.CountAnswer(began+10*time.Second, trial.Origin{}, trial.Result{})
		taken.trial.CountAnswer(began+10*time.Second, trial.Origin{New: true}, trial.Result{})
	}
	_, ok := o.nextState(began+14*time.Second, taken)
	require.False(t, ok, "too early to judge")
	next, ok := o.nextState(began+19001*time.Millisecond, taken)
	require.True(t, ok)
	require.Equal(t, catalog.RollOutMoving, next)
	o.receive("v2", 10, catalog.RollOutMoving)
	require.Equal(t, map[forward.VersionChoice]int{{Version: "v2"}: 200}, o.choices())
	return o, taken, began
}

// Guards against a version that fails once it gets all requests and keeps them, since the comparison had ended.
func TestMovingVersionThatTurnsBadIsLeft(t *testing.T) {
	o, taken, began := newTakenOrder(t)
	for i := range 40 {
		o.RecordAnswer(forward.AnswerResult{Service: "s", Version: "v2", Route: "r", Failed: i%2 == 0})
	}
	next, ok := o.nextState(began+19400*time.Millisecond, taken)
	require.True(t, ok)
	require.Equal(t, catalog.RollOutRolledBack, next)
	require.Equal(t, map[forward.VersionChoice]int{{ExcludedVersion: "v2"}: 200}, o.choices(), "before the state is recorded")

	o.receive("v2", 10, catalog.RollOutRolledBack)
	require.Equal(t, map[forward.VersionChoice]int{{ExcludedVersion: "v2"}: 200}, o.choices())
}

// Guards against a version that turned bad about its acceptance and is completed, with no way back, before enough answers tell.
func TestCompletionWaitsWhileTheVersionIsSuspect(t *testing.T) {
	for failures, wait := range map[int]bool{0: false, 3: false, 8: true} {
		o, taken, began := newTakenOrder(t)
		for i := range 20 {
			o.RecordAnswer(forward.AnswerResult{Service: "s", Version: "v2", Route: "r", Failed: i < failures})
		}
		taken.learntAt = began + 19001*time.Millisecond
		_, ok := o.nextState(began+19600*time.Millisecond, taken)
		require.Equal(t, !wait, ok, "%d failures", failures)
		next, ok := o.nextState(began+21002*time.Millisecond, taken)
		require.True(t, ok)
		require.Equal(t, catalog.RollOutCompleted, next, "not for longer than two seconds")
	}
}
