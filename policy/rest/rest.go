// Package rest decides whether a VM sends to an endpoint that asked it for rest.
//
// Load pattern: an endpoint in trouble refuses requests at once and says for how long it wants
// none from the VM that it refuses. Since it refuses at once it has the least work under way.
//
// Without it: the endpoint is the first choice for each next request, gets the more of them the
// longer it refuses, and callers whose requests meet several such endpoints are refused although
// others work.
//
// The rest concerns the VM that was asked. A rest that all VMs keep to would take an endpoint that
// refuses the excess of its load out of service.
//
// The package has no network and no clock; time is an argument.
package rest

import "time"

// State is what one VM holds of one endpoint's rest. The zero value is an endpoint that has not
// asked for any.
type State struct{ until time.Time }

// Ask records that the endpoint wants nothing for the given time. It reports whether its rest ends
// later than before: refusals may overtake each other.
func (s *State) Ask(now time.Time, length time.Duration) bool {
	until := now.Add(length)
	if length <= 0 || !until.After(s.until) {
		return false
	}
	s.until = until
	return true
}

// MaySend reports whether a request may be sent.
func (s *State) MaySend(now time.Time) bool { return !now.Before(s.until) }

// Left returns the time that is left of the rest, 0 for none.
func (s *State) Left(now time.Time) time.Duration { return max(s.until.Sub(now), 0) }
