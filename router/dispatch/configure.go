package dispatch

import (
	"math/rand/v2"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/outlier"
	"goldcrestfork/policy/picker"
	"goldcrestfork/policy/poison"
	"goldcrestfork/policy/retry"
)

// Configure takes a new configuration: endpoints that leave or whose data centre
// is out get no new work from this call on.
func (d *Dispatcher) Configure(s *config.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.centres.Observe(s.DataCentres, now)
	d.ramping = make(map[string]bool)
	for name, dc := range s.DataCentres {
		d.ramping[name] = dc.State == config.DataCentreIn && d.centres.Weight(name, now) < 1
	}
	specs := make([]picker.Spec, 0, len(s.Endpoints))
	members := make(map[string][]string)
	for name, e := range s.Endpoints {
		pools := poolsOf(e)
		own := d.endpoints[name]
		if own == nil {
			own = &endpoint{running: make(map[uint64]poison.Fingerprint), answered: make(map[string]time.Time)}
			d.endpoints[name] = own
		}
		if own.spec == nil || own.spec.Slots != e.Slots {
			own.share = d.cfg.Slots.Share(name, e.Slots)
		}
		own.spec, own.pools = e, pools
		specs = append(specs, d.specOf(s, own))
		for _, p := range pools {
			members[p] = append(members[p], name)
		}
	}
	for name := range d.endpoints {
		if s.Endpoints[name] == nil {
			delete(d.endpoints, name)
		}
	}
	d.table.Set(specs)
	for _, e := range s.Endpoints {
		leaving := e.State == config.EndpointLeaving
		dc := s.DataCentres[e.DataCentre]
		out := dc != nil && dc.State == config.DataCentreOut
		d.endpoints[e.Name].out = leaving || out
		d.table.Update(e.Name, func(st *picker.State) { st.Leaving, st.DataCentreOut = leaving, out })
	}
	d.setLines(members)
}

func poolsOf(e *config.Endpoint) []string {
	if e.Service != "" {
		return []string{ServicePool(e.Service)}
	}
	return e.Versions
}

func (d *Dispatcher) specOf(s *config.Snapshot, own *endpoint) picker.Spec {
	e, tier := own.spec, picker.TierFar
	if dc := s.DataCentres[e.DataCentre]; e.DataCentre == d.cfg.DataCentre {
		tier = picker.TierLocal
	} else if dc != nil && dc.Region == d.cfg.Region {
		tier = picker.TierRegion
	}
	return picker.Spec{Name: e.Name, Pools: own.pools, DataCentre: e.DataCentre, Tier: tier, Bounds: d.bounds(own)}
}

// setLines makes one line for each pool. Callers hold d.mu.
func (d *Dispatcher) setLines(members map[string][]string) {
	now := time.Now()
	for pool, names := range members {
		l := d.lines[pool]
		if l == nil {
			l = &line{
				name:     pool,
				queue:    admission.New(admission.Config{}, rand.New(rand.NewPCG(d.rng.Uint64(), 0))),
				detector: outlier.New(),
				budget:   retry.New(retry.Ratio),
				tracker:  poison.New(len(names)),
			}
			d.lines[pool] = l
		}
		l.size = len(names)
		l.detector.Set(names)
		l.tracker.Resize(len(names))
	}
	for pool, l := range d.lines {
		if members[pool] == nil {
			l.queue.SetCapacity(now, 0)
			d.answerRefused(l, now)
			delete(d.lines, pool)
			continue
		}
		d.refresh(l, now)
	}
}

// Rebalance takes a change of membership: the slots dealt to this VM may have moved.
// The shares of all endpoints are worked out before the tables are locked: for 2,000
// endpoints and 400 VMs that takes some 20 ms, in which no request would get on.
func (d *Dispatcher) Rebalance() {
	shares := make(map[string]int)
	for name, slots := range d.slotsByName() {
		shares[name] = d.cfg.Slots.Share(name, slots)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, share := range shares {
		if e := d.endpoints[name]; e != nil && e.share != share {
			e.share = share
			d.table.SetBounds(name, d.bounds(e))
		}
	}
}

func (d *Dispatcher) slotsByName() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int, len(d.endpoints))
	for name, e := range d.endpoints {
		out[name] = e.spec.Slots
	}
	return out
}

// ramp lets the slots of data centres that came back grow. Callers hold d.mu.
func (d *Dispatcher) ramp(now time.Time) {
	for dc, on := range d.ramping {
		if !on {
			continue
		}
		for name, e := range d.endpoints {
			if e.spec.DataCentre == dc {
				d.table.SetBounds(name, d.bounds(e))
			}
		}
		d.ramping[dc] = d.centres.Weight(dc, now) < 1
	}
}
