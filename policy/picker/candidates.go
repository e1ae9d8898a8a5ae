package picker

import (
	"math/rand/v2"
)

const (
	// nearestTierDraws and nextTierDraws are the numbers of random candidates from the
	// nearest tier with free capacity and from the tier after it. Two candidates from the
	// same tier prevent herding; the third lets work move further away while the near
	// endpoints fill up.
	nearestTierDraws = 2
	nextTierDraws    = 1
	// maxDrawTries bounds the random draws that request filters may reject. After them
	// the set is scanned, so that a request is never refused while an allowed endpoint
	// has free capacity.
	maxDrawTries = 6
	// maxRingSteps is the number of ring points examined for endpoints with free
	// capacity. A prefix whose endpoint is full moves to the next one, which is the same
	// on all VMs, so that a hot prefix spreads by one endpoint at a time.
	maxRingSteps = 4
)

// allow reports whether all request filters allow the endpoint.
func (t *Table) allow(r *Request, e *Endpoint) bool {
	for _, f := range t.cfg.Request {
		if !f.Allow(r, e) {
			return false
		}
	}
	return true
}

// add adds an endpoint to the candidates once, with its highest hit.
func (t *Table) add(e *Endpoint, hit float64) {
	for i := range t.candidates {
		if t.candidates[i].Endpoint == e {
			t.candidates[i].Hit = max(t.candidates[i].Hit, hit)
			return
		}
	}
	t.candidates = append(t.candidates, Candidate{Endpoint: e, Hit: hit})
}

// addPrefixHolders adds the endpoints that likely hold the request's prefix, starting
// from its longest part, and the endpoint that the ring assigns to it.
func (t *Table) addPrefixHolders(p *pool, r *Request) {
	for i := len(r.Prefix) - 1; i >= 0; i-- {
		entry, ok := t.prefixes.entries.Get(r.Prefix[i])
		if !ok {
			continue
		}
		share := float64(i+1) / float64(len(r.Prefix))
		for _, h := range entry {
			if h.e == nil {
				break
			}
			if confidence := t.prefixes.confidence(h); confidence > 0 && t.usable(p, r, h.e) {
				t.add(h.e, share*confidence)
			}
		}
	}
	steps := 0
	// The ring is looked up by the hash of the first block, so that requests which share
	// only the start of their prompt still reach the same endpoint.
	p.ring.walk(r.Prefix[0], func(e *Endpoint) bool {
		steps++
		if t.usable(p, r, e) {
			t.add(e, ringConfidence)
			return false
		}
		return steps < maxRingSteps
	})
}

// usable reports whether the endpoint is in the pool's open set and allowed for the
// request.
func (t *Table) usable(p *pool, r *Request, e *Endpoint) bool {
	for i, own := range e.pools {
		if own == p {
			return e.openIndex[i] >= 0 && t.allow(r, e)
		}
	}
	return false
}

// addRandom draws candidates from the two nearest tiers with free capacity.
func (t *Table) addRandom(p *pool, rng *rand.Rand, r *Request) {
	draws := nearestTierDraws
	for tier := range p.open {
		set := p.open[tier]
		if len(set) == 0 {
			continue
		}
		if t.draw(set, rng, r, draws) == 0 && !t.walk(set, rng, r) {
			continue
		}
		if draws == nextTierDraws {
			return
		}
		draws = nextTierDraws
	}
}

// draw adds up to `want` random candidates of the set and returns how many draws were
// allowed.
func (t *Table) draw(set []*Endpoint, rng *rand.Rand, r *Request, want int) int {
	found := 0
	for range maxDrawTries {
		e := set[rng.IntN(len(set))]
		if !t.allow(r, e) {
			continue
		}
		t.add(e, 0)
		found++
		if found == want {
			break
		}
	}
	return found
}

// walk adds the first allowed endpoint, starting at a random index, and reports whether
// there is one.
func (t *Table) walk(set []*Endpoint, rng *rand.Rand, r *Request) bool {
	start := rng.IntN(len(set))
	for i := range set {
		if e := set[(start+i)%len(set)]; t.allow(r, e) {
			t.add(e, 0)
			return true
		}
	}
	return false
}
