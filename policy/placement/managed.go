package placement

import "time"

// SetAllManaged makes all services managed (Managed).
func (t *Table) SetAllManaged() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.allManaged = true
}

// Managed reports whether the load of a service is managed over the fleet: the settings ask for it for
// all services, or an endpoint of it has stated how slow its machine is.
func (t *Table) Managed(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.managed(t.services[service])
}

func (t *Table) managed(p *pool) bool { return t.allManaged || p != nil && p.managed }

// ReportSlowdown records how long work takes on an endpoint's machine at the moment, as the endpoint
// stated: a percentage of the usual time. It makes the endpoint's service managed.
func (t *Table) ReportSlowdown(now time.Time, id string, percent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || percent <= 0 {
		return
	}
	p := t.services[e.Service]
	p.managed = true
	e.speed.State(now, percent)
	// Other choices of the next moment use the new figure at once.
	e.factor = e.speed.Factor(now, p.times.usual)
}

// AnyManaged reports whether any service is managed.
func (t *Table) AnyManaged() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.allManaged {
		return true
	}
	for _, p := range t.services {
		if p.managed {
			return true
		}
	}
	return false
}
