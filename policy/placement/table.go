package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/policy/outlier"
	"goldcrestfork/policy/speed"
)

// affinityReplicas is the number of endpoints preferred for a shared prefix: the second one
// serves a prefix in demand when the first is busy or removed.
const affinityReplicas = 2

// Request holds the inputs of a choice.
type Request struct {
	Service string
	// Version is the only version that may serve, NotVersion one that may not; empty for no
	// restriction.
	Version, NotVersion string
	// Regions are those that may serve; empty for all.
	Regions []string
	// Exclude lists the IDs of endpoints that the request was already sent to.
	Exclude []string
	// Limited says which endpoints with a request limit are considered.
	Limited LimitedUse
	// Affinity identifies the shared prompt prefix and the model that reads it; empty for none.
	Affinity string
	// Saving is the work that an endpoint with the prefix in its cache saves, in requests.
	Saving float64
	// Work is the load of the request while it generates, 1 for a usual one.
	Work float64
	// Prefill is the work of reading its prompt, in the same unit; it counts until the first
	// event.
	Prefill float64
	// LoadUnknown says that requests like this one don't count in the load from other VMs.
	LoadUnknown bool
	// Tokens are the most tokens of an endpoint's memory that the request may take; 0 if unknown.
	Tokens int
}

// LimitedUse says which endpoints that have stated a request limit a choice considers.
type LimitedUse int

// Values of LimitedUse.
const (
	// LimitedPaced: those that this VM may ask a request for beside the other VMs.
	LimitedPaced LimitedUse = iota
	// LimitedNone: none.
	LimitedNone
	// LimitedNeeded: all that may allow a request now.
	LimitedNeeded
)

func (r *Request) inRegion(region string) bool { return slices.Contains(r.Regions, region) }
func (r *Request) excluded(id string) bool     { return slices.Contains(r.Exclude, id) }

// Choice is an endpoint with the load of one request added; Table.Done removes it.
type Choice struct {
	ID, Address, DataCentre, Version string
	// Cold says that the endpoint is in cold start.
	Cold bool
	// Limited says that the endpoint takes Limit requests a second from all VMs together. The
	// request may be sent only once the limit allows it.
	Limited bool
	Limit   float64
	// Expected is the estimated time to the request's first event. It is meaningful only if the
	// request's work is known, as for prompts.
	Expected time.Duration
	// Ahead is the work up to the request's first event in requests, its own included.
	Ahead   float64
	attempt *attempt // guarded by Table.mu
	sentAt  time.Time
	tokens  int // Request.Tokens
}

// NoChoiceReason is the reason why no endpoint was chosen.
type NoChoiceReason int

// Values of NoChoiceReason.
const (
	// Picked: an endpoint was chosen.
	Picked NoChoiceReason = iota
	// NoEndpoint: no endpoint may serve the request.
	NoEndpoint
	// AllCold: the eligible endpoints are in cold start and have no request budget left.
	AllCold
	// AllTried: the request was already sent to all eligible endpoints.
	AllTried
	// AllLimited: the request limits of the eligible endpoints allow no request now.
	AllLimited
	// AllResting: the eligible endpoints asked this VM for rest.
	AllResting
	// AllFull: the eligible endpoints have no room, and fall over if they turn requests away.
	AllFull
	// NoMemory: the eligible endpoints have no memory for the request.
	NoMemory
)

// Outcome is the result of an attempt, as far as it concerns the endpoint.
type Outcome int

// Values of Outcome.
const (
	// NoSignal says nothing about the endpoint, for example when the caller disconnected.
	NoSignal Outcome = iota
	// Good: the endpoint answered correctly.
	Good
	// Failed: the endpoint answered with a failure.
	Failed
	// AtCapacity: the endpoint refused the request for lack of capacity.
	AtCapacity
	// Unreached: no connection could be made.
	Unreached
	// Broken: the connection broke.
	Broken
	// OtherIncarnation: another incarnation answered at the endpoint's address.
	OtherIncarnation
)

