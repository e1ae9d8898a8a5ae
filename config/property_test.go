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

// event is one step of a random schedule: an editor's change or a fault, then a pause.
type event struct {
	VM    int
	What  string
	Pause time.Duration
}

var events = rapid.Custom(func(t *rapid.T) event {
	return event{
		VM: rapid.IntRange(0, 3).Draw(t, "vm"),
		What: rapid.SampledFrom([]string{"change", "change", "change", "change", "count", "count", "lose", "refuse", "late",
			"down", "up", "history", "slow", "cut", "storecut", "heal", "stale"}).Draw(t, "what"),
		Pause: time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
	}
})

// result is one change as its operator saw it.
type result struct {
	id       string
	change   Change
	revision int64
	err      error
}

// history runs a schedule and gathers what operators were told and what VMs had in force.
type history struct {
	fleet *fleet
	late  *lateStore

	mu      sync.Mutex
	results []result
	broken  []string
}

func (h *history) breach(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broken = append(h.broken, fmt.Sprintf(format, args...))
}

// Several operators make changes on any VM while replies are lost, writes land
// late, the platform goes down, watches lose their history, VMs are cut and peers
// give old configurations. Afterwards: each accepted change is there at the
// revision its operator was told, none that was refused is, an unknown one is
// settled by a repeat, and no VM ever went back.
func TestNoAcceptedChangeIsLostAndNoVMGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(events, 5, 30).Draw(rt, "schedule")
		var broken []string
		synctest.Test(t, func(t *testing.T) {
			h := &history{late: &lateStore{Store: store.New()}}
			h.fleet = newFleet(h.late.Store, 4)
			broken = h.run(t, schedule)
		})
		if len(broken) > 0 {
			rt.Fatalf("%v", broken)
		}
	})
}

func (h *history) run(t *testing.T, schedule []event) []string {
	ctx, cancel := context.WithCancel(t.Context())
	var background, changes sync.WaitGroup
	for _, v := range h.fleet.vms {
		v.editor.Store = h.late
		background.Go(func() { v.cache.Run(ctx) })
		background.Go(func() { h.observe(ctx, v) })
	}
	settle(time.Second)
	for i, e := range schedule {
		h.step(i, e, &changes)
		time.Sleep(e.Pause)
	}
	changes.Wait()
	h.late.wait.Wait()
	h.heal()
	settle(20 * time.Second)
	h.judge()
	cancel()
	background.Wait()
	return h.broken
}

// observe checks every publication on a VM.
func (h *history) observe(ctx context.Context, v *vm) {
	last := int64(0)
	v.cache.Subscribe(ctx, func(s *Snapshot) {
		if s.Revision < last {
			h.breach("%s went back from %d to %d", v.name, last, s.Revision)
		}
		last = s.Revision
	})
}

func (h *history) step(i int, e event, changes *sync.WaitGroup) {
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
		h.late.late = append(h.late.late, e.Pause/2+1, e.Pause+1)
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
		v.cut.Store(true)
	case "storecut":
		v.storeCut.Store(true)
	case "heal":
		v.cut.Store(false)
		v.storeCut.Store(false)
	case "stale":
		old, _ := Encode(v.cache.Snapshot())
		v.stale.Store(&old)
	}
}

func (h *history) heal() {
	h.late.SetFaults(store.Faults{})
	for _, v := range h.fleet.vms {
		v.cut.Store(false)
		v.storeCut.Store(false)
		v.stale.Store(nil)
	}
}

// change makes one change and reads its effect on the VM that took it.
func (h *history) change(v *vm, i int, c Change) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r := result{id: fmt.Sprint("change-", i), change: c}
	r.revision, _, r.err = v.editor.ApplyOnce(ctx, r.id, -1, []Change{c})
	if r.err == nil && v.cache.Revision() < r.revision {
		h.breach("%s accepted %d and reads %d", v.name, r.revision, v.cache.Revision())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, r)
}

// count adds one label to a shared object on condition that nobody changed it since it was read.
func (h *history) count(v *vm, i int) {
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

// judge compares the end with what operators were told.
func (h *history) judge() {
	editor := Editor{Store: h.late}
	accepted := make(map[int64]string)
	shared := 0
	for _, r := range h.results {
		var unknown *UnknownError
		if errors.As(r.err, &unknown) {
			r.revision, _, r.err = editor.ApplyOnce(context.Background(), unknown.ID, unknown.Since, []Change{r.change})
			if errors.As(r.err, &unknown) {
				h.breach("%s is still unknown: %v", r.id, r.err)
			}
		}
		_, name := r.change.target()
		if r.err == nil {
			if other, ok := accepted[r.revision]; ok {
				h.breach("%s and %s were both accepted at %d", r.id, other, r.revision)
			}
			accepted[r.revision] = r.id
			if name == "shared" {
				shared++
			}
		}
	}
	settle(5 * time.Second)
	root := h.fleet.vms[0].cache.Snapshot()
	if root.Revision != int64(len(accepted)) {
		h.breach("revision %d after %d accepted changes", root.Revision, len(accepted))
	}
	if s := root.DataCentres["shared"]; s != nil && len(s.Labels) != shared {
		h.breach("%d of %d conditional changes remain", len(s.Labels), shared)
	}
	for _, r := range h.results {
		_, name := r.change.target()
		if o := root.DataCentres[name]; r.err == nil && (o == nil || name != "shared" && o.Revision != r.revision) {
			h.breach("%s was accepted at %d and is lost: %v", r.id, r.revision, o)
		}
	}
	for _, v := range h.fleet.vms {
		if v.cache.Revision() != root.Revision || v.cache.Staleness(time.Now()).Verdict != staleness.Fresh {
			h.breach("%s is at %d, not %d: %+v", v.name, v.cache.Revision(), root.Revision, v.cache.Dump(time.Now()))
		}
	}
}

// The property above must see something happen: a schedule of plain changes is accepted whole.
func TestPropertyHarnessAcceptsPlainChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{late: &lateStore{Store: store.New()}}
		h.fleet = newFleet(h.late.Store, 4)
		schedule := []event{{What: "change"}, {VM: 3, What: "change"}, {VM: 1, What: "count", Pause: time.Second}, {What: "count"}}
		require.Empty(t, h.run(t, schedule))
		require.EqualValues(t, 4, h.fleet.vms[2].cache.Revision())
	})
}
