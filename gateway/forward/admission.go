package forward

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/placement"
	"goldcrestfork/router/refusal"
)

// slotUse is how a request uses the slots of endpoints, for the demand of its service.
type slotUse struct {
	gate *admission.Gate // nil if the service isn't managed
	sent bool            // the current attempt was sent
	// inSlot is the share of the current attempt's time up to the head of its answer in which it held
	// a slot; the rest it waited at the endpoint.
	inSlot float64
	sentAt time.Time     // of the current attempt, without the time to connect
	held   time.Duration // by ended attempts
}

// returningMargin is the time by which a request has less time left than its route allows if its
// caller comes back after a refusal.
const returningMargin = 50 * time.Millisecond

// requestAdmission refuses a request that is over its account's share of the fleet's capacity, before
// its body is read. A request from another VM was admitted there.
func (c *call) requestAdmission() *refusal.Refusal {
	c.service = c.pickService()
	c.slots.gate = c.h.cfg.Admission(c.service)
	if c.slots.gate == nil || c.forwardedBy != "" {
		return nil
	}
	now := time.Now()
	returning := c.route.Timeout > 0 && c.timeout < c.route.Timeout-returningMargin
	v := c.slots.gate.Arrive(now, admission.Arrival{
		Account: c.accountName(), Rank: c.priority, Left: c.deadline.Sub(now), Returning: returning,
	})
	counter, rank := c.h.cfg.Metrics.admission, strconv.Itoa(c.priority)
	if v.Outcome != admission.Refused {
		counter.WithLabelValues(c.service, rank, "admitted").Inc()
		return nil
	}
	counter.WithLabelValues(c.service, rank, "refused").Inc()
	return refusal.New(http.StatusServiceUnavailable, refusal.Overloaded,
		"the service has too little room: %d%% of the account's requests of priority %d are admitted now", int(math.Round(100*v.Share)), c.priority).
		WithRetryAfter(v.RetryAfter)
}

// useSlot records that the current attempt was sent to an endpoint.
func (c *call) useSlot(ch placement.Choice) {
	if gate := c.slots.gate; gate != nil && !c.slots.sent {
		now := time.Now()
		c.slots.sent, c.slots.inSlot, c.slots.sentAt = true, 1, now
		gate.Sent(now, ch.Version)
	}
}

// noteSlots records the load that an endpoint states. If all slots are in use, a request waits for the
// part of its time that the waiting requests are of all at the endpoint (Little's law).
func (c *call) noteSlots(now time.Time, a *upstream.Answer) {
	gate := c.slots.gate
	if gate == nil {
		return
	}
	load := parseLoad(a.Header.Get(c.h.cfg.Names.Load))
	if load.slots <= 0 {
		return
	}
	c.slots.inSlot = min(float64(load.slots)/float64(max(load.inFlight(), 1)), 1)
	gate.ReportLoad(now, load.inFlight(), load.slots)
}

// releaseSlot records that the current attempt ended.
func (c *call) releaseSlot(result string) {
	gate := c.slots.gate
	if gate == nil || !c.slots.sent {
		return
	}
	now := time.Now()
	c.slots.sent = false
	gate.Ended(now, result == resultFull)
	// Without a head the endpoint may be dead, and the slot isn't one of the service's capacity.
	if head := c.answer.head; !head.IsZero() && mayHaveRun(result) {
		c.slots.held += now.Sub(head) + time.Duration(c.slots.inSlot*float64(head.Sub(c.slots.sentAt)))
	}
	// Larger models are not asked while callers are refused, so that the room is what the smallest leaves.
	if result == resultOK && c.sentModel == 0 {
		gate.Held(now, c.priority, c.slots.held)
	}
}

// serviceBusy reports whether the request's service is short of room, so that requests that hold a
// slot for a short time count in the load that the VMs exchange as well.
func (c *call) serviceBusy() bool {
	return c.slots.gate != nil && c.slots.gate.Busy(time.Now())
}
