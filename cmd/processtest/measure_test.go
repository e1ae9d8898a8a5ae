package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
)

// look is how often a state is looked at, which is the error of each figure.
const look = 2 * time.Millisecond

// since waits for a state and returns the time from start.
func since(t testing.TB, start time.Time, state func() bool) time.Duration {
	t.Helper()
	for !state() {
		require.Less(t, time.Since(start), guard)
		time.Sleep(look)
	}
	return time.Since(start)
}

// figures prints the least, the median and the greatest of some times.
func figures(t testing.TB, what string, all []time.Duration) {
	slices.Sort(all)
	t.Logf("%s: least %v, median %v, greatest %v of %d", what, all[0].Round(time.Millisecond),
		all[len(all)/2].Round(time.Millisecond), all[len(all)-1].Round(time.Millisecond), len(all))
}

// BenchmarkProcesses prints what docs/measurements.md holds: one round, whose figures
// are those that it logs and not its time.
func BenchmarkProcesses(b *testing.B) {
	for _, vms := range []int{3, 7} {
		b.Run(fmt.Sprint(vms, "VMs"), func(b *testing.B) {
			for b.Loop() {
				w := newWorld(b, vms, 2)
				w.measureChanges(b)
				w.measureDataCentreOut(b)
				w.measureOutage(b)
				w.measureKill(b)
			}
		})
	}
}

func revision(vm *process) (r int64) {
	var s struct{ Configuration struct{ Revision int64 } }
	if ask(http.MethodGet, vm.serving["operators"], "/state", nil, &s) != nil {
		return 0
	}
	return s.Configuration.Revision
}

// measureChanges: from the answer to an accepted change to its being in force on all VMs.
func (w *world) measureChanges(t testing.TB) {
	var all []time.Duration
	for i := range 20 {
		action := []string{"withdraw", "serve"}[i%2]
		accepted := w.change(w.vms[i%len(w.vms)], "/v1/model-version/"+other+"/"+action, nil)
		start := time.Now()
		all = append(all, since(t, start, func() bool {
			return !slices.ContainsFunc(w.vms, func(vm *process) bool { return revision(vm) < accepted })
		}))
	}
	figures(t, "accepted change to in force on all VMs", all)
}

// measureDataCentreOut: from the acceptance of a data centre's drain to the last
// stream that began on an engine in it, under traffic over all VMs.
func (w *world) measureDataCentreOut(t testing.TB) {
	meta := config.Meta{Name: "norte-b", Labels: map[string]string{"use": "test"}}
	runner := config.Meta{Name: "runner-1", Labels: meta.Labels}
	var texts []json.RawMessage
	for _, o := range []config.Object{
		&config.DataCentre{Meta: meta, Region: "norte", State: config.DataCentreIn},
		&config.Endpoint{Meta: runner, Address: w.engines[1].serving["address"], DataCentre: "norte-b",
			Versions: []string{version, other}, Slots: 30, ColdSlots: 3, State: config.EndpointServing},
	} {
		text, err := config.Marshal(o)
		require.NoError(t, err)
		texts = append(texts, text)
	}
	body, err := json.Marshal(texts)
	require.NoError(t, err)
	w.change(w.vms[0], "/v1/apply", body)
	_, stop := w.traffic(t.Context(), 4*len(w.vms))
	started := func() int { return stats(t, w.engines[1]).Started }
	var all []time.Duration
	for range 3 {
		before := started()
		since(t, time.Now(), func() bool { return started() > before+20 })
		w.change(w.vms[0], "/v1/data-centre/norte-b/drain", nil)
		start, last := time.Now(), time.Duration(0)
		// Two seconds without new work end the count.
		for seen := started(); time.Since(start) < last+2*time.Second; time.Sleep(look) {
			if n := started(); n > seen {
				seen, last = n, time.Since(start)
			}
		}
		all = append(all, last)
		w.change(w.vms[0], "/v1/data-centre/norte-b/take-back", nil)
	}
	stop()
	figures(t, "data centre out to the last new work in it", all)
}

// measureOutage: from the platform's return after 10 s to the first order accepted.
func (w *world) measureOutage(t testing.TB) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*guard)
	defer cancel()
	w.outage(true)
	refusedOrders, n := 0, 0
	first := func(vm *process) bool {
		n++
		o, err := refund(ctx, vm, fmt.Sprint("measure-", n), http.Header{"X-Attempt": {"1"}})
		require.NoError(t, err)
		if o.status != http.StatusOK {
			refusedOrders++
		}
		return o.status == http.StatusOK
	}
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
		require.False(t, first(w.vms[n%len(w.vms)]))
	}
	t.Logf("platform away for 10 s: %d orders refused as not run, none run", refusedOrders)
	w.outage(false)
	start := time.Now()
	var all []time.Duration
	for _, vm := range w.vms {
		since(t, start, func() bool { return first(vm) })
		all = append(all, time.Since(start))
	}
	figures(t, "platform back to an order run at each VM", all)
}

// measureKill: from kill -9 of a VM to when those that named it in their address
// answers no longer do.
func (w *world) measureKill(t testing.TB) {
	names := func(vm, named *process) bool {
		return strings.Contains(strings.Join(w.addresses(vm), " "), named.serving["callers"])
	}
	i := slices.IndexFunc(w.vms, func(vm *process) bool { return vm != w.vms[0] && names(w.vms[0], vm) })
	killed := w.vms[i]
	var naming []*process
	for _, vm := range w.vms {
		if vm != killed && names(vm, killed) {
			naming = append(naming, vm)
		}
	}
	killed.kill()
	start := time.Now()
	var all []time.Duration
	for _, vm := range naming {
		since(t, start, func() bool { return !names(vm, killed) })
		all = append(all, time.Since(start))
	}
	figures(t, "VM killed to no longer named, at each VM that named it", all)
}
