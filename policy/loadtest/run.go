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
	// tick is how often a VM looks at its queue and its ejected endpoints.
	tick = 100 * time.Millisecond
	// reportEvery is the period of load reports, reportLag how late they come.
	reportEvery = 2 * time.Second
	reportLag   = 2 * time.Second
	// eventLag is how late cache events come; one in eventLoss is lost.
	eventLag  = time.Second
	eventLoss = 10
	// shareEvery is how often VMs exchange what they hold against requests.
	shareEvery = time.Second
	// poisonTries is how often the caller of a poison request sends it, and
	// poisonPause the time in between.
	poisonTries = 12
	poisonPause = 300 * time.Millisecond
	// probePatience is how many expected lengths a request's deadline is away when it
	// may try out an endpoint on probation: time for the attempt at a quarter of the
	// speed that ejects, and for another one elsewhere.
	probePatience = 10
	// resend is after how long a caller sends again that got no time to come back.
	resend = 200 * time.Millisecond
	// tail is how long a run goes on at most for the answers to what was sent.
	tail = 320 * time.Second
)

// run is one measurement.
type run struct {
	loop    *loop
	w       *Workload
	s       *Scenario
	gens    []*generator // by account
	callers *rand.Rand   // which VM a caller uses
	faults  *rand.Rand   // lost events
	vms     []*vm
	engines map[string]*engine
	order   []*engine
	res     *Result
	open    int // tries under way, and those that callers will make
}

// Run measures one scenario with one choice of modules. The same seed gives the
// same first requests whatever the modules.
func Run(w Workload, s Scenario, m Modules, seed uint64) *Result {
	r := &run{
		loop:    &loop{now: epoch},
		w:       &w,
		s:       &s,
		callers: rand.New(rand.NewPCG(seed, 2)),
		faults:  rand.New(rand.NewPCG(seed, 3)),
		engines: make(map[string]*engine),
		res:     newResult(),
	}
	for account := range accountWeights {
		r.gens = append(r.gens, newGenerator(&w, &s, seed, account))
	}
	r.addEngines()
	r.addVMs(m, seed)
	r.addCallers()
	r.addFaults()
	r.loop.runUntil(epoch.Add(s.Length+tail), func() bool { return r.open == 0 && r.loop.since() > s.Length })
	return r.res
}

func (r *run) addEngines() {
	for i := range r.w.Endpoints {
		e := newEngine(r.loop, fmt.Sprintf("endpoint-%02d", i))
		e.res = r.res
		e.dataCentre = i % r.w.DataCentre
		e.slots, e.coldSlots, e.knee = r.w.Slots, r.w.ColdSlots, r.w.Slots
		if r.s.KneeShare > 0 {
			e.knee = int(r.s.KneeShare * float64(r.w.Slots))
		}
		e.changed = r.engineChanged
		e.stored = r.cacheEvent
		r.engines[e.name] = e
		r.order = append(r.order, e)
		r.res.capacity += e.capacity()
	}
	if r.s.KneeShare > 0 {
		// The capacity of a pool whose memory is short is that at the knee.
		e := r.order[0]
		r.res.capacity = float64(len(r.order)*e.knee) * e.rate(e.knee)
	}
}

func (r *run) addVMs(m Modules, seed uint64) {
	for i := range r.w.VMs {
		v := &vm{
			run: r, mods: m,
			rng:     rand.New(rand.NewPCG(seed, uint64(100+i))),
			budget:  retry.New(retry.Ratio),
			outlier: outlier.New(),
			poison:  poison.New(r.w.Endpoints),
			running: make(map[string]map[*call]bool),
		}
		v.queue = &fifo{}
		if m.Admission {
			v.queue = admission.New(admission.Config{}, rand.New(rand.NewPCG(seed, uint64(200+i))))
		}
		v.table = v.newTable(m)
		v.table.Set(r.specs(i))
		var names []string
		for _, e := range r.order {
			names = append(names, e.name)
			v.running[e.name] = make(map[*call]bool)
		}
		v.outlier.Set(names)
		v.settle()
		r.vms = append(r.vms, v)
		r.loop.every(tick, tick, v.settle)
	}
	if m.Poison {
		r.loop.every(shareEvery, shareEvery, r.sharePoison)
	}
	if r.s.StaleReports {
		r.loop.every(reportEvery, reportEvery, r.reportLoad)
	}
}

