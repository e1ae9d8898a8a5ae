package tally

import (
	"slices"
	"sync"
	"time"

	"goldcrestfork/fleet/rendezvous"
)

const (
	// reportLife is how long a VM's report counts. VMs with work under way report at
	// least each refresh; 2 s is four of them.
	reportLife = 2 * time.Second
	// summaryLife is how long another data centre's sums count: ten of its summaries.
	summaryLife = time.Second
	// mostEntries bounds the endpoints in one datagram, 11 bytes each: those with the
	// most work are named, which are those to keep away from.
	mostEntries = 90
	// mostAvoided bounds the endpoints that a datagram says are avoided, 5 bytes each.
	mostAvoided = 60
	// leastAvoiding is how many VMs of a data centre must keep away from an endpoint for
	// the others to believe it. One alone may be the one that is cut off; and only those
	// of the same data centre count, since two data centres that don't reach each other
	// would otherwise empty both for all.
	leastAvoiding = 2
	// mostWork bounds what is believed of one VM's work at an endpoint, in thousands of
	// prompt tokens: an engine holds less than a million tokens.
	mostWork = 1e5
)

// Entry is the work under way at one endpoint.
type Entry struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32
	Work     float32
}

// Mark is the endpoint's short name in entries. Two endpoints with the same mark, one
// pair in a few million, only look busier than they are.
func Mark(endpoint string) uint32 { return rendezvous.Mark(endpoint).Short() }

// State is what a VM says of the endpoints, or is told of them.
type State struct {
	// Work is what is under way.
	Work []Entry `cbor:"1,keyasint,omitempty"`
	// Avoided are endpoints that broke connections or refused them a moment ago.
	Avoided []uint32 `cbor:"2,keyasint,omitempty"`
}

// row is what one VM said last.
type row struct {
	life, sequence uint64
	at             time.Duration
	State
}

// Board is what a keeper was told. It is safe for concurrent use; time is an argument.
type Board struct {
	mu        sync.Mutex
	reports   map[string]*row // by VM of this data centre
	summaries map[string]*row // by keeper of another data centre
	// outcomes and farOutcomes are of attempts, by VM and by keeper as above.
	outcomes, farOutcomes outcomeRows
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		reports: make(map[string]*row), summaries: make(map[string]*row),
		outcomes: make(outcomeRows), farOutcomes: make(outcomeRows),
	}
}

// Report takes a VM's state.
func (b *Board) Report(now time.Duration, vm string, life, sequence uint64, s State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	put(b.reports, now, vm, life, sequence, s)
}

// Summary takes the sums of another data centre from its keeper.
func (b *Board) Summary(now time.Duration, keeper string, life, sequence uint64, entries []Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	put(b.summaries, now, keeper, life, sequence, State{Work: entries})
}

func put(rows map[string]*row, now time.Duration, name string, life, sequence uint64, s State) {
	if r := rows[name]; r != nil && r.life == life && r.sequence >= sequence {
		return // overtaken by a newer one
	}
	rows[name] = &row{life: life, sequence: sequence, at: now, State: s}
}

// Sums adds up this data centre's reports.
func (b *Board) Sums(now time.Duration) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := make(map[uint32]float32)
	add(total, b.reports, now, reportLife, "")
	return largest(total)
}

// Totals adds up all that is known but what the VM itself said.
func (b *Board) Totals(now time.Duration, except string) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := make(map[uint32]float32)
	add(total, b.reports, now, reportLife, except)
	add(total, b.summaries, now, summaryLife, "")
	return State{Work: largest(total), Avoided: b.avoided(except)}
}

// avoided are the endpoints that enough other VMs keep away from. Callers hold b.mu and
// have forgotten old reports.
func (b *Board) avoided(except string) []uint32 {
	count := make(map[uint32]int)
	for name, r := range b.reports {
		if name == except {
			continue
		}
		for _, m := range r.Avoided {
			count[m]++
		}
	}
	var out []uint32
	for m, n := range count {
		if n >= leastAvoiding && len(out) < mostAvoided {
			out = append(out, m)
		}
	}
	return out
}

// add sums rows and forgets those that are too old.
func add(total map[uint32]float32, rows map[string]*row, now, life time.Duration, except string) {
	for name, r := range rows {
		if now-r.at > life {
			delete(rows, name)
			continue
		}
		if name == except {
			continue
		}
		for _, e := range r.Work {
			if e.Work > 0 && e.Work < mostWork { // not so for NaN either
				total[e.Endpoint] += e.Work
			}
		}
	}
}

func largest(total map[uint32]float32) []Entry {
	out := make([]Entry, 0, len(total))
	for m, w := range total {
		out = append(out, Entry{Endpoint: m, Work: w})
	}
	if len(out) <= mostEntries {
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
	return out[:mostEntries]
}
