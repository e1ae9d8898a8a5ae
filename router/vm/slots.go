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

// slots is this VM's part of the endpoints' slots: warm ones by rank among the live
// VMs, cold ones exactly, by package slot.
type slots struct {
	self   string
	bounds slot.Params
	cold   *slot.Service
	// live names the VMs that slots are dealt to, this one included.
	live atomic.Pointer[[]string]
}

// deal sets the VMs that slots are dealt to from now on.
func (s *slots) deal(ids []string) { s.live.Store(&ids) }

// Share implements dispatch.Slots. Warm slots are a matter of load, not of a
// promise: while views of the fleet differ a slot may be used twice or not at all.
func (s *slots) Share(endpoint string, n int) int {
	ids := *s.live.Load()
	share, rest := n/len(ids), n%len(ids)
	if rest > 0 && s.rank(endpoint, ids) < rest {
		share++
	}
	return share
}

// rank is this VM's place for an endpoint. Counting those before it spares the sort:
// a change of the fleet asks for all 2,000 endpoints' places among 400 VMs.
func (s *slots) rank(endpoint string, ids []string) int {
	own, before := rendezvous.Weight(endpoint, s.self), 0
	for _, id := range ids {
		if w := rendezvous.Weight(endpoint, id); w > own || w == own && id < s.self {
			before++
		}
	}
	return before
}

// TakeCold implements dispatch.Slots.
func (s *slots) TakeCold(ctx context.Context, endpoint string, n int) (dispatch.ColdSlot, bool) {
	grant, ok, _ := s.cold.Acquire(ctx, endpoint, n)
	if !ok {
		return nil, false
	}
	return &coldSlot{service: s.cold, grant: grant, rest: s.bounds.Start + s.bounds.MaxJob}, true
}

// coldSlot is one cold slot in use.
type coldSlot struct {
	service *slot.Service
	grant   slot.Grant
	// rest is how long a request that was cut off may go on at the endpoint.
	rest time.Duration
	once sync.Once
}

// MayStart implements dispatch.ColdSlot.
func (c *coldSlot) MayStart() bool { return c.grant.MayStart(time.Now()) }

// Release implements dispatch.ColdSlot. A request that was cut off may go on at the
// endpoint until the time limit it was given; freed at once, its slot would put one
// request too many on an endpoint that bears no more.
func (c *coldSlot) Release(ended bool) {
	c.once.Do(func() {
		if ended {
			c.service.Release(c.grant)
			return
		}
		time.AfterFunc(c.rest, func() { c.service.Release(c.grant) })
	})
}
