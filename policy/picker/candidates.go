package picker

import (
	"math/rand/v2"
)

const (
	// nearDraws and nextDraws are the random candidates from the nearest tier with
	// room and from the one after it. Two are what breaks up herds; the third lets
	// work go further away while the near endpoints fill up.
	nearDraws = 2
	nextDraws = 1
	// drawTries bounds the draws that request filters may turn down; after them the
	// set is walked, so that a request is never refused while some endpoint would do.
	drawTries = 6
	// ringWalk is the number of ring points looked at for endpoints with room: past a
	// full one the prefix goes to the next, the same on all VMs, and so a hot key
	// spreads by one endpoint at a time.
	ringWalk = 4
)

func (t *Table) allow(r *Request, e *Endpoint) bool {
	for _, f := range t.cfg.Request {
		if !f.Allow(r, e) {
			return false
		}
	}
	return true
}

// add takes an endpoint in as a candidate, once, with its best hit.
func (t *Table) add(e *Endpoint, hit float64) {
	for i := range t.cands {
		if t.cands[i].Endpoint == e {
			t.cands[i].Hit = max(t.cands[i].Hit, hit)
			return
		}
	}
	t.cands = append(t.cands, Candidate{Endpoint: e, Hit: hit})
}

// addHolders adds the endpoints that likely hold the request's prefix, the longest
// part first, and those that the ring names for it.
func (t *Table) addHolders(p *pool, r *Request) {
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
	// The first block's hash: requests that share only the start of their prompt
	// still meet on one endpoint.
	p.ring.walk(r.Prefix[0], func(e *Endpoint) bool {
		steps++
		if t.usable(p, r, e) {
			t.add(e, derived)
			return false
		}
		return steps < ringWalk
	})
}

// usable reports whether the endpoint is in the pool's open set and allowed.
func (t *Table) usable(p *pool, r *Request, e *Endpoint) bool {
	for i, own := range e.pools {
		if own == p {
			return e.position[i] >= 0 && t.allow(r, e)
		}
	}
	return false
}

// addRandom draws candidates from the two nearest tiers with room.
func (t *Table) addRandom(p *pool, rng *rand.Rand, r *Request) {
	draws := nearDraws
	for tier := range p.open {
		set := p.open[tier]
		if len(set) == 0 {
			continue
		}
		if t.draw(set, rng, r, draws) == 0 && !t.walk(set, rng, r) {
			continue
		}
		if draws == nextDraws {
			return
		}
		draws = nextDraws
	}
}

func (t *Table) draw(set []*Endpoint, rng *rand.Rand, r *Request, want int) int {
	found := 0
	for range drawTries {
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

// walk takes the first allowed endpoint from a random start.
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
