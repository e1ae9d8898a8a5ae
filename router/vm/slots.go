package vm

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/fleet/slot"
	"goldcrestfork/router/dispatch"
)

// slots computes this VM's part of the endpoints' slots. Warm slots are assigned by rank
// among the live VMs, without coordination; cold slots exactly, by package slot.
type slots struct {
	self   string
	params slot.Params
	cold   *slot.Service
	// live holds the names of the VMs that slots are assigned to, this one included.
	live atomic.Pointer[[]string]
}

// setLive sets the VMs that slots are assigned to.
func (s *slots) setLive(ids []string) { s.live.Store(&ids) }

// Share implements dispatch.Slots. Warm slots limit load only approximately: while VMs
// differ in their view of the fleet, a slot may be used twice or not at all.
func (s *slots) Share(endpoint string, n int) int {
	ids := *s.live.Load()
	share, remainder := n/len(ids), n%len(ids)
	if remainder > 0 && s.rank(endpoint, ids) < remainder {
		share++
	}
	return share
}

// rank returns the number of VMs that rank before this one for an endpoint. Counting
// avoids a sort: each change of the fleet computes the ranks for all 2,000 endpoints
// among 400 VMs.
func (s *slots) rank(endpoint string, ids []string) int {
	own, before := rendezvous.Weight(endpoint, s.self), 0
	for _, id := range ids {
		if w := rendezvous.Weight(endpoint, id); w > own || w == own && id < s.self {
			before++
		}
	}
	return before
}

// TakeCold implements dispatch.Slots. The second result is false if no cold slot was acquired.
func (s *slots) TakeCold(ctx context.Context, endpoint string, n int) (dispatch.ColdSlot, bool) {
	grant, ok, _ := s.cold.Acquire(ctx, endpoint, n)
	if !ok {
		return nil, false
	}
	return &coldSlot{service: s.cold, grant: grant, releaseDelay: s.params.Start + s.params.MaxJob}, true
}

// coldSlot is one cold slot in use. Its release is idempotent.
type coldSlot struct {
	service *slot.Service
	grant   slot.Grant
	// releaseDelay is how long a request may go on at the endpoint after it was cut off.
	releaseDelay time.Duration
	once         sync.Once
}

// MayStart implements dispatch.ColdSlot.
func (c *coldSlot) MayStart() bool { return c.grant.MayStart(time.Now()) }

// Release implements dispatch.ColdSlot. A request that was cut off may go on at the
// endpoint until its time limit. Its slot is released only then, since an immediate
// release would allow one request more than the endpoint can run.
func (c *coldSlot) Release(ended bool) {
	c.once.Do(func() {
		if ended {
			c.service.Release(c.grant)
			return
		}
		time.AfterFunc(c.releaseDelay, func() { c.service.Release(c.grant) })
	})
}
