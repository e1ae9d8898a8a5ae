package orders

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"goldcrestfork/config"
	"goldcrestfork/standin/order"
	"goldcrestfork/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// engines maps endpoint names to stand-in engines; it implements Endpoints.
type engines map[string]*order.Endpoint

func (e engines) Order(ctx context.Context, ep *config.Endpoint, o Order) error {
	err := e[ep.Name].Order(ctx, order.Order{Fence: o.Fence, Versions: o.Versions, Role: o.Role})
	if errors.Is(err, order.ErrFenced) {
		return ErrFenced
	}
	return err
}

func (e engines) Report(ctx context.Context, ep *config.Endpoint) (Report, error) {
	r, err := e[ep.Name].Report(ctx)
	return Report{Placement: Placement{r.Versions, r.Role}, Incarnation: int64(r.Incarnation)}, err
}

// vm is one VM's controller with its configuration and its belief on whether it holds
// the lease.
type vm struct {
	*Controller
	snapshot atomic.Pointer[config.Snapshot]
	held     bool
}

func (v *vm) Held() (time.Time, bool)    { return time.Now().Add(time.Hour), v.held }
func (v *vm) Snapshot() *config.Snapshot { return v.snapshot.Load() }

// snapshot returns a configuration in which endpoint "e" serves the versions; fenced
// must match the stand-in.
func snapshot(revision int64, fenced bool, versions ...string) *config.Snapshot {
	s := &config.Snapshot{Revision: revision, Versions: map[string]*config.ModelVersion{}}
	for _, name := range []string{"v1", "v2", "v3"} {
		s.Versions[name] = &config.ModelVersion{Meta: config.Meta{Name: name}, State: config.VersionServing}
	}
	s.Endpoints = map[string]*config.Endpoint{
		"e": {Meta: config.Meta{Name: "e"}, Versions: versions, Fenced: fenced},
	}
	return s
}

func newVM(s *store.Store, e engines, first *config.Snapshot) *vm {
	v := &vm{held: true}
	v.snapshot.Store(first)
	v.Controller = New(v, v, s, e, DefaultSettings(), prometheus.NewRegistry(), zerolog.Nop())
	return v
}

// run ticks the VMs' controllers every Interval for d.
func run(t *testing.T, d time.Duration, vms ...*vm) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(Interval) {
		for _, v := range vms {
			v.Tick(t.Context())
		}
	}
}

func loaded(t *testing.T, e *order.Endpoint) []string {
	r, err := e.Report(t.Context())
	require.NoError(t, err)
	return r.Versions
}

const settleTime = 3 * time.Minute // the default waits for an unfenced endpoint and some rounds

// An order is still in flight after its sender gave up when the same VM or a new holder
// orders the version of a newer configuration. The late order must not bring the old
// version back: a fenced endpoint refuses it, and with an unfenced one the sender waits
// until it has arrived.
func TestLateOrder(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		for _, takeover := range []bool{true, false} {
			t.Run(fmt.Sprint("fenced=", fenced, "/takeover=", takeover), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runLateOrder(t, fenced, takeover) })
			})
		}
	}
}

func runLateOrder(t *testing.T, fenced, takeover bool) {
	s, e := store.New(), order.New(fenced)
	v := newVM(s, engines{"e": e}, snapshot(1, fenced, "v1"))
	e.SetFaults(order.Faults{Delay: 50 * time.Second})
	for !hasProblem(v) {
		run(t, Interval, v)
	}
	e.SetFaults(order.Faults{})
	if takeover {
		v = newVM(s, engines{"e": e}, snapshot(2, fenced, "v2"))
	} else {
		v.snapshot.Store(snapshot(2, fenced, "v2"))
	}
	switched := false
	for range 600 {
		run(t, Interval, v)
		now := loaded(t, e)
		switched = switched || len(now) == 1 && now[0] == "v2"
		require.False(t, switched && now[0] != "v2", "fell back to %v", now)
	}
	require.True(t, switched)
	if _, _, refused := e.Counts(); fenced {
		require.Equal(t, 1, refused)
	}
}

func hasProblem(v *vm) bool {
	d := v.Dump()
	return len(d) == 1 && d[0].Problem != ""
}