// Table holds the endpoints of all services with their load and health. It is safe for
// concurrent use.
type Table struct {
	// DataCentre is this VM's own, which is preferred among equals.
	DataCentre string

	mu             sync.Mutex
	endpoints      map[string]*endpoint
	services       map[string]*pool
	dataCentresOut map[string]bool
	pathsLost      bool // SetPathsLost
	allManaged     bool // SetAllManaged
	// active holds the endpoints that this VM has load or records of: few among thousands.
	active map[*endpoint]struct{}
	// byShortName indexes the endpoints by the short names that VMs use among themselves.
	byShortName map[uint32]*endpoint
	needs       map[incarnation]*needs
	// withPeerLoad lists the endpoints with load from other VMs, set at peerLoadAt.
	withPeerLoad []*endpoint
	peerLoadAt   time.Time
	// withRecords lists the endpoints with records of all VMs, set at recordsAt.
	withRecords []*endpoint
	recordsAt   time.Time
	tokens      tokenSums
}

// pool is the endpoints of one service.
type pool struct {
	list          []*endpoint
	detector      *outlier.Detector
	detectorStale bool // list changed since the detector was updated
	unitTime      unitTime
	managed       bool // an endpoint stated how slow its machine is
	times         serviceTimes
	bound         LoadBound
}

// New returns a table without endpoints for a VM in the given data centre.
func New(dataCentre string) *Table {
	return &Table{DataCentre: dataCentre, endpoints: make(map[string]*endpoint), services: make(map[string]*pool), byShortName: make(map[uint32]*endpoint), needs: make(map[incarnation]*needs), active: make(map[*endpoint]struct{})}
}

// Set adds an endpoint or updates it.
func (t *Table) Set(now time.Time, s Spec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[s.ID]
	if e != nil && (e.Service != s.Service || e.StartedAt != s.StartedAt) {
		t.remove(s.ID)
		e = nil
	}
	if e == nil {
		e = &endpoint{Spec: s, idHash: rendezvous.HashOf(s.ID), speed: &speed.Endpoint{}, needs: t.needs[incarnation{s.ID, s.StartedAt}]}
		t.endpoints[s.ID] = e
		t.byShortName[e.idHash.Short()] = e
		p := t.services[s.Service]
		if p == nil {
			p = &pool{detector: outlier.New()}
			t.services[s.Service] = p
		}
		p.list = append(p.list, e)
		p.detectorStale = true
	}
	if e.Address != s.Address {
		e.lost = false
	}
	e.Spec = s
	e.dataCentreOut = t.dataCentresOut[s.DataCentre]
	// A report never shortens a cold start: it may have been sent before the endpoint was found
	// cold.
	if until := now.Add(s.Cold); s.Cold > 0 && until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

// Remove deletes an endpoint; unknown IDs are ignored.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(id)
}

func (t *Table) remove(id string) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	delete(t.endpoints, id)
	delete(t.byShortName, e.idHash.Short())
	delete(t.active, e)
	t.withRecords = slices.DeleteFunc(t.withRecords, func(o *endpoint) bool { return o == e })
	p := t.services[e.Service]
	p.list = slices.DeleteFunc(p.list, func(o *endpoint) bool { return o == e })
	p.detectorStale = true
}

// currentDetector returns the detector with the pool's present endpoints. The detector is
// updated only when it is next needed: thousands of endpoints that are added one by one would
// each cost a pass over all.
func (p *pool) currentDetector() *outlier.Detector {
	if p.detectorStale {
		names := make([]string, len(p.list))
		for i, e := range p.list {
			names[i] = e.ID
		}
		p.detector.SetEndpoints(names)
		p.detectorStale = false
	}
	return p.detector
}

// Region returns the region of an endpoint, "" if it isn't known.
func (t *Table) Region(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil {
		return e.Region
	}
	return ""
}

// SetOut sets the data centres whose endpoints get no requests.
func (t *Table) SetOut(out map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dataCentresOut = out
	for _, e := range t.endpoints {
		e.dataCentreOut = out[e.DataCentre]
	}
}

