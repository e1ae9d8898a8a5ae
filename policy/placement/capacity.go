package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// leastLoadedShare is the share of the endpoints, the least loaded first, whose use counts. A
	// request goes to one of these, and a mean over all hides endpoints that are still free.
	leastLoadedShare = 0.25
	// maxUse bounds the use of one endpoint, so that a long prompt at one of a few endpoints does
	// not stand for the others.
	maxUse = 4.0
)

// CapacityUse returns the share of the capacity in use over the endpoints that may get the request:
// the mean of the work under way over the slots, for the least loaded quarter of them. known is
// false if no such endpoint has slots, or if the load from other VMs was known and is too old.
func (t *Table) CapacityUse(now time.Time, rng *rand.Rand, r *Request) (use float64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[r.Service]
	if p == nil || !t.peerLoadAt.IsZero() && !t.peerLoadFresh(now) {
		return 0, false
	}
	warm, cold, _ := t.candidates(now, rng, p, r)
	if len(warm) == 0 {
		warm = cold
	}
	t.refreshFactors(now, p)
	uses := make([]float64, 0, len(warm))
	for _, e := range t.withoutAvoided(now, warm) {
		if e.Slots > 0 {
			// A slow endpoint with few requests isn't free: its slots are released late.
			uses = append(uses, min(t.workAt(now, e)*max(e.timeFactor(), 1)/float64(e.Slots), maxUse))
		}
	}
	if len(uses) == 0 {
		return 0, false
	}
	slices.Sort(uses)
	least := uses[:max(int(leastLoadedShare*float64(len(uses))+0.5), 1)]
	for _, u := range least {
		use += u
	}
	return use / float64(len(least)), true
}

// withoutAvoided returns the endpoints of a list that the other VMs don't avoid, or all if they avoid
// all. A crashed endpoint has the least work of all.
func (t *Table) withoutAvoided(now time.Time, list []*endpoint) []*endpoint {
	if !t.peerLoadFresh(now) {
		return list
	}
	out := make([]*endpoint, 0, len(list))
	for _, e := range list {
		if !e.peerLoad.Avoided {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}
