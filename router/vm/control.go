package vm

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/control"
	"goldcrestfork/control/gather"
	"goldcrestfork/control/lease"
	"goldcrestfork/control/rollouts"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/policy/rollout"
)

const (
	// methodCounts carries a VM's counts to the first VM of its data centre, and
	// methodDigest their sum to those that may hold the controller's lease.
	methodCounts = "roll-out.counts"
	methodDigest = "roll-out.digest"
	// candidates is how many VMs try for the controller's lease: one that holds it
	// and two that take it over. Each further one costs the platform a read every two seconds.
	candidates = 3
	// controllerLease names the lease of the control loops.
	controllerLease = "controller"
)

// loops are the control loops of one VM.
type loops struct {
	lease     *lease.Lease
	site      *gather.Site
	collector *gather.Collector
	rollOuts  *rollouts.Controller
}

func (v *VM) newLoops() *loops {
	l := &loops{site: gather.NewSite(v.settings.DataCentre)}
	l.collector = gather.NewCollector(v.liveDataCentres)
	l.lease = lease.New(v.store, controllerLease, v.process(), lease.DefaultSettings(), v.registry, v.log)
	l.rollOuts = rollouts.New(l.lease, control.NewEdited(v.cache, v.editor), l.collector, rollout.DefaultSettings(), v.registry, v.log)
	return l
}

// liveDataCentres names the data centres that have live VMs.
func (v *VM) liveDataCentres() []string {
	out := []string{v.settings.DataCentre}
	for _, m := range v.fleet.live() {
		out = append(out, m.DataCentre)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// site names the live VMs of this VM's data centre, and their processes.
func (v *VM) site() (vms, processes []string) {
	vms, processes = []string{v.settings.VM}, []string{v.process()}
	for _, m := range v.fleet.live() {
		if m.DataCentre == v.settings.DataCentre {
			vms = append(vms, m.ID)
			processes = append(processes, process(m.ID, m.Incarnation))
		}
	}
	return vms, processes
}

// candidates names the VMs that try for the controller's lease.
func (v *VM) candidates() []string {
	ranked := rendezvous.Rank(controllerLease, v.fleet.ids())
	return ranked[:min(candidates, len(ranked))]
}

// candidate says whether this VM tries for the lease.
func (v *VM) candidate() bool { return slices.Contains(v.candidates(), v.settings.VM) }

// process names one start of a VM: counts begin anew with each.
func process(vm string, incarnation uint64) string { return fmt.Sprintf("%s/%x", vm, incarnation) }

// process names this one.
func (v *VM) process() string { return process(v.settings.VM, v.incarnation) }

// gather sends this VM's counts to its data centre's first VM, and that one's sums
// to the candidates, while a roll-out is under way.
func (v *VM) gather(ctx context.Context) {
	for wait(ctx, gather.Interval) {
		s := v.cache.Snapshot()
		var underWay []string
		for name, r := range s.RollOuts {
			if rollout.UnderWay(r) {
				underWay = append(underWay, name)
			}
		}
		if len(underWay) == 0 {
			continue
		}
		slices.Sort(underWay)
		vms, processes := v.site()
		first := rendezvous.Best("gather/"+v.settings.DataCentre, vms)
		v.report(ctx, first)
		if first == v.settings.VM {
			v.sum(ctx, v.loops.site.Digest(processes, underWay, time.Now()))
		}
	}
}

func (v *VM) report(ctx context.Context, first string) {
	r := gather.NewReport(v.process(), v.recorder.Counts(v.cache.Snapshot()))
	if first == v.settings.VM {
		v.loops.site.Add(r, time.Now())
		return
	}
	v.post(ctx, first, methodCounts, r)
}

func (v *VM) sum(ctx context.Context, d gather.Digest) {
	for _, vm := range v.candidates() {
		if vm == v.settings.VM {
			v.loops.collector.Add(d, time.Now())
			continue
		}
		v.post(ctx, vm, methodDigest, d)
	}
}

// post sends a message of which the next one makes up for a lost one.
func (v *VM) post(ctx context.Context, vm, method string, message any) {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic("vm: own message does not encode: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, gather.Interval)
	defer cancel()
	_, _ = v.fleet.Call(ctx, vm, method, body)
}

func (v *VM) takeCounts(_ context.Context, from string, body []byte) ([]byte, error) {
	var r gather.Report
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	if !strings.HasPrefix(r.VM, from+"/") {
		return nil, fmt.Errorf("%s reports for %s", from, r.VM)
	}
	v.loops.site.Add(r, time.Now())
	return nil, nil
}

func (v *VM) takeDigest(_ context.Context, _ string, body []byte) ([]byte, error) {
	var d gather.Digest
	if err := cbor.Unmarshal(body, &d); err != nil {
		return nil, err
	}
	v.loops.collector.Add(d, time.Now())
	return nil, nil
}