// SetLost sets whether the endpoint at an address is unresponsive. Lost endpoints get no
// requests.
func (t *Table) SetLost(address string, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.endpoints {
		if e.Address == address {
			e.lost = lost
			t.active[e] = struct{}{}
		}
	}
}

// HasUnreachable reports whether an endpoint could get the request if this VM could connect to it.
// unreached lists the IDs of endpoints that the request itself could not connect to.
func (t *Table) HasUnreachable(now time.Time, r *Request, unreached []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[r.Service]
	if p == nil {
		return false
	}
	return slices.ContainsFunc(p.list, func(e *endpoint) bool {
		failed := e.lost || e.avoidFor > 0 && !now.Before(e.record.otherLifeUntil) || slices.Contains(unreached, e.ID)
		return failed && !e.isResting(now) && e.eligible(r)
	})
}

// Addresses returns the addresses of all endpoints in random order, those that are lost or avoided
// after a failure last.
func (t *Table) Addresses(rng *rand.Rand) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var up, failed []string
	for _, e := range t.endpoints {
		if e.lost || e.avoidFor > 0 {
			failed = append(failed, e.Address)
		} else {
			up = append(up, e.Address)
		}
	}
	for _, list := range [][]string{up, failed} {
		slices.Sort(list)
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(up, failed...)
}

// Pick chooses an endpoint and adds the request's load to it.
func (t *Table) Pick(now time.Time, rng *rand.Rand, r *Request) (Choice, NoChoiceReason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[r.Service]
	if p == nil {
		return Choice{}, NoEndpoint
	}
	for _, c := range p.currentDetector().StartProbations(now) {
		t.endpoints[c.Endpoint].outlierState = c.State
	}
	warm, cold, tried := t.candidates(now, rng, p, r)
	e := t.best(now, rng, warm, r)
	if e == nil {
		e = t.best(now, rng, cold, r)
		if e == nil {
			switch {
			case anyPaused(now, p, r):
				return Choice{}, AllLimited
			case anyResting(now, p, r):
				return Choice{}, AllResting
			case t.anyWithoutRoom(now, p, r):
				return Choice{}, AllFull
			case t.anyWithoutMemory(now, p, r):
				return Choice{}, NoMemory
			case tried && len(warm)+len(cold) == 0:
				return Choice{}, AllTried
			case anyCold(now, p):
				return Choice{}, AllCold
			}
			return Choice{}, NoEndpoint
		}
		e.admitCold(now, true)
	}
	a := &attempt{endpoint: e, work: r.Work + r.Prefill, workAfterPrompt: r.Work, prefill: r.Prefill, saving: r.Saving}
	ahead := t.workAt(now, e) + a.work
	e.load += a.work
	e.requests++
	e.tokens.own += r.Tokens
	t.active[e] = struct{}{}
	if e.avoidFor > 0 {
		e.probing = true
	}
	if e.isBrittle() {
		e.needs.brittle.Sent()
	}
	return Choice{
		ID: e.ID, Address: e.Address, DataCentre: e.DataCentre, Version: e.Version, Cold: e.cold(now),
		Limited: e.limit.Limited, Limit: e.limit.Rate,
		Expected: time.Duration(ahead * e.timeFactor() * p.unitTime.get() * float64(time.Second)),
		Ahead:    ahead, attempt: a, sentAt: now, tokens: r.Tokens,
	}, Picked
}

// anyPaused reports whether the request would have an endpoint if there were no request limits.
func anyPaused(now time.Time, p *pool, r *Request) bool {
	return slices.ContainsFunc(p.list, func(e *endpoint) bool { return !e.isResting(now) && e.paused(now, r) && e.usableButForNeeds(now, r) })
}

// anyResting reports whether the request would have an endpoint if none rested.
func anyResting(now time.Time, p *pool, r *Request) bool {
	return slices.ContainsFunc(p.list, func(e *endpoint) bool { return e.isResting(now) && e.usableButForNeeds(now, r) })
}

