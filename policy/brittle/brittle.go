// Package brittle decides whether a VM sends to an endpoint that falls over if it has to turn too many
// requests away.
//
// Load pattern: the endpoints of a service are full, and say in their answers how many requests each
// can turn away in a second for want of room. One that has to turn away more crashes with all that
// runs there, and its load comes to the others.
//
// Without it: VMs learn that an endpoint is full by being turned away, each by itself and with each
// next request, so that a full service loses one endpoint after the other.
//
// After each report of the endpoint a VM sends its part of the requests for which that leaves slots
// free; without a recent report it has its part of all slots there. After the endpoint has turned one of its requests away it sends none for as long as keeps all
// VMs together within half of what the endpoint states.
//
// The package has no network and no clock; time is an argument.
package brittle

import "time"

const (
	// maxReportAge is how long an endpoint's report on its load is used. Requests end within
	// seconds, and a VM that kept to an old report would never learn that there is room.
	maxReportAge = time.Second
	// roomFactor is the part of the free slots that each VM takes, as a multiple of an equal one:
	// few VMs use theirs before the next report.
	roomFactor = 2
	// boundShare is the part of what an endpoint states that all VMs together use up, as VMs may
	// be turned away at the same moment.
	boundShare = 0.5
	// maxPause bounds the pause of one VM, so that an endpoint that has room again is used.
	maxPause = 10 * time.Second
)

// State is what one VM holds of one endpoint. The zero value is an endpoint that isn't brittle.
type State struct {
	bound      int // requests that the endpoint can turn away in a second
	brittle    bool
	statedAt   time.Time
	slots      int
	vms        int
	room       int // requests that this VM may send after the last report
	reportedAt time.Time
	pauseUntil time.Time
}

// Stated records an answer that states the bound, in requests a second. It reports whether that is
// new. slots are those of the endpoint, 0 if unknown, and vms is the number of VMs that share it.
func (s *State) Stated(now time.Time, bound, slots, vms int) (changed bool) {
	changed = !s.brittle || s.bound != bound
	s.brittle, s.bound, s.statedAt, s.slots, s.vms = true, bound, now, slots, max(vms, 1)
	return changed
}

// NotStated records an answer without a bound to a request that was sent at the given time. It reports
// whether a bound ended: answers on different connections overtake each other.
func (s *State) NotStated(sentAt time.Time) (ended bool) {
	if !s.brittle || !sentAt.After(s.statedAt) {
		return false
	}
	s.brittle, s.pauseUntil = false, time.Time{}
	return true
}

// Reported records the load that an endpoint reports: its requests that run or wait, and its slots.
// This VM takes its part of the free ones, and one at least: the report comes with an answer, which
// has left a slot free.
func (s *State) Reported(now time.Time, inFlight int) {
	s.reportedAt, s.room = now, 0
	if free := s.slots - inFlight; free > 0 {
		s.room = max(roomFactor*free/s.vms, 1)
	}
}

// Sent records that this VM sends a request.
func (s *State) Sent() { s.room-- }

// TurnedAway records that the endpoint refused a request for want of room.
func (s *State) TurnedAway(now time.Time) {
	pause := maxPause
	if s.bound > 0 {
		pause = min(maxPause, time.Duration(float64(max(s.vms, 1))/(boundShare*float64(s.bound))*float64(time.Second)))
	}
	s.pauseUntil = now.Add(pause)
}

// MaySend reports whether this VM may send a request. own is the number of its requests there.
func (s *State) MaySend(now time.Time, own int) bool {
	if !s.brittle {
		return true
	}
	if now.Before(s.pauseUntil) {
		return false
	}
	if s.slots > 0 && now.Sub(s.reportedAt) <= maxReportAge {
		return s.room > 0
	}
	return s.slots == 0 || own < max(s.slots/s.vms, 1)
}

// Bound returns the bound that the endpoint states; ok is false if it states none.
func (s *State) Bound() (bound int, ok bool) { return s.bound, s.brittle }
