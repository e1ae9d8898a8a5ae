package placement

import (
	"time"

	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/policy/outlier"
	"goldcrestfork/policy/ratelimit"
	"goldcrestfork/policy/speed"
)

// Spec is the configured and reported state of an endpoint.
type Spec struct {
	// ID identifies one incarnation of the endpoint.
	ID         string
	Service    string
	Address    string
	DataCentre string
	Region     string
	Version    string
	Slots      int
	// Draining endpoints get no new requests.
	Draining bool
	// StartedAt tells incarnations with the same ID apart; 0 if it isn't known.
	StartedAt int64
	// Cold is the remaining time of the cold start.
	Cold time.Duration
	// ColdRate returns this VM's current share of the request rate that the endpoint accepts
	// while it is cold, in requests a second; 0 for none. It is nil if the rate isn't limited.
	ColdRate func() float64
}

const (
	// minAvoidance is how long an endpoint gets no requests after a broken or refused
	// connection; the time doubles with each failure up to maxAvoidance. A crashed endpoint is
	// back after some seconds. A probe costs one request a few milliseconds if the connection
	// is refused, and the dial timeout if there is no answer.
	minAvoidance = 300 * time.Millisecond
	maxAvoidance = 3 * time.Second
	// coldBurst is the number of requests that this VM sends to a cold endpoint at once. With
	// one each, several VMs together stay below the endpoint's rate within a second.
	coldBurst = 1.0
	// coldRateAge is how long a share is used. The share follows the fleet's members, and
	// computing it ranks all VMs.
	coldRateAge = 200 * time.Millisecond
)

// endpoint is the state of one endpoint as this VM sees it.
type endpoint struct {
	Spec
	idHash        rendezvous.Hash // hash of ID, for the endpoints preferred by affinity
	dataCentreOut bool            // its data centre is taken out of service
	lost          bool            // the endpoint does not respond (SetLost)
	// load is the work that this VM has under way there. The load that the endpoint reports is
	// not added: it is known only for endpoints that answered recently, so that the others
	// would look idle.
	load           float64
	peerLoad       EndpointLoad // load from the other VMs, as of Table.peerLoadAt
	tokens         heldTokens
	requests       int
	record         record  // attempts of this VM
	fleetRecord    Record  // attempts of all VMs, as of Table.recordsAt
	excessFailures float64 // failure share above what is usual in the pool

	speed     *speed.Endpoint
	factor    float64   // of its time, as of serviceTimes.factorsAt; 0 if unknown
	slow      bool      // as last returned by Table.SlowEndpoints
	slowSince time.Time // since when slow is out of date, zero if it isn't

	needs     *needs              // as the endpoint stated them to this VM; nil for none
	limit     ratelimit.Statement // as the endpoint stated it in answers
	limitPace ratelimit.Pace      // of this VM's questions for requests within the limit

	coldUntil  time.Time
	coldTokens float64
	coldFilled time.Time
	coldRate   float64 // the result of Spec.ColdRate at coldRateAt
	coldRateAt time.Time

	// avoidUntil is when a probe may be sent after a connection failure; probing says that one
	// request is under way as the probe.
	avoidUntil   time.Time
	avoidFor     time.Duration
	probing      bool
	outlierState outlier.State
}

func (e *endpoint) cold(now time.Time) bool { return now.Before(e.coldUntil) }

// admitCold reports whether this VM may send a request to the cold endpoint; with take it also
// consumes a token of the rate limit.
func (e *endpoint) admitCold(now time.Time, take bool) bool {
	if e.ColdRate == nil {
		return true
	}
	if e.coldRateAt.IsZero() || now.Sub(e.coldRateAt) >= coldRateAge {
		e.coldRate, e.coldRateAt = e.ColdRate(), now
	}
	if e.coldRate <= 0 {
		return false
	}
	if !e.coldFilled.IsZero() {
		e.coldTokens = min(coldBurst, e.coldTokens+e.coldRate*now.Sub(e.coldFilled).Seconds())
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

// paused reports whether the endpoint's request limit keeps it out of the choice.
func (e *endpoint) paused(now time.Time, r *Request) bool {
	if !e.limit.Limited {
		return false
	}
	return r.Limited == LimitedNone || !e.limitPace.MayAsk(now, r.Limited == LimitedNeeded)
}

// usable reports whether the endpoint may get the request now.
func (e *endpoint) usable(now time.Time, r *Request) bool {
	return !e.isResting(now) && e.hasRoom(now) && !e.paused(now, r) && e.usableButForNeeds(now, r)
}

// usableButForNeeds reports whether the endpoint may get the request as far as its request limit
// and its rest allow it.
func (e *endpoint) usableButForNeeds(now time.Time, r *Request) bool {
	if e.lost || e.outlierState == outlier.Ejected || !e.eligible(r) {
		return false
	}
	if e.avoidFor > 0 && (now.Before(e.avoidUntil) || e.probing) {
		return false
	}
	return e.outlierState != outlier.Probation || e.requests == 0
}

// eligible reports whether the endpoint may run the request, whatever this VM knows of its health.
func (e *endpoint) eligible(r *Request) bool {
	if e.Draining || e.isLeaving() || e.dataCentreOut {
		return false
	}
	if r.Version != "" && e.Version != r.Version || r.NotVersion != "" && e.Version == r.NotVersion {
		return false
	}
	if len(r.Regions) > 0 && !r.inRegion(e.Region) {
		return false
	}
	return !r.excluded(e.ID)
}

// avoid starts or extends the time of avoidance after a connection failure. Failures of
// requests that were under way together count once.
func (e *endpoint) avoid(now time.Time) {
	e.probing = false
	if now.Before(e.avoidUntil) {
		return
	}
	e.avoidFor = min(max(2*e.avoidFor, minAvoidance), maxAvoidance)
	e.avoidUntil = now.Add(e.avoidFor)
}

// endAvoidance allows requests to the endpoint again, after an answer from it.
func (e *endpoint) endAvoidance() {
	e.probing = false
	e.avoidFor = 0
}
