package dispatch

import (
	"slices"
	"strings"
	"time"
)

// PoolDump is the state of one pool in the state dump.
type PoolDump struct {
	Pool      string `json:"pool"`
	Waiting   int    `json:"waiting"`
	Running   int    `json:"running"`
	Capacity  int    `json:"capacity"`
	Endpoints int    `json:"endpoints"`
	// Quarantined is the number of requests that are refused because they crash the
	// endpoints that run them.
	Quarantined int `json:"quarantined"`
	// QuarantinedParts is the number of parts of prompts whose requests are refused because they do.
	QuarantinedParts int `json:"quarantinedParts"`
}

// EndpointDump is the state of one endpoint in the state dump. It shows why the endpoint
// gets work or not.
type EndpointDump struct {
	Endpoint    string   `json:"endpoint"`
	DataCentre  string   `json:"dataCentre"`
	Pools       []string `json:"pools"`
	State       string   `json:"state"`
	Cold        bool     `json:"cold"`
	Down        bool     `json:"down"`
	Incarnation string   `json:"incarnation,omitempty"`
	Running     int      `json:"running"`
	Slots       int      `json:"slots"`
	ColdSlots   int      `json:"coldSlots"`
	Detector    string   `json:"detector"`
}

// Dump is the dispatcher's part of the state dump.
type Dump struct {
	Pools     []PoolDump     `json:"pools"`
	Endpoints []EndpointDump `json:"endpoints"`
}

// Dump returns the state of the queues and of each endpoint, sorted by name.
func (d *Dispatcher) Dump() Dump {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var out Dump
	for name, ps := range d.pools {
		waiting, running := ps.queue.Len()
		slots, _ := d.table.Capacity(name)
		out.Pools = append(out.Pools, PoolDump{Pool: name, Waiting: waiting, Running: running, Capacity: slots, Endpoints: ps.endpointCount, Quarantined: len(ps.tracker.Quarantined(now)), QuarantinedParts: len(ps.tracker.QuarantinedParts(now))})
	}
	for name, e := range d.endpoints {
		b := d.bounds(e)
		row := EndpointDump{
			Endpoint: name, DataCentre: e.spec.DataCentre, Pools: e.pools, State: string(e.spec.State),
			Cold: e.cold, Down: e.down, Incarnation: e.incarnation, Running: len(e.running),
			Slots: b.Slots, ColdSlots: b.Cold, Detector: stateNames[e.detected],
		}
		out.Endpoints = append(out.Endpoints, row)
	}
	slices.SortFunc(out.Pools, func(a, b PoolDump) int { return strings.Compare(a.Pool, b.Pool) })
	slices.SortFunc(out.Endpoints, func(a, b EndpointDump) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Waiting returns the number of requests that wait in a pool.
func (d *Dispatcher) Waiting(pool string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	ps := d.pools[pool]
	if ps == nil {
		return 0
	}
	waiting, _ := ps.queue.Len()
	return waiting
}