func (v *vm) newTable(m Modules) *picker.Table {
	cfg := picker.DefaultConfig(v.run.w.Weights)
	cfg.Limit.Fixed = !m.Limit
	if !m.Picker {
		v.only = &onlyNamed{}
		cfg.Request = append(cfg.Request, v.only)
		cfg.Affinity = false
	}
	return picker.NewTable(cfg)
}

// specs deals the endpoints' slots to the VMs: even parts, and the rest to VMs in
// turn, so that all parts of an endpoint add up to its slots.
func (r *run) specs(vmIndex int) []picker.Spec {
	var specs []picker.Spec
	for i, e := range r.order {
		tier := picker.TierRegion
		if e.dataCentre == vmIndex%r.w.DataCentre {
			tier = picker.TierLocal
		}
		specs = append(specs, picker.Spec{
			Name: e.name, Pools: []string{poolName}, Tier: tier,
			Bounds: limit.Bounds{
				Slots: deal(e.slots, r.w.VMs, i, vmIndex),
				Cold:  deal(e.coldSlots, r.w.VMs, i, vmIndex),
			},
		})
	}
	return specs
}

func deal(slots, vms, endpoint, vmIndex int) int {
	part := slots / vms
	rest := slots % vms
	if turn := (vmIndex - endpoint*rest%vms + vms) % vms; turn < rest {
		part++
	}
	return part
}

// engineChanged tells all VMs at once: each holds connections to each endpoint.
func (r *run) engineChanged(e *engine) {
	for _, v := range r.vms {
		if e.down && v.mods.Poison {
			v.blame(e)
		}
		if v.mods.Cold {
			v.table.SetCold(e.name, e.cold)
		}
		v.table.Update(e.name, func(s *picker.State) { s.Down = e.down })
		r.loop.after(0, v.settle)
	}
}

// blame holds a crash against what this VM had in flight there.
func (v *vm) blame(e *engine) {
	var prints []poison.Fingerprint
	for c := range v.running[e.name] {
		prints = append(prints, c.print)
	}
	if len(prints) > 0 {
		v.poison.Crashed(v.run.loop.now, e.name, prints, 0)
	}
}

func (r *run) sharePoison() {
	var all [][]poison.Count
	for _, v := range r.vms {
		all = append(all, v.poison.Counts(r.loop.now))
	}
	for i, v := range r.vms {
		for j, counts := range all {
			if i != j {
				v.poison.Merge(r.loop.now, counts)
			}
		}
	}
}

func (r *run) reportLoad() {
	taken := r.loop.now
	for _, e := range r.order {
		load := len(e.jobs)
		r.loop.after(reportLag, func() {
			e.reported = load
			for _, v := range r.vms {
				v.table.Report(e.name, picker.Report{InFlight: load, At: taken})
			}
		})
	}
}

func (r *run) cacheEvent(e *engine, stored, removed []uint64) {
	e.sequence++
	ev := picker.Event{Sequence: e.sequence, Stored: stored, Removed: removed}
	for _, v := range r.vms {
		if r.faults.IntN(eventLoss) == 0 {
			continue
		}
		r.loop.after(eventLag, func() { v.table.Event(e.name, ev) })
	}
}

func accountName(i int) string { return fmt.Sprintf("account-%d", i) }

// firstID is the part of a request's id that all its tries share.
const firstID = 1<<48 - 1

// fingerprint is the same for all tries of a request.
func fingerprint(r *request) poison.Fingerprint {
	var body [8]byte
	binary.LittleEndian.PutUint64(body[:], r.id&firstID)
	return poison.Of(accountName(r.account), poolName, body[:])
}
