package placement

import (
	"slices"
	"strings"
	"time"
)

// Row is one endpoint in a state dump, with the reasons why it gets work or not.
type Row struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Version    string `json:"version"`
	Draining   bool   `json:"draining"`
	// Leaving says that the endpoint said in an answer that it leaves.
	Leaving bool  `json:"leaving"`
	Out     bool  `json:"dataCentreOut"`
	ColdMs  int64 `json:"coldMs"`
	AvoidMs int64 `json:"avoidMs"`
	// RestMs is the time for which the endpoint wants nothing from this VM.
	RestMs   int64 `json:"restMs"`
	Lost     bool  `json:"lost"`
	Detector int   `json:"detector"`
	// Failing is the share of its requests that the endpoint fails beyond what is usual in its
	// service, over all VMs; OtherLife says that another incarnation answers at its address.
	Failing   float64 `json:"failing"`
	OtherLife bool    `json:"otherLife"`
	// Limit is the request limit that the endpoint stated, in requests a second; null for none.
	Limit *float64 `json:"limit"`
	// Brittle is the number of requests that the endpoint said that it can turn away in a second;
	// null for none.
	Brittle *int `json:"brittle"`
	// Factor is the time that work takes at the endpoint relative to the usual time of its service;
	// 1 if the service isn't managed.
	Factor  float64 `json:"factor"`
	Load    float64 `json:"load"`
	Running int     `json:"running"`
	Slots   int     `json:"slots"`
	// Tokens are the tokens that the requests of all VMs there may take, as far as this VM knows;
	// null if the endpoint's memory isn't limited.
	Tokens *int `json:"tokens"`
}

// Rows returns all endpoints, sorted by ID.
func (t *Table) Rows(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.services {
		t.refreshFactors(now, p)
	}
	out := make([]Row, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		var limit *float64
		if rate := e.limit.Rate; e.limit.Limited {
			limit = &rate
		}
		var brittle *int
		if e.isBrittle() {
			bound, _ := e.needs.brittle.Bound()
			brittle = &bound
		}
		var tokens *int
		if u, known := t.usage(now, e); known {
			held := u.Held()
			tokens = &held
		}
		out = append(out, Row{
			ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Version: e.Version,
			Draining: e.Draining, Leaving: e.isLeaving(), Out: t.dataCentresOut[e.DataCentre], ColdMs: max(e.coldUntil.Sub(now).Milliseconds(), 0),
			AvoidMs: max(e.avoidUntil.Sub(now).Milliseconds(), 0), RestMs: e.restLeft(now).Milliseconds(), Lost: e.lost, Detector: int(e.outlierState),
			Failing: e.excessFailures, OtherLife: e.fleetRecord.OtherLife,
			Limit: limit, Brittle: brittle, Factor: e.timeFactor(), Load: e.load, Running: e.requests, Slots: e.Slots, Tokens: tokens,
		})
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.ID, b.ID) })
	return out
}
