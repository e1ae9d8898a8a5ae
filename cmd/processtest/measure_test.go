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

// pollInterval is the time between two checks of a condition, and so the error of each
// measured time.
const pollInterval = 2 * time.Millisecond

// measureUntil waits for a condition and returns the time since start.
func measureUntil(t testing.TB, start time.Time, reached func() bool) time.Duration {
	t.Helper()
	for !reached() {
		require.Less(t, time.Since(start), testTimeout)
		time.Sleep(pollInterval)
	}
	return time.Since(start)
}

// logDurations logs the least, the median and the greatest of the given times.
func logDurations(t testing.TB, what string, all []time.Duration) {
	slices.Sort(all)
	t.Logf("%s: least %v, median %v, greatest %v of %d", what, all[0].Round(time.Millisecond),
		all[len(all)/2].Round(time.Millisecond), all[len(all)-1].Round(time.Millisecond), len(all))
}

// BenchmarkProcesses logs the figures for docs/measurements.md. The result is the logged
// figures of one iteration, not the time of the benchmark.
func BenchmarkProcesses(b *testing.B) {
	for _, vms := range []int{3, 7} {
		b.Run(fmt.Sprint(vms, "VMs"), func(b *testing.B) {
			for b.Loop() {
				w := newTestbed(b, vms, 2)
				w.measureChanges(b)
				w.measureDataCentreOut(b)
				w.measureOutage(b)
				w.measureKill(b)
			}
		})
	}
}

func configRevision(vm *process) (r int64) {
	var s struct{ Configuration struct{ Revision int64 } }
	if call(http.MethodGet, vm.serving["operators"], "/state", nil, &s) != nil {
		return 0
	}
	return s.Configuration.Revision
}

// measureChanges measures the time from the answer to an accepted change until the
// change is in force on all VMs.
func (w *testbed) measureChanges(t testing.TB) {
	var all []time.Duration
	for i := range 20 {
		action := []string{"withdraw", "serve"}[i%2]
		accepted := w.change(w.vms[i%len(w.vms)], "/v1/model-version/"+otherVersion+"/"+action, nil)
		start := time.Now()
		all = append(all, measureUntil(t, start, func() bool {
			return !slices.ContainsFunc(w.vms, func(vm *process) bool { return configRevision(vm) < accepted })
		}))
	}
	logDurations(t, "accepted change to in force on all VMs", all)
}

// measureDataCentreOut measures the time from the acceptance of a data centre's drain
// until the last stream begins on an engine in that data centre, with traffic over all VMs.
func (w *testbed) measureDataCentreOut(t testing.TB) {
	meta := config.Meta{Name: "norte-b", Labels: map[string]string{"use": "test"}}
	runner := config.Meta{Name: "runner-1", Labels: meta.Labels}
	var texts []json.RawMessage
	for _, o := range []config.Object{
		&config.DataCentre{Meta: meta, Region: "norte", State: config.DataCentreIn},
		&config.Endpoint{Meta: runner, Address: w.engines[1].serving["address"], DataCentre: "norte-b",
			Versions: []string{version, otherVersion}, Slots: 30, ColdSlots: 3, State: config.EndpointServing},
	} {
		text, err := config.Marshal(o)
		require.NoError(t, err)
		texts = append(texts, text)
	}
	body, err := json.Marshal(texts)
	require.NoError(t, err)
	w.change(w.vms[0], "/v1/apply", body)
	_, stop := w.startTraffic(t.Context(), 4*len(w.vms))
	started := func() int { return engineStats(t, w.engines[1]).Started }
	var all []time.Duration
	for range 3 {
		before := started()
		measureUntil(t, time.Now(), func() bool { return started() > before+20 })
		w.change(w.vms[0], "/v1/data-centre/norte-b/drain", nil)
		start, last := time.Now(), time.Duration(0)
		// The measurement ends after two seconds without new work.
		for seen := started(); time.Since(start) < last+2*time.Second; time.Sleep(pollInterval) {
			if n := started(); n > seen {
				seen, last = n, time.Since(start)
			}
		}
		all = append(all, last)
		w.change(w.vms[0], "/v1/data-centre/norte-b/take-back", nil)
	}
	stop()
	logDurations(t, "data centre out to the last new work in it", all)
}

// measureOutage measures the time from the end of a platform outage of 10 s until each
// VM runs an order.
func (w *testbed) measureOutage(t testing.TB) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*testTimeout)
	defer cancel()
	w.setOutage(true)
	refusedOrders, n := 0, 0
	runsOrder := func(vm *process) bool {
		n++
		o, err := sendOrder(ctx, vm, fmt.Sprint("measure-", n), http.Header{"X-Attempt": {"1"}})
		require.NoError(t, err)
		if o.status != http.StatusOK {
			refusedOrders++
		}
		return o.status == http.StatusOK
	}
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
		require.False(t, runsOrder(w.vms[n%len(w.vms)]))
	}
	t.Logf("platform away for 10 s: %d orders refused as not run, none run", refusedOrders)
	w.setOutage(false)
	start := time.Now()
	var all []time.Duration
	for _, vm := range w.vms {
		measureUntil(t, start, func() bool { return runsOrder(vm) })
		all = append(all, time.Since(start))
	}
	logDurations(t, "platform back to an order run at each VM", all)
}

// measureKill measures the time from kill -9 of a VM until the VMs that listed it in
// their address answers no longer do so.
func (w *testbed) measureKill(t testing.TB) {
	listsAddress := func(vm, named *process) bool {
		return strings.Contains(strings.Join(w.addresses(vm), " "), named.serving["callers"])
	}
	i := slices.IndexFunc(w.vms, func(vm *process) bool { return vm != w.vms[0] && listsAddress(w.vms[0], vm) })
	killed := w.vms[i]
	var listing []*process
	for _, vm := range w.vms {
		if vm != killed && listsAddress(vm, killed) {
			listing = append(listing, vm)
		}
	}
	killed.kill()
	start := time.Now()
	var all []time.Duration
	for _, vm := range listing {
		measureUntil(t, start, func() bool { return !listsAddress(vm, killed) })
		all = append(all, time.Since(start))
	}
	logDurations(t, "VM killed to no longer named, at each VM that named it", all)
}
