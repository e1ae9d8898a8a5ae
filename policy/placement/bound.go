package placement

import (
	"time"

	"goldcrestfork/policy/outlier"
)

// LoadBound bounds the requests in progress at the endpoints of one version of a service.
type LoadBound struct {
	// Version is that of the endpoints; empty for no bound.
	Version string
	// Others is the bound of all endpoints but the one with the ID FirstID, and First that one's, in requests.
	Others, First int
	FirstID       string
}

// BoundLoad replaces the bound on the load of a service's endpoints.
func (t *Table) BoundLoad(service string, b LoadBound) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.services[service]; p != nil {
		p.bound = b
	}
}

// withinBound reports whether the endpoint may get another request as far as the bound on its version's load
// allows it.
func (t *Table) withinBound(now time.Time, e *endpoint) bool {
	b := &t.services[e.Service].bound
	if b.Version == "" || e.Version != b.Version {
		return true
	}
	most := b.Others
	if e.ID == b.FirstID {
		most = b.First
	}
	running := float64(e.requests)
	if t.peerLoadFresh(now) {
		running += e.peerLoad.Work
	}
	return running < float64(most)
}

// Count returns the number of endpoints of a service's version.
func (t *Table) Count(service, version string) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.services[service]; p != nil {
		for _, e := range p.list {
			if e.Version == version {
				n++
			}
		}
	}
	return n
}

// Steady returns the IDs of the endpoints of a service's version that may get any request as far as this VM
// knows: not in cold start, and without a failure, a rest or a leave.
func (t *Table) Steady(now time.Time, service, version string) (ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[service]
	if p == nil {
		return nil
	}
	r := &Request{Service: service, Version: version}
	for _, e := range p.list {
		if e.usableButForNeeds(now, r) && !e.isResting(now) && !e.cold(now) && e.avoidFor == 0 && e.outlierState == outlier.Healthy {
			ids = append(ids, e.ID)
		}
	}
	return ids
}
