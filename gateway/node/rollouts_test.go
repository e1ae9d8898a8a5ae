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
	n.view = view.New(view.Settings{Table: placement.New("dc"), Clock: bootClock, Log: zerolog.Nop()})
	n.rollouts = newRollouts(n)
	return &orders{rollouts: n.rollouts, view: n.view, duration: 20 * time.Second}
}

func (o *orders) receive(target string, created int64, state catalog.RollOutState) {
	o.revision++
	r := catalog.RollOut{Name: "s", Service: "s", Target: target, Created: created, Revision: o.revision, State: state, Duration: o.duration}
	o.view.ApplyRollOuts(view.Update[catalog.RollOut]{Revision: o.revision, Changes: []view.Change[catalog.RollOut]{
		{Item: view.Item[catalog.RollOut]{Name: "s", Revision: o.revision, Value: r}},
	}})
	o.update()
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
// recorded state. The old version keeps a session's longest pause to finish, less if the
// roll-out's time runs out.
func TestOldVersionEndsItsAnswers(t *testing.T) {
	o := newOrders()
	o.receive("v2", 10, catalog.RollOutRunning)
	order := o.orders["s"]
	began := bootClock() - order.trial.Age(bootClock())
	for range 100 {
		order.trial.CountAnswer(began+10*time.Second, false, trial.Result{})
		order.trial.CountAnswer(began+10*time.Second, true, trial.Result{})
	}
	_, ok := o.nextState(began+10*time.Second, order)
	require.False(t, ok, "too early to judge")
	next, ok := o.nextState(began+14*time.Second, order)
	require.True(t, ok)
	require.Equal(t, catalog.RollOutMoving, next)

	o.receive("v2", 10, catalog.RollOutMoving)
	require.Equal(t, map[forward.VersionChoice]int{{Version: "v2"}: 200}, o.choices())
	order.learntAt = began + 10*time.Second
	_, ok = o.nextState(began+14*time.Second, order)
	require.False(t, ok)
	next, ok = o.nextState(began+15*time.Second, order)
	require.True(t, ok, "a session's pause of five seconds")
	require.Equal(t, catalog.RollOutCompleted, next)
	order.learntAt = began + 14*time.Second
	_, ok = o.nextState(began+16*time.Second+time.Millisecond, order)
	require.True(t, ok, "0.8 of the roll-out's time")
}
