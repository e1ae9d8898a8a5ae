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

// Configure applies a new configuration. Endpoints that are removed or leaving, and
// those of a data centre that is out, get no new work from this call on.
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
		ep := d.endpoints[name]
		if ep == nil {
			ep = &endpoint{running: make(map[uint64]*Need), lastSuccess: make(map[string]time.Time)}
			d.endpoints[name] = ep
		}
		if ep.spec == nil || ep.spec.Slots != e.Slots {
			ep.share = d.cfg.Slots.Share(name, e.Slots)
		}
		ep.spec, ep.pools = e, pools
		specs = append(specs, d.specOf(s, ep))
		for _, p := range pools {
			members[p] = append(members[p], name)
		}
	}
	for name := range d.endpoints {
		if s.Endpoints[name] == nil {
			delete(d.endpoints, name)
		}
	}
	d.table.SetEndpoints(specs)
	for _, e := range s.Endpoints {
		leaving := e.State == config.EndpointLeaving
		dc := s.DataCentres[e.DataCentre]
		out := dc != nil && dc.State == config.DataCentreOut
		d.endpoints[e.Name].outOfService = leaving || out
		d.table.Update(e.Name, func(st *picker.State) { st.Leaving, st.DataCentreOut = leaving, out })
	}
	d.setPools(members)
}

func poolsOf(e *config.Endpoint) []string {
	if e.Service != "" {
		return []string{ServicePool(e.Service)}
	}
	return e.Versions
}

func (d *Dispatcher) specOf(s *config.Snapshot, ep *endpoint) picker.Spec {
	e, tier := ep.spec, picker.TierFar
	if dc := s.DataCentres[e.DataCentre]; e.DataCentre == d.cfg.DataCentre {
		tier = picker.TierLocal
	} else if dc != nil && dc.Region == d.cfg.Region {
		tier = picker.TierRegion
	}
	return picker.Spec{Name: e.Name, Pools: ep.pools, DataCentre: e.DataCentre, Tier: tier, Bounds: d.bounds(ep)}
}

// setPools creates, resizes and removes pools so that they match members, which holds
// the endpoint names by pool. Callers hold d.mu.
func (d *Dispatcher) setPools(members map[string][]string) {
	now := time.Now()
	for pool, names := range members {
		ps := d.pools[pool]
		if ps == nil {
			ps = &poolState{
				name:     pool,
				queue:    admission.New(admission.Config{}, rand.New(rand.NewPCG(d.rng.Uint64(), 0))),
				detector: outlier.New(),
				budget:   retry.New(retry.Ratio),
				tracker:  poison.New(len(names)),
			}
			d.pools[pool] = ps
		}
		ps.endpointCount = len(names)
		ps.detector.SetEndpoints(names)
		ps.tracker.Resize(len(names))
	}
	for pool, ps := range d.pools {
		if members[pool] == nil {
			ps.queue.SetCapacity(now, 0)
			d.deliverRefusals(ps, now)
			delete(d.pools, pool)
			continue
		}
		d.refresh(ps, now)
	}
}

// Rebalance recomputes this VM's share of the endpoints' warm slots after a change of
// membership. All shares are computed before d.mu is locked: for 2,000 endpoints and 400
// VMs that takes about 20 ms, during which a held lock would block every request.
func (d *Dispatcher) Rebalance() {
	shares := make(map[string]int)
	for name, slots := range d.slotsByEndpoint() {
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

func (d *Dispatcher) slotsByEndpoint() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int, len(d.endpoints))
	for name, e := range d.endpoints {
		out[name] = e.spec.Slots
	}
	return out
}

// updateRamps raises the slot bounds of endpoints in data centres that have returned to
// service. Callers hold d.mu.
func (d *Dispatcher) updateRamps(now time.Time) {
	for dc, isRamping := range d.ramping {
		if !isRamping {
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
