package node

import (
	"slices"
	"sync"
	"time"

	"goldcrestfork/gateway/forward"
	"goldcrestfork/policy/poison"
)

const (
	// crashWindow is the time in which connections that break at one endpoint count as one
	// crash.
	crashWindow = time.Second
	// suspectTTL is how long a crash is reported to other VMs, some dozens of rounds of
	// datagrams.
	suspectTTL = 15 * time.Second
	// maxSuspects bounds the requests of a service in one datagram, about 100 bytes each.
	maxSuspects = 4
	// poolSize is the number of endpoints that the trackers assume in every pool. With it, a
	// tracker quarantines a request after crashes of three endpoints, as operators expect.
	poolSize = 16
)

// suspects connects package poison with the forwarding of requests: it records which requests
// run at which endpoint and attributes a crash to those that ran there. A broken connection
// alone is no crash, since endpoints lose answers and networks reset connections; an endpoint
// that accepts no new connection right after is down.
//
// Lock order: suspects.mu, then those of the trackers, which are leaves.
type suspects struct {
	// connects reports whether an address accepts a new connection.
	connects func(address string) bool

	mu    sync.Mutex
	pools map[string]*suspectPool
}

type suspectPool struct {
	tracker *poison.Tracker
	running map[string][]poison.Fingerprint // by endpoint
	crashed map[string]time.Time            // by endpoint
}

func newSuspects(connects func(string) bool) *suspects {
	return &suspects{connects: connects, pools: make(map[string]*suspectPool)}
}

// pool returns the pool of a service. Callers hold s.mu.
func (s *suspects) pool(service string) *suspectPool {
	p := s.pools[service]
	if p == nil {
		p = &suspectPool{
			tracker: poison.New(poolSize), running: make(map[string][]poison.Fingerprint), crashed: make(map[string]time.Time),
		}
		s.pools[service] = p
	}
	return p
}

// Quarantined implements forward.Poison.
func (s *suspects) Quarantined(service string, f uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(service).tracker.IsQuarantined(time.Now(), poison.Fingerprint(f))
}

// Begin implements forward.Poison.
func (s *suspects) Begin(service, endpoint string, f uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service)
	p.running[endpoint] = append(p.running[endpoint], poison.Fingerprint(f))
}

// End implements forward.Poison.
func (s *suspects) End(a forward.Attempt) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(a.Service)
	list := p.running[a.Endpoint]
	if a.Survived {
		p.tracker.RecordSuccess(poison.Fingerprint(a.Fingerprint))
	}
	if a.ConnectionBroke && now.Sub(p.crashed[a.Endpoint]) > crashWindow {
		p.crashed[a.Endpoint] = now
		go s.blame(a, slices.Clone(list))
	}
	if i := slices.Index(list, poison.Fingerprint(a.Fingerprint)); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(p.running, a.Endpoint)
	} else {
		p.running[a.Endpoint] = list
	}
	for e, at := range p.crashed {
		if now.Sub(at) > suspectTTL {
			delete(p.crashed, e)
		}
	}
}

// blame records a crash against the requests that ran at the endpoint, if the endpoint is down.
func (s *suspects) blame(a forward.Attempt, inFlight []poison.Fingerprint) {
	if s.connects(a.Address) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(a.Service).tracker.RecordCrash(time.Now(), a.Endpoint, inFlight, 0)
}

// recentCrashes returns the requests that were in flight at recent crashes, by service, for
// other VMs.
func (s *suspects) recentCrashes() map[string][]poison.Count {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out map[string][]poison.Count
	for service, p := range s.pools {
		for _, c := range p.tracker.Counts(now) {
			if c.Age > suspectTTL || len(out[service]) >= maxSuspects {
				continue
			}
			if out == nil {
				out = make(map[string][]poison.Count)
			}
			out[service] = append(out[service], c)
		}
	}
	return out
}

// merge applies another VM's report of crashes.
func (s *suspects) merge(crashes map[string][]poison.Count) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, counts := range crashes {
		s.pool(service).tracker.Merge(now, counts)
	}
}
