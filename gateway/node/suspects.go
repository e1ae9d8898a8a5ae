package node

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

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
	log      zerolog.Logger

	mu    sync.Mutex
	pools map[string]*suspectPool
}

type suspectPool struct {
	tracker *poison.Tracker
	running map[string][]poison.Fingerprint // by endpoint
	crashed map[string]time.Time            // by endpoint
	// quarantined holds the requests for whose quarantine a line was logged.
	quarantined map[poison.Fingerprint]bool
	reported    map[string]reportState // by endpoint
}

func newSuspects(connects func(string) bool, log zerolog.Logger) *suspects {
	return &suspects{connects: connects, log: log, pools: make(map[string]*suspectPool)}
}

// pool returns the pool of a service. Callers hold s.mu.
func (s *suspects) pool(service string) *suspectPool {
	p := s.pools[service]
	if p == nil {
		p = &suspectPool{
			tracker: poison.New(poolSize), running: make(map[string][]poison.Fingerprint), crashed: make(map[string]time.Time),
			quarantined: make(map[poison.Fingerprint]bool), reported: make(map[string]reportState),
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
	up := s.connects(a.Address)
	s.log.Info().Str("service", a.Service).Str("endpoint", a.Endpoint).Bool("crashed", !up).Int("in_flight", len(inFlight)).
		Strs("fingerprints", fingerprints(inFlight)).Msg("endpoint checked after a broken connection")
	if up {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(a.Service).tracker.RecordCrash(time.Now(), a.Endpoint, inFlight, 0)
}

// maxLoggedFingerprints bounds the fingerprints in one log line.
const maxLoggedFingerprints = 16

// fingerprints formats requests for a log line.
func fingerprints(requests []poison.Fingerprint) []string {
	var out []string
	for _, f := range requests[:min(len(requests), maxLoggedFingerprints)] {
		out = append(out, f.String())
	}
	return out
}

// logQuarantined writes a line for each request that is newly in quarantine, or no longer.
// Callers hold s.mu.
func (s *suspects) logQuarantined(now time.Time) {
	for service, p := range s.pools {
		in := p.tracker.Quarantined(now)
		line := func(f poison.Fingerprint, quarantined bool) {
			s.log.Info().Str("service", service).Str("fingerprint", f.String()).Bool("quarantined", quarantined).Msg("request that crashes endpoints")
		}
		for _, f := range in {
			if !p.quarantined[f] {
				p.quarantined[f] = true
				line(f, true)
			}
		}
		for f := range p.quarantined {
			if !slices.Contains(in, f) {
				delete(p.quarantined, f)
				line(f, false)
			}
		}
	}
}