// A fault occurs on an endpoint that has the wanted placement. The endpoint must end up
// with the placement of the newest configuration where an order is possible, after the
// given number of orders that changed it.
func TestReconcileAfterFault(t *testing.T) {
	for name, c := range map[string]struct {
		fault   func(v *vm, s *store.Store, e *order.Endpoint)
		after   time.Duration
		want    []string
		changed int
	}{
		"nothing": {func(*vm, *store.Store, *order.Endpoint) {}, settleTime, []string{"v1"}, 1},
		"reply to the order lost": {func(v *vm, _ *store.Store, e *order.Endpoint) {
			e.SetFaults(order.Faults{LoseReplies: 1})
			v.snapshot.Store(snapshot(2, true, "v2"))
		}, settleTime, []string{"v2"}, 2},
		"reply to the record lost": {func(v *vm, s *store.Store, _ *order.Endpoint) {
			s.SetFaults(store.Faults{LoseReplies: 1})
			v.snapshot.Store(snapshot(2, true, "v2"))
		}, settleTime, []string{"v2"}, 2},
		"a version is withdrawn": {func(v *vm, _ *store.Store, _ *order.Endpoint) {
			next := snapshot(2, true, "v1", "v2")
			next.Versions["v1"].State = config.VersionWithdrawn
			v.snapshot.Store(next)
		}, 2 * Interval, []string{"v2"}, 2},
		"restart, found by the recheck": {func(_ *vm, _ *store.Store, e *order.Endpoint) {
			e.Restart()
		}, DefaultSettings().RecheckInterval + settleTime, []string{"v1"}, 2},
		"restart, found by an answer": {func(v *vm, _ *store.Store, e *order.Endpoint) {
			e.Restart()
			v.Suspect("e")
		}, 2 * Interval, []string{"v1"}, 2},
		"an order later than any bound": {func(v *vm, _ *store.Store, e *order.Endpoint) {
			e.Restart() // the endpoint loses its fencing number
			_ = e.Order(context.Background(), order.Order{Fence: 1, Versions: []string{"v3"}})
			v.Suspect("e")
		}, 2 * Interval, []string{"v1"}, 3},
		"endpoint down for ten minutes": {func(v *vm, _ *store.Store, e *order.Endpoint) {
			e.SetFaults(order.Faults{Down: true})
			v.snapshot.Store(snapshot(2, true, "v2"))
			time.AfterFunc(10*time.Minute, func() { e.SetFaults(order.Faults{}) })
		}, 10*time.Minute + settleTime, []string{"v2"}, 2},
		"store down: no order without a record": {func(v *vm, s *store.Store, _ *order.Endpoint) {
			s.SetFaults(store.Faults{Down: true})
			v.snapshot.Store(snapshot(2, true, "v2"))
		}, 10 * time.Minute, []string{"v1"}, 1},
		"store back": {func(v *vm, s *store.Store, _ *order.Endpoint) {
			s.SetFaults(store.Faults{Down: true})
			v.snapshot.Store(snapshot(2, true, "v2"))
			time.AfterFunc(10*time.Minute, func() { s.SetFaults(store.Faults{}) })
		}, 10*time.Minute + settleTime, []string{"v2"}, 2},
		"lease lost": {func(v *vm, _ *store.Store, _ *order.Endpoint) {
			v.held = false
			v.snapshot.Store(snapshot(2, true, "v2"))
		}, settleTime, []string{"v1"}, 1},
		"endpoint is leaving": {func(v *vm, _ *store.Store, _ *order.Endpoint) {
			next := snapshot(2, true, "v2")
			next.Endpoints["e"].State = config.EndpointLeaving
			v.snapshot.Store(next)
		}, settleTime, []string{"v1"}, 1},
	} {
		for _, fenced := range []bool{true, false} {
			t.Run(fmt.Sprint(name, "/fenced=", fenced), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, e := store.New(), order.New(fenced)
					v := newVM(s, engines{"e": e}, snapshot(1, fenced, "v1"))
					run(t, settleTime, v)
					require.Equal(t, []string{"v1"}, loaded(t, e))
					c.fault(v, s, e)
					v.Snapshot().Endpoints["e"].Fenced = fenced
					run(t, c.after, v)
					require.Equal(t, c.want, loaded(t, e))
					_, changed, _ := e.Counts()
					require.Equal(t, c.changed, changed)
				})
			})
		}
	}
}

// Two VMs both believe that they hold the lease, and one has an old configuration. They
// must not switch the endpoint back and forth between two versions, since each switch
// is a cold start for its callers.
func TestTwoHoldersWithDifferentConfigurations(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced=", fenced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, e := store.New(), order.New(fenced)
				old := newVM(s, engines{"e": e}, snapshot(1, fenced, "v1"))
				run(t, settleTime, old)
				next := newVM(s, engines{"e": e}, snapshot(2, fenced, "v2"))
				for range 1200 {
					old.Suspect("e")
					next.Suspect("e")
					run(t, Interval, old, next)
				}
				_, changed, _ := e.Counts()
				require.Equal(t, 2, changed)
				require.Equal(t, []string{"v2"}, loaded(t, e))
				require.Contains(t, old.Dump()[0].Problem, errOutdated.Error())
			})
		})
	}
}

// countAsWanted returns the number of endpoints with the wanted placement.
func countAsWanted(v *vm) int {
	n := 0
	for _, s := range v.Dump() {
		if s.State == stateAsWanted {
			n++
		}
	}
	return n
}

// BenchmarkRound measures the CPU time of a round without due tasks, by the number of
// endpoints.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint("endpoints=", n), func(b *testing.B) {
			s, all := snapshot(1, true, "v1"), engines{}
			for i := range n {
				name := fmt.Sprint("e-", i)
				all[name] = order.New(true)
				s.Endpoints[name] = &config.Endpoint{Meta: config.Meta{Name: name}, Versions: []string{"v1"}, Fenced: true}
			}
			all["e"] = order.New(true)
			platform := store.New()
			v := newVM(platform, all, s)
			rounds := 0
			for countAsWanted(v) <= n { // "e" is one more
				v.Tick(b.Context())
				rounds++
			}
			calls := platform.Counts()
			for b.Loop() {
				v.Tick(b.Context())
			}
			b.ReportMetric(float64(calls.Puts)/float64(n+1), "writes/endpoint")
			b.ReportMetric(float64(calls.Gets)/float64(n+1), "reads/endpoint")
			b.ReportMetric(float64(rounds), "rounds")
		})
	}
}
