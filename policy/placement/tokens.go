package placement

import (
	"slices"
	"time"

	"goldcrestfork/policy/room"
)

const (
	// tokenSumsMaxAge is how long the tokens of the other VMs are used: four exchanges.
	tokenSumsMaxAge = 2 * time.Second
	// tokenFleetAge is how long the number of VMs and the ranks are used. Computing a rank takes a hash
	// for each VM.
	tokenFleetAge = 500 * time.Millisecond
)

// TokenFleet describes the VMs that share the endpoints: their number, and this VM's place at an endpoint,
// 0 for the first. It must not use the Table.
type TokenFleet func() (vms int, rank func(endpoint string) int)

// tokenSums is what the tokens of all endpoints have in common.
type tokenSums struct {
	capacity map[string]int // tokens of memory of an endpoint, by service
	fleet    TokenFleet
	sumsAt   time.Time // when the tokens of the other VMs were set
	vms      int       // results of fleet at fleetAt
	rank     func(endpoint string) int
	fleetAt  time.Time
}

// heldTokens are the tokens that the requests at one endpoint may take.
type heldTokens struct {
	own      int // of this VM's requests
	reported int // own, as last reported to the other VMs
	summed   int // own, as contained in the last sums
	others   int // of the other VMs in the last sums
	rank     int // this VM's place, as of rankAt
	rankAt   time.Time
	rankFunc func() int // returns rank; kept, since a choice would allocate one for each endpoint
}

// SetMemory sets the tokens of memory of one endpoint by service. The endpoints of services that aren't
// named get requests whatever their tokens.
func (t *Table) SetMemory(capacity map[string]int, fleet TokenFleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens.capacity, t.tokens.fleet = capacity, fleet
}

// LocalTokens returns the tokens that this VM's requests may take, by endpoint ID, at most the given
// number of endpoints, those with the most tokens first. It is nil if the memory of no service is known.
func (t *Table) LocalTokens(most int) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.tokens.capacity) == 0 {
		return nil
	}
	var list []*endpoint
	for _, e := range t.endpoints {
		e.tokens.reported = 0
		if e.tokens.own > 0 && t.tokens.capacity[e.Service] > 0 {
			list = append(list, e)
		}
	}
	if len(list) > most {
		slices.SortFunc(list, func(a, b *endpoint) int { return b.tokens.own - a.tokens.own })
		list = list[:most]
	}
	out := make(map[string]int, len(list))
	for _, e := range list {
		e.tokens.reported = e.tokens.own
		out[e.ID] = e.tokens.own
	}
	return out
}

// SetTokenTotals sets the tokens that the requests of all VMs may take, this one included, by the
// endpoints' short names. Endpoints that aren't named hold missing tokens.
func (t *Table) SetTokenTotals(now time.Time, totals map[uint32]int, missing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.endpoints {
		total, ok := totals[e.idHash.Short()]
		if !ok {
			total = missing
		}
		e.tokens.summed = e.tokens.reported
		e.tokens.others = max(total-e.tokens.reported, 0)
	}
	t.tokens.sumsAt = now
}

// hasMemory reports whether an endpoint has memory for a request.
func (t *Table) hasMemory(now time.Time, e *endpoint, tokens int) bool {
	if tokens <= 0 {
		return true
	}
	u, known := t.usage(now, e)
	return !known || u.Fits(tokens)
}

// usage returns the use of an endpoint's memory; known is false if its memory isn't stated.
func (t *Table) usage(now time.Time, e *endpoint) (u room.Usage, known bool) {
	s := &t.tokens
	capacity := s.capacity[e.Service]
	if capacity <= 0 {
		return u, false
	}
	if s.fleet != nil && (s.fleetAt.IsZero() || now.Sub(s.fleetAt) >= tokenFleetAge) {
		s.vms, s.rank = s.fleet()
		s.fleetAt = now
	}
	h := &e.tokens
	if h.rankFunc == nil {
		h.rankFunc = func() int {
			if h.rankAt != s.fleetAt {
				h.rank, h.rankAt = s.rank(e.ID), s.fleetAt
			}
			return h.rank
		}
	}
	return room.Usage{
		Capacity: capacity, Own: h.own, Summed: h.summed, Others: h.others,
		Recent: !s.sumsAt.IsZero() && now.Sub(s.sumsAt) <= tokenSumsMaxAge, VMs: s.vms, Rank: h.rankFunc,
	}, true
}

// anyWithoutMemory reports whether the request would have an endpoint if all had memory for it.
func (t *Table) anyWithoutMemory(now time.Time, p *pool, r *Request) bool {
	return slices.ContainsFunc(p.list, func(e *endpoint) bool {
		return !t.hasMemory(now, e, r.Tokens) && e.usableButForNeeds(now, r)
	})
}
