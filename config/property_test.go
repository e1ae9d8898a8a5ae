package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcrestfork/config/staleness"
	"goldcrestfork/standin/store"
)

// scheduleStep is one step of a random schedule: an operator's change or a fault, then a pause.
type scheduleStep struct {
	VM    int
	What  string
	Pause time.Duration
}

var events = rapid.Custom(func(t *rapid.T) scheduleStep {
	return scheduleStep{
		VM: rapid.IntRange(0, 3).Draw(t, "vm"),
		What: rapid.SampledFrom([]string{"change", "change", "change", "change", "count", "count", "lose", "refuse", "late",
			"down", "up", "history", "slow", "cut", "storecut", "heal", "stale"}).Draw(t, "what"),
		Pause: time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
	}
})

// result is the outcome of a change that its operator received.
type result struct {
	id       string
	change   Change
	revision int64
	err      error
}

// scheduleRun runs a schedule and collects the results of changes and the violated properties.
type scheduleRun struct {
	fleet *fleet
	late  *lateStore

	mu         sync.Mutex
	results    []result
	violations []string
}

func (h *scheduleRun) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// Random schedules of changes on any VM, with lost replies, late writes, outages, lost watch
// history, isolated VMs and stale configurations from peers. Afterwards each accepted change,
// and no refused one, must be in force at its operator's revision, a repeat must settle each
// unknown one, and no VM's revision may ever decrease.
func TestNoAcceptedChangeIsLostAndNoVMGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(events, 5, 30).Draw(rt, "schedule")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			h := &scheduleRun{late: &lateStore{Store: store.New()}}
			h.fleet = newFleet(h.late.Store, 4)
			violations = h.run(t, schedule)
		})
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// run runs the schedule and returns the violated properties.
func (h *scheduleRun) run(t *testing.T, schedule []scheduleStep) []string {
	ctx, cancel := context.WithCancel(t.Context())
	var background, changes sync.WaitGroup
	for _, v := range h.fleet.vms {
		v.editor.Store = h.late
		background.Go(func() { v.cache.Run(ctx) })
		background.Go(func() { h.observe(ctx, v) })
	}
	advance(time.Second)
	for i, e := range schedule {
		h.step(i, e, &changes)
		time.Sleep(e.Pause)
	}
	changes.Wait()
	h.late.wait.Wait()
	h.heal()
	advance(20 * time.Second)
	h.checkResults()
	cancel()
	background.Wait()
	return h.violations
}

// observe checks that the revisions published on a VM never decrease.
func (h *scheduleRun) observe(ctx context.Context, v *vm) {
	last := int64(0)
	v.cache.Subscribe(ctx, func(s *Snapshot) {
		if s.Revision < last {
			h.addViolation("%s: revision decreased from %d to %d", v.name, last, s.Revision)
		}
		last = s.Revision
	})
}

// step applies one step of the schedule. Changes run concurrently with later steps.
func (h *scheduleRun) step(i int, e scheduleStep, changes *sync.WaitGroup) {
	v := h.fleet.vms[e.VM]
	switch e.What {
	case "change":
		changes.Go(func() { h.change(v, i, centre(fmt.Sprintf("dc-%d", i))) })
	case "count":
		changes.Go(func() { h.count(v, i) })
	case "lose":
		h.late.SetFaults(store.Faults{LoseReplies: 2, Delay: 20 * time.Millisecond})
	case "refuse":
		h.late.SetFaults(store.Faults{RefuseWrites: 2, Delay: 20 * time.Millisecond})
	case "late":
		h.late.mu.Lock()
		h.late.delays = append(h.late.delays, e.Pause/2+1, e.Pause+1)
		h.late.mu.Unlock()
	case "down":
		h.late.SetFaults(store.Faults{Down: true})
	case "up":
		h.late.SetFaults(store.Faults{})
	case "history":
		h.late.SetFaults(store.Faults{HistoryLost: true})
	case "slow":
		h.late.SetFaults(store.Faults{Delay: e.Pause})
	case "cut":
		v.isolated.Store(true)
	case "storecut":
		v.storeUnreachable.Store(true)
	case "heal":
		v.isolated.Store(false)
		v.storeUnreachable.Store(false)
	case "stale":
		old, _ := Encode(v.cache.Snapshot())
		v.stale.Store(&old)
	}
}

