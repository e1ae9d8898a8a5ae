package vm

import (
	"context"
	"slices"
	"sync"
	"time"

	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/fleet/slot"
	"goldcrestfork/router/dispatch"
)

// slots is this VM's part of the endpoints' slots: warm ones by rank among the live
// VMs, cold ones exactly, by package slot.
type slots struct {
	fleet  *fleet
	bounds slot.Params
	cold   *slot.Service
}

// Share implements dispatch.Slots. Warm slots are a matter of load, not of a
// promise: while views of the fleet differ a slot may be used twice or not at all.
func (s *slots) Share(endpoint string, n int) int {
	ids := s.fleet.ids()
	share := n / len(ids)
	if slices.Index(rendezvous.Rank(endpoint, ids), s.fleet.self) < n%len(ids) {
		share++
	}
	return share
}

// TakeCold implements dispatch.Slots.
func (s *slots) TakeCold(ctx context.Context, endpoint string, n int) (dispatch.ColdSlot, bool) {
	grant, ok, _ := s.cold.Acquire(ctx, endpoint, n)
	if !ok {
		return nil, false
	}
	return &coldSlot{service: s.cold, grant: grant, rest: s.bounds.Start + s.bounds.Job}, true
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
