package ratelimit

import "time"

const (
	// questionFactor is the number of questions that all VMs together ask for each request that a
	// limit allows. More find a free request sooner and cost more datagrams.
	questionFactor = 4
	// maxInterval bounds the time between two questions of a VM.
	maxInterval = 30 * time.Second
)

// AskInterval returns how long a VM, one of the given number that share a limit in requests a
// second, doesn't ask for a request after it was denied one.
func AskInterval(vms int, perSecond float64) time.Duration {
	return time.Duration(min(float64(vms)/(questionFactor*max(perSecond, minRate)), maxInterval.Seconds()) * float64(time.Second))
}

// Pace is when one VM may ask for a request at an endpoint with a limit. The zero value allows it.
type Pace struct {
	emptyUntil  time.Time // until then no request is granted
	pausedUntil time.Time
}

// Denied records that a request was denied, that none is granted before wait has passed, and that
// this VM leaves the endpoint to others for the interval.
func (p *Pace) Denied(now time.Time, wait, interval time.Duration) {
	p.emptyUntil, p.pausedUntil = now.Add(wait), now.Add(max(wait, interval))
}

// MayAsk reports whether the VM asks for a request now. If needed is set, because the caller's
// request has no other endpoint, it asks whenever one may be granted.
func (p *Pace) MayAsk(now time.Time, needed bool) bool {
	if needed {
		return !now.Before(p.emptyUntil)
	}
	return !now.Before(p.pausedUntil)
}
