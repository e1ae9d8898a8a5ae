package placement

import (
	"math/rand/v2"
	"time"

	"goldcrestfork/fleet/rendezvous"
)

// candidates returns the usable endpoints, split into warm ones and cold ones that may get
// another request from this VM. In a large pool it looks at a sample and at the endpoints
// preferred for the request's affinity; if none of these is warm, it looks at all. tried
// reports whether an endpoint was left out because the request was sent to it before.
func (t *Table) candidates(now time.Time, rng *rand.Rand, p *pool, r *Request) (warm, cold []*endpoint, tried bool) {
	if len(p.list) > sampleThreshold {
		warm, cold, _ = t.split(now, append(sample(rng, p.list), preferredList(p.list, r.Affinity)...), r)
		if len(warm) > 0 {
			return warm, cold, false
		}
	}
	return t.split(now, p.list, r)
}

// split sorts the usable endpoints of a list into warm and cold ones; cold ones without request
// budget are left out. tried is as for candidates.
func (t *Table) split(now time.Time, list []*endpoint, r *Request) (warm, cold []*endpoint, tried bool) {
	warm = make([]*endpoint, 0, len(list))
	for _, e := range list {
		if !e.usable(now, r) {
			tried = tried || r.excluded(e.ID)
			continue
		}
		if !t.withinBound(now, e) {
			continue
		}
		if !t.hasMemory(now, e, r.Tokens) {
			continue
		}
		if !e.cold(now) {
			warm = append(warm, e)
		} else if e.admitCold(now, false) {
			cold = append(cold, e)
		}
	}
	return warm, cold, tried
}

const (
	// sampleThreshold is the number of endpoints above which a choice looks at a sample. Each
	// stream makes up to three choices, and the CPU time of a full scan grows with the pool.
	sampleThreshold = 200
	// sampleSize is the number of endpoints in a sample. In 95 of 100 samples the least loaded
	// of 100 endpoints is among the least loaded 3% of the pool.
	sampleSize = 100
)

// sample returns endpoints at equal distances in the list, starting at a random one. Endpoints
// of the same data centre or version are adjacent in the list, so that each group is
// represented in proportion to its size.
func sample(rng *rand.Rand, list []*endpoint) []*endpoint {
	out := make([]*endpoint, 0, sampleSize+affinityReplicas)
	at := rng.IntN(len(list))
	for i := range sampleSize {
		out = append(out, list[(at+i*len(list)/sampleSize)%len(list)])
	}
	return out
}

// best returns the endpoint with the lowest cost, or nil for an empty list. The cost is the
// work under way plus penalties, in requests; Request.Saving is deducted for the endpoints
// preferred for the request's affinity. In a managed service the request's own work is added, and
// all work is weighted by the endpoint's time factor.
func (t *Table) best(now time.Time, rng *rand.Rand, list []*endpoint, r *Request) *endpoint {
	preferred := preferredEndpoints(list, r.Affinity)
	p := t.services[r.Service]
	managed := t.managed(p)
	t.refreshFactors(now, p)
	var best *endpoint
	var least float64
	for _, e := range list {
		cost, factor := t.workAt(now, e), 1.0
		if managed {
			factor = e.timeFactor()
			cost = (cost + t.ownWork(now, rng, r)) * factor
		}
		cost += t.failureCost(now, e)
		if e.peerLoad.Avoided && t.peerLoadFresh(now) {
			cost += avoidedPenalty
		}
		if e == preferred[0] || e == preferred[1] {
			cost -= r.Saving * factor
		}
		if e.DataCentre != t.DataCentre {
			cost += remotePenalty
		}
		cost += jitter * rng.Float64()
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// peerLoadFresh reports whether the load from other VMs is recent enough to be used.
func (t *Table) peerLoadFresh(now time.Time) bool { return now.Sub(t.peerLoadAt) < peerLoadMaxAge }

// workAt returns the work under way at an endpoint: this VM's and, if known, that of the other
// VMs.
func (t *Table) workAt(now time.Time, e *endpoint) float64 {
	if t.peerLoadFresh(now) {
		return e.load + e.peerLoad.Work
	}
	return e.load
}

const (
	// peerLoadMaxAge is how long the load from other VMs is used. A choice follows its update
	// within milliseconds, and a second attempt of the same request within some hundred.
	peerLoadMaxAge = 300 * time.Millisecond
	// avoidedPenalty is the cost of an endpoint that other VMs avoid, in requests. It exceeds
	// any queue, so that such an endpoint is used only if all others are avoided too.
	avoidedPenalty = 1e4
	// remotePenalty is the cost of an endpoint in another data centre, in requests: traffic
	// between data centres is billed, and a round trip takes 1 to 2 ms longer.
	remotePenalty = 3.0
	// jitter is the range of a random cost that spreads VMs with the same view of the load, in
	// requests.
	jitter = 0.5
)

// preferredEndpoints returns the endpoints that rank first for an affinity key by rendezvous
// hashing, so that all VMs with the same endpoints prefer the same ones. Entries are nil where
// there are too few endpoints or no affinity.
func preferredEndpoints(list []*endpoint, affinity string) (out [affinityReplicas]*endpoint) {
	if affinity == "" {
		return out
	}
	key := rendezvous.HashOf(affinity)
	var top [affinityReplicas]uint64
	for _, e := range list {
		w := key.Weight(e.idHash)
		switch {
		case e == out[0] || e == out[1]: // The sample and the preferred endpoints may overlap.
		case out[0] == nil || w > top[0]:
			out[1], top[1] = out[0], top[0]
			out[0], top[0] = e, w
		case out[1] == nil || w > top[1]:
			out[1], top[1] = e, w
		}
	}
	return out
}

// preferredList returns the result of preferredEndpoints as a slice, nil if there is none.
func preferredList(list []*endpoint, affinity string) []*endpoint {
	k := preferredEndpoints(list, affinity)
	if k[0] == nil {
		return nil
	}
	return k[:]
}