// anyWithoutRoom reports whether the request would have an endpoint if all had room.
func (t *Table) anyWithoutRoom(now time.Time, p *pool, r *Request) bool {
	return slices.ContainsFunc(p.list, func(e *endpoint) bool {
		return (!e.hasRoom(now) || !t.withinBound(now, e)) && e.usableButForNeeds(now, r)
	})
}

func anyCold(now time.Time, p *pool) bool {
	return slices.ContainsFunc(p.list, func(e *endpoint) bool { return e.cold(now) })
}

// PromptRead moves the request from reading its prompt to generating, at its first event.
func (t *Table) PromptRead(now time.Time, c Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[c.ID]; e != nil {
		e.load = max(e.load-c.attempt.work+c.attempt.workAfterPrompt, 0)
		if p := t.services[e.Service]; !t.managed(p) { // otherwise FirstEvent does it
			p.unitTime.update(c.Ahead, now.Sub(c.sentAt))
		}
	}
	c.attempt.work = c.attempt.workAfterPrompt
}

// EndpointLoad is the load that one VM, or the other VMs together, have at an endpoint. VMs
// report it to each other.
type EndpointLoad struct {
	// Work is the work under way there, in requests.
	Work float64
	// Avoided says that the endpoint is lost or recently broke or refused connections.
	Avoided bool
}

// LocalLoad returns this VM's load, by endpoint ID. Endpoints without load that are not avoided
// are left out.
func (t *Table) LocalLoad(now time.Time) map[string]EndpointLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]EndpointLoad, len(t.active))
	for e := range t.active {
		if avoided := !t.pathsLost && (e.lost || now.Before(e.avoidUntil)); avoided || e.load > 0 {
			out[e.ID] = EndpointLoad{Work: e.load, Avoided: avoided}
		} else if e.requests == 0 && !e.record.reportable(now) {
			delete(t.active, e)
		}
	}
	return out
}

// SetPeerLoad sets the combined load of the other VMs by the endpoints' short names
// (rendezvous.Hash.Short). Endpoints that are not named have none.
func (t *Table) SetPeerLoad(now time.Time, shares map[uint32]EndpointLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.withPeerLoad {
		e.peerLoad = EndpointLoad{}
	}
	t.withPeerLoad = t.withPeerLoad[:0]
	for short, share := range shares {
		if e := t.byShortName[short]; e != nil {
			e.peerLoad = share
			t.withPeerLoad = append(t.withPeerLoad, e)
		}
	}
	t.peerLoadAt = now
}

// Done removes the request's load and records the outcome of the attempt.
func (t *Table) Done(now time.Time, c Choice, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[c.ID]
	if e == nil {
		return
	}
	e.load = max(e.load-c.attempt.work, 0)
	e.requests = max(e.requests-1, 0)
	t.recordEnd(now, e, c, o)
	if e == c.attempt.endpoint { // otherwise its tokens ended with the endpoint's earlier life
		e.tokens.own = max(e.tokens.own-c.tokens, 0)
	}
	switch o {
	case Good, Failed:
		e.endAvoidance()
		e.record.add(now, o == Failed)
		if c, changed := t.services[e.Service].currentDetector().Record(now, outlier.Result{Endpoint: e.ID, Failed: o == Failed}); changed {
			e.outlierState = c.State
		}
	case Broken:
		e.record.add(now, true)
		e.avoid(now)
	case Unreached:
		e.avoid(now)
	case OtherIncarnation:
		e.record.otherLifeUntil = now.Add(otherLifeAvoidance)
		e.avoid(now)
		e.avoidFor, e.avoidUntil = max(e.avoidFor, minAvoidance), e.record.otherLifeUntil
	case AtCapacity:
		e.endAvoidance()
		if e.isBrittle() {
			e.needs.brittle.TurnedAway(now)
		}
	case NoSignal:
		e.probing = false
	}
}

// MarkCold marks an endpoint as cold for a time, for example when it reports so in an answer.
func (t *Table) MarkCold(now time.Time, id string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil && now.Add(left).After(e.coldUntil) {
		e.coldUntil = now.Add(left)
	}
}
