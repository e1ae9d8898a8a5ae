package vm

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/standin/backend"
)

// BenchmarkOverload sends 0.8 and 2 times the capacity of two engines to one VM or three
// for some seconds, and reports what the callers receive. The engines run 16 requests at
// once and take 100 ms for each: 160 a second.
func BenchmarkOverload(b *testing.B) {
	const capacity, seconds, deadline = 160, 8, time.Second
	for _, c := range []struct {
		vms  int
		load float64
	}{{1, 0.8}, {1, 2}, {3, 0.8}, {3, 2}} {
		b.Run(fmt.Sprintf("%dvms/%gx", c.vms, c.load), func(b *testing.B) {
			for b.Loop() {
				w := newTestbed(b, 2)
				vms := w.startFleet(c.vms)
				for _, e := range w.engines {
					e.SetFaults(backend.EngineFaults{TokenDelay: 5 * time.Millisecond})
				}
				w.generateLoad(b, vms, c.load*capacity, seconds*time.Second, deadline)
			}
		})
	}
}

// startFleet starts VMs up to a fleet of n and waits until they know each other.
func (w *testbed) startFleet(n int) []*VM {
	vms := []*VM{w.vm}
	for i := 2; i <= n; i++ {
		v, _ := w.start(fmt.Sprint("vm-", i))
		vms = append(vms, v)
	}
	for _, v := range vms {
		w.waitInForce(v, w.vm.cache.Revision())
		eventually(w.t, func() bool { return len(v.fleet.liveOthers()) == n-1 && len(*v.slots.live.Load()) == n })
	}
	return vms
}

// loadResults collects what the callers received.
type loadResults struct {
	mu                       sync.Mutex
	good, late               int
	refused, refusedMaybeRun int
	took, refusedFor         []time.Duration
}

// generateLoad sends requests at a rate for the duration d and reports the results.
func (w *testbed) generateLoad(b *testing.B, vms []*VM, rate float64, d, deadline time.Duration) {
	var all loadResults
	var callers sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	end := time.Now().Add(d)
	sent := 0
	for now := range tick.C {
		if now.After(end) {
			break
		}
		sent++
		callers.Go(func() { w.sendAndRecord(b, vms[sent%len(vms)], &all, sent, deadline) })
	}
	callers.Wait()
	b.ReportMetric(float64(all.good)/d.Seconds(), "good/s")
	b.ReportMetric(float64(all.late), "late")
	b.ReportMetric(float64(all.refused)/d.Seconds(), "refused/s")
	b.ReportMetric(float64(all.refusedMaybeRun), "refused-not-notrun")
	b.ReportMetric(quantile(all.took, 0.99), "p99-ms")
	b.ReportMetric(quantile(all.refusedFor, 0.5), "refusal-p50-ms")
	b.ReportMetric(quantile(all.refusedFor, 0.99), "refusal-p99-ms")
}

func (w *testbed) sendAndRecord(b *testing.B, v *VM, all *loadResults, i int, deadline time.Duration) {
	header := map[string]string{"X-Deadline-Ms": fmt.Sprint(deadline.Milliseconds())}
	start := time.Now()
	resp := w.sendOpen(context.Background(), v, http.MethodPost, chatPath, bakerKey, header, chatBody(b, v1, fmt.Sprint(prompt, i), 20, true))
	defer resp.Body.Close()
	complete := false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		complete = complete || strings.Contains(lines.Text(), "[DONE]")
	}
	took := time.Since(start)
	all.mu.Lock()
	defer all.mu.Unlock()
	switch {
	case complete && took <= deadline:
		all.good++
		all.took = append(all.took, took)
	case resp.StatusCode != http.StatusOK:
		all.refused++
		all.refusedFor = append(all.refusedFor, took)
		if resp.Header.Get("X-Ran") != "not run" {
			all.refusedMaybeRun++
		}
	default:
		all.late++
	}
}

// quantile returns a quantile in milliseconds.
func quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return float64(d[int(q*float64(len(d)-1))].Microseconds()) / 1000
}

// BenchmarkSlowLookup measures look-ups at 50 a second while one of two instances takes
// 400 ms instead of none, for a class that may wait and for a class that is hedged.
func BenchmarkSlowLookup(b *testing.B) {
	const lookups = 150
	for _, class := range []config.Class{config.ClassInteractive, config.ClassImmediate} {
		b.Run(class.String(), func(b *testing.B) {
			for b.Loop() {
				w := newTestbed(b, 0)
				healthy := backend.NewService()
				account := *w.vm.cache.Snapshot().Accounts["baker"]
				account.Class = class
				second := *w.vm.cache.Snapshot().Endpoints["conector-1"]
				second.Name, second.Address = "conector-2", w.serve(healthy.Handler())
				w.put(&account, &second)
				lookup := func() time.Duration {
					start := time.Now()
					w.send(http.MethodGet, "/v1/services/conector/till/7", bakerKey, nil, "")
					return time.Since(start)
				}
				for range 200 {
					lookup()
				}
				w.service.SetFaults(backend.ServiceFaults{Hold: 400 * time.Millisecond})
				took := make([]time.Duration, lookups)
				var callers sync.WaitGroup
				tick := time.NewTicker(20 * time.Millisecond)
				for i := range took {
					<-tick.C
					callers.Go(func() { took[i] = lookup() })
				}
				callers.Wait()
				tick.Stop()
				b.ReportMetric(quantile(took, 0.5), "p50-ms")
				b.ReportMetric(quantile(took, 0.9), "p90-ms")
				b.ReportMetric(quantile(took, 0.99), "p99-ms")
				b.ReportMetric(float64(w.service.Reads()+healthy.Reads()-200-lookups)/lookups*100, "extra-%")
			}
		})
	}
}
