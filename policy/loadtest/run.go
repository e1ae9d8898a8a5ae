package loadtest

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/limit"
	"goldcrestfork/policy/outlier"
	"goldcrestfork/policy/picker"
	"goldcrestfork/policy/poison"
	"goldcrestfork/policy/retry"
)

const (
	// queueCheckInterval is how often a VM checks its queue and its ejected
	// endpoints.
	queueCheckInterval = 100 * time.Millisecond
	// reportInterval is the period of load reports, and reportLag their delay.
	reportInterval = 2 * time.Second
	reportLag      = 2 * time.Second
	// eventLag is the delay of cache events. One in eventLoss events is lost.
	eventLag  = time.Second
	eventLoss = 10
	// poisonShareInterval is how often VMs exchange their counts of crashes by
	// request.
	poisonShareInterval = time.Second
	// poisonTries is how many times the caller of a poison request sends it, and
	// poisonResendDelay the time between two tries.
	poisonTries       = 12
	poisonResendDelay = 300 * time.Millisecond
	// probeDeadlineFactor is the number of expected durations that a request's
	// timeout must exceed before the request may probe an endpoint on probation.
	// That is enough time for an attempt at a quarter of the speed at which
	// endpoints are ejected, and for another attempt elsewhere.
	probeDeadlineFactor = 10
	// resendDelay is the time after which a caller sends again if the answer gave
	// no retry time.
	resendDelay = 200 * time.Millisecond
	// maxDrainTime bounds how long a run waits for the answers after the last new
	// request.
	maxDrainTime = 320 * time.Second
)

// run is the state of one measurement.
type run struct {
	loop         *loop
	workload     *Workload
	scenario     *Scenario
	generators   []*generator // indexed by account
	callerRand   *rand.Rand   // selects the VM for each try
	lossRand     *rand.Rand   // selects the cache events that are lost
	vms          []*vm
	engines      map[string]*engine
	engineOrder  []*engine
	result       *Result
	pendingTries int // tries in progress or scheduled
}

// Run measures one scenario with one selection of modules. The same seed gives the
// same first requests for any selection.
func Run(w Workload, s Scenario, m Modules, seed uint64) *Result {
	r := &run{
		loop:       &loop{now: epoch},
		workload:   &w,
		scenario:   &s,
		callerRand: rand.New(rand.NewPCG(seed, 2)),
		lossRand:   rand.New(rand.NewPCG(seed, 3)),
		engines:    make(map[string]*engine),
		result:     newResult(),
	}
	for account := range accountWeights {
		r.generators = append(r.generators, newGenerator(&w, &s, seed, account))
	}
	r.addEngines()
	r.addVMs(m, seed)
	r.startCallers()
	r.scheduleFaults()
	r.loop.runUntil(epoch.Add(s.Length+maxDrainTime), func() bool { return r.pendingTries == 0 && r.loop.elapsed() > s.Length })
	return r.result
}

// addEngines creates the endpoints and computes the pool's capacity.
func (r *run) addEngines() {
	for i := range r.workload.Endpoints {
		e := newEngine(r.loop, fmt.Sprintf("endpoint-%02d", i))
		e.result = r.result
		e.dataCentre = i % r.workload.DataCentres
		e.slots, e.coldSlots, e.knee = r.workload.Slots, r.workload.ColdSlots, r.workload.Slots
		if r.scenario.KneeShare > 0 {
			e.knee = int(r.scenario.KneeShare * float64(r.workload.Slots))
		}
		e.onStateChange = r.engineChanged
		e.onCacheEvent = r.cacheEvent
		r.engines[e.name] = e
		r.engineOrder = append(r.engineOrder, e)
		r.result.capacity += e.capacity()
	}
	if r.scenario.KneeShare > 0 {
		// A pool that is short of memory has its highest capacity at the knee.
		e := r.engineOrder[0]
		r.result.capacity = float64(len(r.engineOrder)*e.knee) * e.rate(e.knee)
	}
}

// addVMs creates the VMs and schedules their periodic work.
func (r *run) addVMs(m Modules, seed uint64) {
	for i := range r.workload.VMs {
		v := &vm{
			run: r, modules: m,
			rng:     rand.New(rand.NewPCG(seed, uint64(100+i))),
			budget:  retry.New(retry.Ratio),
			outlier: outlier.New(),
			poison:  poison.New(r.workload.Endpoints),
			running: make(map[string]map[*call]bool),
		}
		v.queue = &fifo{}
		if m.Admission {
			v.queue = admission.New(admission.Config{}, rand.New(rand.NewPCG(seed, uint64(200+i))))
		}
		v.table = v.newTable(m)
		v.table.SetEndpoints(r.specs(i))
		var names []string
		for _, e := range r.engineOrder {
			names = append(names, e.name)
			v.running[e.name] = make(map[*call]bool)
		}
		v.outlier.SetEndpoints(names)
		v.dispatchQueued()
		r.vms = append(r.vms, v)
		r.loop.every(queueCheckInterval, queueCheckInterval, v.dispatchQueued)
	}
	if m.Poison {
		r.loop.every(poisonShareInterval, poisonShareInterval, r.sharePoison)
	}
	if r.scenario.StaleReports {
		r.loop.every(reportInterval, reportInterval, r.reportLoad)
	}
}

