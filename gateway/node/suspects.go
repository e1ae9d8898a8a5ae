package node

import (
	"slices"
	"sync"
	"time"

	"goldcrestfork/gateway/forward"
	"goldcrestfork/policy/poison"
)

const (
	// oneCrash is the time in which connections that break at one endpoint are one crash.
	oneCrash = time.Second
	// suspectNews is for how long a crash is told to other VMs: some dozens of rounds.
	suspectNews = 15 * time.Second
	// mostSuspects bounds the requests that one datagram names, about 100 bytes each.
	mostSuspects = 4
	// poolSize is what a pool counts as: the tracker then asks for crashes of three
	// endpoints, as operators expect, before a request runs nowhere any more.
	poolSize = 16
)

// suspects wires package poison: it notes what runs where, and blames a crash on what
// ran there. A connection that breaks is no crash by itself: endpoints lose answers and
// networks reset connections; one that takes no new connection right after is down.
//
// Lock order: suspects.mu, then those of the trackers, which are leaves.
type suspects struct {
	// connects reports whether an address takes a connection.
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

// pool returns a service's; callers hold s.mu.
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
	return s.pool(service).tracker.Quarantined(time.Now(), poison.Fingerprint(f))
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
		p.tracker.Survived(poison.Fingerprint(a.Fingerprint))
	}
	if a.Broke && now.Sub(p.crashed[a.Endpoint]) > oneCrash {
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
		if now.Sub(at) > suspectNews {
			delete(p.crashed, e)
		}
	}
}

// blame holds a crash against what ran at the endpoint, if it is down.
func (s *suspects) blame(a forward.Attempt, inFlight []poison.Fingerprint) {
	if s.connects(a.Address) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(a.Service).tracker.Crashed(time.Now(), a.Endpoint, inFlight, 0)
}

// word names the requests that were at crashes lately, for other VMs.
func (s *suspects) word() map[string][]poison.Count {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out map[string][]poison.Count
	for service, p := range s.pools {
		for _, c := range p.tracker.Counts(now) {
			if c.Age > suspectNews || len(out[service]) >= mostSuspects {
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

// take takes another VM's word.
func (s *suspects) take(news map[string][]poison.Count) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, counts := range news {
		s.pool(service).tracker.Merge(now, counts)
	}
}
