package tally

import (
	"slices"
	"sync"
	"time"

	"goldcrestfork/fleet/rendezvous"
)

const (
	// reportTTL is how long a VM's report counts. VMs with work under way report at least
	// every refreshInterval; 2 s is four of these.
	reportTTL = 2 * time.Second
	// summaryTTL is how long another data centre's sums count: ten of its summaries.
	summaryTTL = time.Second
	// maxStateBytes bounds a State in one datagram. The endpoints with the most work are included, since
	// they are the ones to avoid; the others look idle.
	maxStateBytes = 1250
	// avoidedBytes is the size of an avoided endpoint in a datagram, at most.
	avoidedBytes = 5
	// maxAvoided bounds the avoided endpoints in one datagram.
	maxAvoided = 60
	// minAvoidingVMs is how many VMs of a data centre must avoid an endpoint before the others
	// do. A single VM may itself be the one that is partitioned. Only VMs of the same data
	// centre count, since two data centres that can't reach each other would otherwise make
	// all VMs avoid the endpoints of both.
	minAvoidingVMs = 2
	// maxWork bounds one VM's work at an endpoint, in thousands of prompt tokens; larger values
	// are ignored as invalid. An engine holds less than a million tokens.
	maxWork = 1e5
)

// Entry is the work under way at one endpoint, in thousands of prompt tokens. Endpoint is the
// hash that EndpointHash returns.
type Entry struct {
	Endpoint uint32
	Work     float32
}

// EndpointHash returns the hash that identifies an endpoint in messages. Two endpoints with the
// same hash, one pair in a few million, only appear busier than they are.
func EndpointHash(endpoint string) uint32 { return rendezvous.HashOf(endpoint).Short() }

// State is the load of the endpoints: one VM's in a report, that of all other VMs in an answer.
type State struct {
	// Work is the work under way by endpoint.
	Work WorkList `cbor:"1,keyasint,omitempty"`
	// Avoided are the endpoints that recently broke or refused connections.
	Avoided []uint32 `cbor:"2,keyasint,omitempty"`
}

// row is the last state that a VM sent, and when it arrived.
type row struct {
	incarnation, sequence uint64
	receivedAt            time.Duration
	State
}

// Aggregator holds the states and outcomes that a keeper received. It is safe for concurrent use;
// methods take the current time.
type Aggregator struct {
	mu        sync.Mutex
	reports   map[string]*row // by VM of this data centre
	summaries map[string]*row // by keeper of another data centre
	// outcomes are the outcomes of attempts by VM of this data centre, remoteOutcomes the sums
	// by keeper of another data centre.
	outcomes, remoteOutcomes outcomeRows
	// sums are the sums by VM of this data centre, remoteSums the totals by keeper of another one.
	sums, remoteSums sumRows
}

// NewAggregator returns an empty aggregator.
func NewAggregator() *Aggregator {
	return &Aggregator{
		reports: make(map[string]*row), summaries: make(map[string]*row),
		outcomes: make(outcomeRows), remoteOutcomes: make(outcomeRows),
		sums: newSumRows(), remoteSums: newSumRows(),
	}
}

// RecordReport stores the state of a VM of this data centre, unless a later one is known.
func (a *Aggregator) RecordReport(now time.Duration, vm string, incarnation, sequence uint64, s State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	storeRow(a.reports, now, vm, incarnation, sequence, s)
}

// RecordSummary stores another data centre's sums from its keeper, unless later ones are known.
func (a *Aggregator) RecordSummary(now time.Duration, keeper string, incarnation, sequence uint64, entries []Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	storeRow(a.summaries, now, keeper, incarnation, sequence, State{Work: entries})
}

// storeRow stores a VM's state, unless a later one of the same incarnation is known.
func storeRow(rows map[string]*row, now time.Duration, name string, incarnation, sequence uint64, s State) {
	if r := rows[name]; r != nil && r.incarnation == incarnation && r.sequence >= sequence {
		return // reordered on the network
	}
	rows[name] = &row{incarnation: incarnation, sequence: sequence, receivedAt: now, State: s}
}

// LocalSums returns the work of this data centre's VMs by endpoint.
func (a *Aggregator) LocalSums(now time.Duration) []Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := make(map[uint32]float32)
	addWork(total, a.reports, now, reportTTL, "")
	return largest(total, 0)
}

// Totals returns the load of all VMs of all data centres but that of the VM except.
func (a *Aggregator) Totals(now time.Duration, except string) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := make(map[uint32]float32)
	addWork(total, a.reports, now, reportTTL, except)
	addWork(total, a.summaries, now, summaryTTL, "")
	avoided := a.avoided(except)
	return State{Work: largest(total, len(avoided)), Avoided: avoided}
}

// avoided returns the endpoints that at least minAvoidingVMs VMs other than except avoid.
// Callers hold a.mu and have removed expired reports.
func (a *Aggregator) avoided(except string) []uint32 {
	count := make(map[uint32]int)
	for name, r := range a.reports {
		if name == except {
			continue
		}
		for _, m := range r.Avoided {
			count[m]++
		}
	}
	var out []uint32
	for m, n := range count {
		if n >= minAvoidingVMs && len(out) < maxAvoided {
			out = append(out, m)
		}
	}
	return out
}

// addWork adds the work of the rows to total, without the row of except, and removes expired rows.
func addWork(total map[uint32]float32, rows map[string]*row, now, ttl time.Duration, except string) {
	for name, r := range rows {
		if now-r.receivedAt > ttl {
			delete(rows, name)
			continue
		}
		if name == except {
			continue
		}
		for _, e := range r.Work {
			if e.Work > 0 && e.Work < maxWork { // false for NaN
				total[e.Endpoint] += e.Work
			}
		}
	}
}

// largest returns the entries with the most work, as many as fit a State with the given number of
// avoided endpoints.
func largest(total map[uint32]float32, avoided int) []Entry {
	maxEntries := (maxStateBytes - avoided*avoidedBytes) / entryBytes
	out := make([]Entry, 0, len(total))
	for m, w := range total {
		out = append(out, Entry{Endpoint: m, Work: w})
	}
	if len(out) <= maxEntries {
		return out
	}
	slices.SortFunc(out, func(a, b Entry) int {
		switch {
		case a.Work > b.Work:
			return -1
		case a.Work < b.Work:
			return 1
		}
		return 0
	})
	return out[:maxEntries]
}