// newTable returns the VM's endpoint table, configured for the selected modules.
func (v *vm) newTable(m Modules) *picker.Table {
	cfg := picker.DefaultConfig(v.run.workload.Weights)
	cfg.Limit.Fixed = !m.Limit
	if !m.Picker {
		v.endpointFilter = &nameFilter{}
		cfg.Request = append(cfg.Request, v.endpointFilter)
		cfg.Affinity = false
	}
	return picker.NewTable(cfg)
}

// specs returns the endpoints with the VM's part of their slots. Each endpoint's
// slots are divided evenly, and the remainder is given to one VM after another, so
// that the parts of an endpoint sum to its slots.
func (r *run) specs(vmIndex int) []picker.Spec {
	var specs []picker.Spec
	for i, e := range r.engineOrder {
		tier := picker.TierRegion
		if e.dataCentre == vmIndex%r.workload.DataCentres {
			tier = picker.TierLocal
		}
		specs = append(specs, picker.Spec{
			Name: e.name, Pools: []string{poolName}, Tier: tier,
			Bounds: limit.Bounds{
				Slots: slotsForVM(e.slots, r.workload.VMs, i, vmIndex),
				Cold:  slotsForVM(e.coldSlots, r.workload.VMs, i, vmIndex),
			},
		})
	}
	return specs
}

// slotsForVM returns one VM's part of an endpoint's slots.
func slotsForVM(slots, vms, endpoint, vmIndex int) int {
	part := slots / vms
	rest := slots % vms
	if turn := (vmIndex - endpoint*rest%vms + vms) % vms; turn < rest {
		part++
	}
	return part
}

// engineChanged updates all VMs at once after a change of an endpoint, because each
// VM has connections to each endpoint.
func (r *run) engineChanged(e *engine) {
	for _, v := range r.vms {
		if e.down && v.modules.Poison {
			v.attributeCrash(e)
		}
		if v.modules.Cold {
			v.table.SetCold(e.name, e.cold)
		}
		v.table.Update(e.name, func(s *picker.State) { s.Down = e.down })
		r.loop.after(0, v.dispatchQueued)
	}
}

// attributeCrash records a crash of an endpoint against the calls that this VM had
// in flight there.
func (v *vm) attributeCrash(e *engine) {
	var prints []poison.Fingerprint
	for c := range v.running[e.name] {
		prints = append(prints, c.fingerprint)
	}
	if len(prints) > 0 {
		v.poison.RecordCrash(v.run.loop.now, e.name, prints, 0)
	}
}

// sharePoison merges the crashes that each VM knows into those of the other VMs.
func (r *run) sharePoison() {
	var all [][]poison.Crash
	for _, v := range r.vms {
		all = append(all, v.poison.Crashes(r.loop.now))
	}
	for i, v := range r.vms {
		for j, crashes := range all {
			if i != j {
				v.poison.Merge(r.loop.now, crashes)
			}
		}
	}
}

// reportLoad schedules the delivery of the endpoints' current load to all VMs.
func (r *run) reportLoad() {
	taken := r.loop.now
	for _, e := range r.engineOrder {
		load := len(e.jobs)
		r.loop.after(reportLag, func() {
			e.reportedLoad = load
			for _, v := range r.vms {
				v.table.ApplyLoadReport(e.name, picker.LoadReport{InFlight: load, At: taken})
			}
		})
	}
}

// cacheEvent schedules the delivery of a cache event to the VMs; each VM may lose
// it.
func (r *run) cacheEvent(e *engine, stored, removed []uint64) {
	e.sequence++
	ev := picker.CacheEvent{Sequence: e.sequence, Stored: stored, Removed: removed}
	for _, v := range r.vms {
		if r.lossRand.IntN(eventLoss) == 0 {
			continue
		}
		r.loop.after(eventLag, func() { v.table.ApplyCacheEvent(e.name, ev) })
	}
}

func accountName(i int) string { return fmt.Sprintf("account-%d", i) }

// baseIDMask selects the part of a request's id that all its tries have in common.
const baseIDMask = 1<<48 - 1

// fingerprintOf returns the fingerprint of a request, which is the same for all its
// tries.
func fingerprintOf(r *request) poison.Fingerprint {
	var body [8]byte
	binary.LittleEndian.PutUint64(body[:], r.id&baseIDMask)
	return poison.NewFingerprint(accountName(r.account), poolName, body[:])
}
