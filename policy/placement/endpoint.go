package placement

import (
	"time"

	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/policy/outlier"
)

// Spec is what is configured or reported of an endpoint.
type Spec struct {
	// ID names one life of the endpoint.
	ID         string
	Service    string
	Address    string
	DataCentre string
	Region     string
	Version    string
	Slots      int
	// Draining endpoints get nothing new.
	Draining bool
	// Cold is how long it stays cold from now.
	Cold time.Duration
	// ColdLimited says that it bears few requests while it is cold; ColdRate is this
	// VM's part of them a second, 0 for none.
	ColdLimited bool
	ColdRate    float64
}

const (
	// firstAvoidance is how long an endpoint that broke a connection or refused one
	// gets nothing; it doubles up to lastAvoidance. A crashed endpoint is back
	// after some seconds; a trial costs one request a few ms where it is refused and
	// dialTimeout where it is silent.
	firstAvoidance = 300 * time.Millisecond
	lastAvoidance  = 3 * time.Second
	// coldBurst is how many requests a cold endpoint gets at once from this VM: one,
	// so that some VMs together stay below the endpoint's rate for a second.
	coldBurst = 1.0
)

type endpoint struct {
	Spec
	rank rendezvous.Hash // of its id, for the keepers of shared parts
	out  bool            // its data centre's endpoints get nothing
	lost bool            // nothing comes from it
	// running is the work under way from this VM. The endpoint's own word on its load isn't
	// added: it is there for those that answered lately and not for the others, so that the
	// others look empty.
	running   float64
	elsewhere Share // what the other VMs told, as of Table.toldAt
	requests  int
	record    record  // of this VM's attempts
	fleet     Record  // of all VMs' attempts, as of Table.judgedAt
	worse     float64 // share of its requests that it fails beyond what is usual in its pool

	coldUntil  time.Time
	coldTokens float64
	coldFilled time.Time

	// avoidUntil keeps work away after a broken connection; trial says that one
	// request is out to see whether it is back.
	avoidUntil time.Time
	avoidFor   time.Duration
	trial      bool
	detected   outlier.State
}

func (e *endpoint) cold(now time.Time) bool { return now.Before(e.coldUntil) }

// takeCold takes one of this VM's requests to a cold endpoint, if it has one.
func (e *endpoint) takeCold(now time.Time, take bool) bool {
	if !e.ColdLimited {
		return true
	}
	if e.ColdRate <= 0 {
		return false
	}
	if !e.coldFilled.IsZero() {
		e.coldTokens = min(coldBurst, e.coldTokens+e.ColdRate*now.Sub(e.coldFilled).Seconds())
	} else {
		e.coldTokens = coldBurst
	}
	e.coldFilled = now
	if e.coldTokens < 1 {
		return false
	}
	if take {
		e.coldTokens--
	}
	return true
}

// usable says whether the endpoint may get a request now.
func (e *endpoint) usable(now time.Time, r *Request) bool {
	if e.Draining || e.out || e.lost || e.detected == outlier.Ejected {
		return false
	}
	if r.Version != "" && e.Version != r.Version || r.NotVersion != "" && e.Version == r.NotVersion {
		return false
	}
	if len(r.Regions) > 0 && !r.inRegion(e.Region) {
		return false
	}
	if e.avoidFor > 0 && (now.Before(e.avoidUntil) || e.trial) {
		return false
	}
	if e.detected == outlier.Probation && e.requests > 0 {
		return false
	}
	return !r.excluded(e.ID)
}

func (e *endpoint) failed(now time.Time) {
	e.trial = false
	if now.Before(e.avoidUntil) {
		return
	}
	e.avoidFor = min(max(2*e.avoidFor, firstAvoidance), lastAvoidance)
	e.avoidUntil = now.Add(e.avoidFor)
}

func (e *endpoint) succeeded() {
	e.trial = false
	e.avoidFor = 0
}
