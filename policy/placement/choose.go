package placement

import (
	"math/rand/v2"
	"time"

	"goldcrestfork/fleet/rendezvous"
)

// candidates splits the usable endpoints into warm ones and cold ones that have a
// request left: those of a sample of a large pool and of the keepers of the request's
// shared part, or of all where the sample has none.
func (t *Table) candidates(now time.Time, rng *rand.Rand, p *pool, r *Request) (warm, cold []*endpoint, tried bool) {
	if len(p.list) > sampleFrom {
		warm, cold, _ = split(now, append(sample(rng, p.list), keepersOf(p.list, r.Affinity)...), r)
		if len(warm) > 0 {
			return warm, cold, false
		}
	}
	return split(now, p.list, r)
}

func split(now time.Time, list []*endpoint, r *Request) (warm, cold []*endpoint, tried bool) {
	warm = make([]*endpoint, 0, len(list))
	for _, e := range list {
		if !e.usable(now, r) {
			tried = tried || r.excluded(e.ID)
			continue
		}
		if !e.cold(now) {
			warm = append(warm, e)
		} else if e.takeCold(now, false) {
			cold = append(cold, e)
		}
	}
	return warm, cold, tried
}

const (
	// sampleFrom is the number of endpoints from which a choice looks at a sample: each
	// stream makes up to three choices, and each would cost processor time in proportion to
	// the endpoints.
	sampleFrom = 200
	// sampled endpoints are looked at: the least loaded of a hundred is among the
	// least loaded 3 in 100 of all in 95 of 100 choices.
	sampled = 100
)

// sample takes endpoints at equal steps from a random one on: entries of a data centre or
// a version stand together, and each gets its part.
func sample(rng *rand.Rand, list []*endpoint) []*endpoint {
	out := make([]*endpoint, 0, sampled+affine)
	at := rng.IntN(len(list))
	for i := range sampled {
		out = append(out, list[(at+i*len(list)/sampled)%len(list)])
	}
	return out
}

// best returns the endpoint with the least work before the request, where one of
// those that keep its shared part is allowed Saving more than the others.
func (t *Table) best(now time.Time, rng *rand.Rand, list []*endpoint, r *Request) *endpoint {
	keepers := keepers(list, r.Affinity)
	var best *endpoint
	var least float64
	for _, e := range list {
		cost := t.under(now, e) + t.risk(now, e)
		if e.elsewhere.Avoided && t.informed(now) {
			cost += avoidedPenalty
		}
		if e == keepers[0] || e == keepers[1] {
			cost -= r.Saving
		}
		if e.DataCentre != t.DataCentre {
			cost += farPenalty
		}
		cost += jitter * rng.Float64()
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// informed says that the other VMs' work is known.
func (t *Table) informed(now time.Time) bool { return now.Sub(t.toldAt) < toldFor }

// under is the work under way at an endpoint.
func (t *Table) under(now time.Time, e *endpoint) float64 {
	if t.informed(now) {
		return e.running + e.elsewhere.Work
	}
	return e.running
}

const (
	// toldFor is how long the other VMs' work is believed: a choice follows the answer
	// within ms, and a second one for the same request within some hundred.
	toldFor = 300 * time.Millisecond
	// avoidedPenalty is what an endpoint costs that other VMs keep away from: more than
	// any queue, so that it is used only where all others are as bad.
	avoidedPenalty = 1e4
	// farPenalty is what another data centre costs, in requests: bytes between data
	// centres are billed, and a round trip takes 1 to 2 ms more.
	farPenalty = 3.0
	// jitter parts VMs that see the same loads, in requests.
	jitter = 0.5
)

// keepers are the endpoints that rank first for a shared part by rendezvous, so that
// all VMs with the same endpoints agree.
func keepers(list []*endpoint, affinity string) (out [affine]*endpoint) {
	if affinity == "" {
		return out
	}
	key := rendezvous.Mark(affinity)
	var top [affine]uint64
	for _, e := range list {
		w := key.Weight(e.rank)
		switch {
		case e == out[0] || e == out[1]: // listed twice
		case out[0] == nil || w > top[0]:
			out[1], top[1] = out[0], top[0]
			out[0], top[0] = e, w
		case out[1] == nil || w > top[1]:
			out[1], top[1] = e, w
		}
	}
	return out
}

// keepersOf lists them.
func keepersOf(list []*endpoint, affinity string) []*endpoint {
	k := keepers(list, affinity)
	if k[0] == nil {
		return nil
	}
	return k[:]
}