// heal ends all faults.
func (h *scheduleRun) heal() {
	h.late.SetFaults(store.Faults{})
	for _, v := range h.fleet.vms {
		v.isolated.Store(false)
		v.storeUnreachable.Store(false)
		v.stale.Store(nil)
	}
}

// change makes one change and checks that the VM that accepted it has it in force.
func (h *scheduleRun) change(v *vm, i int, c Change) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r := result{id: fmt.Sprint("change-", i), change: c}
	r.revision, _, r.err = v.editor.ApplyOnce(ctx, r.id, -1, []Change{c})
	if r.err == nil && v.cache.Revision() < r.revision {
		h.addViolation("%s accepted revision %d and has %d in force", v.name, r.revision, v.cache.Revision())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, r)
}

// count adds a label to a shared object on condition that the object has not changed since it
// was read.
func (h *scheduleRun) count(v *vm, i int) {
	current := v.cache.Snapshot().Get(KindDataCentre, "shared")
	c := centre("shared")
	c.IfRevision = IfAbsent
	labels := map[string]string{}
	if current != nil {
		c.IfRevision = MetaOf(current).Revision
		for k, value := range MetaOf(current).Labels {
			labels[k] = value
		}
	}
	if len(labels) == maxLabels {
		return
	}
	labels[fmt.Sprintf("n%d-%s", len(labels), v.name)] = "x"
	c.Object.meta().Labels = labels
	h.change(v, i, c)
}

// checkResults compares the final configuration with the results that operators received.
func (h *scheduleRun) checkResults() {
	editor := Editor{Store: h.late}
	accepted := make(map[int64]string)
	shared := 0
	for _, r := range h.results {
		var unknown *UnknownError
		if errors.As(r.err, &unknown) {
			r.revision, _, r.err = editor.ApplyOnce(context.Background(), unknown.ID, unknown.Since, []Change{r.change})
			if errors.As(r.err, &unknown) {
				h.addViolation("%s: outcome still unknown after a repeat: %v", r.id, r.err)
			}
		}
		_, name := r.change.target()
		if r.err == nil {
			if other, ok := accepted[r.revision]; ok {
				h.addViolation("%s and %s were both accepted at revision %d", r.id, other, r.revision)
			}
			accepted[r.revision] = r.id
			if name == "shared" {
				shared++
			}
		}
	}
	advance(5 * time.Second)
	root := h.fleet.vms[0].cache.Snapshot()
	if root.Revision != int64(len(accepted)) {
		h.addViolation("revision %d after %d accepted changes", root.Revision, len(accepted))
	}
	if s := root.DataCentres["shared"]; s != nil && len(s.Labels) != shared {
		h.addViolation("%d of %d conditional changes are in force", len(s.Labels), shared)
	}
	for _, r := range h.results {
		_, name := r.change.target()
		if o := root.DataCentres[name]; r.err == nil && (o == nil || name != "shared" && o.Revision != r.revision) {
			h.addViolation("%s was accepted at revision %d and is lost: %v", r.id, r.revision, o)
		}
	}
	for _, v := range h.fleet.vms {
		if v.cache.Revision() != root.Revision || v.cache.Staleness(time.Now()).Verdict != staleness.Fresh {
			h.addViolation("%s is at revision %d, not %d, or not fresh: %+v", v.name, v.cache.Revision(), root.Revision, v.cache.Dump(time.Now()))
		}
	}
}

// Guards the property test against passing without any effect: a schedule of changes without
// faults is accepted whole.
func TestPropertyHarnessAcceptsPlainChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &scheduleRun{late: &lateStore{Store: store.New()}}
		h.fleet = newFleet(h.late.Store, 4)
		schedule := []scheduleStep{{What: "change"}, {VM: 3, What: "change"}, {VM: 1, What: "count", Pause: time.Second}, {What: "count"}}
		require.Empty(t, h.run(t, schedule))
		require.EqualValues(t, 4, h.fleet.vms[2].cache.Revision())
	})
}
