package node

import (
	"fmt"
	"slices"
	"strconv"
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
	// crashDelay is the time after the end of a request's run in which a crash of the endpoint may
	// still be its doing: an engine goes on for some steps when a connection closes.
	crashDelay = time.Second
	// partCrashDelay is the time after the beginning of an answer in which a crash of the endpoint may
	// be the doing of a part of the prompt.
	partCrashDelay = 500 * time.Millisecond
	// runRetention is how long an ended run is kept, for crashes that other VMs report.
	runRetention = 3 * time.Second
	// minAnnounceInterval bounds the rounds of datagrams that crashes cause.
	minAnnounceInterval = 100 * time.Millisecond
	// suspectTTL is how long a crash is reported to other VMs, some dozens of rounds of
	// datagrams.
	suspectTTL = 15 * time.Second
	// poolSize is the number of endpoints that the trackers assume in every pool. With it, a
	// tracker quarantines a request after crashes of three endpoints, as operators expect.
	poolSize = 16
)

// suspects connects package poison with the forwarding of requests: it records which requests
// run at which endpoint and attributes a crash to those that ran there until up to crashDelay
// before it. A broken connection alone is no crash, since endpoints lose answers and networks
// reset connections; an endpoint that accepts no new connection right after is down. So is one
// that refuses a connection: all that ran there may have ended before it crashed. Neither shows a
// crash while this VM reaches no other endpoint.
//
// Lock order: suspects.mu, then those of the trackers, which are leaves.
type suspects struct {
	// connects reports whether an address accepts a new connection.
	connects func(address string) bool
	paths    pathEvidence
	// announce makes this VM report to the others at once.
	announce func()
	// reach returns how many VMs this one hears and how many it knows, itself included, for logs; nil for
	// unknown.
	reach func() (heard, known int)
	log   zerolog.Logger

	mu          sync.Mutex
	pools       map[string]*suspectPool
	announcedAt time.Time
	stored      storedCrashes
	reports     int // so far
}

// pathEvidence shows whether this VM has its network paths to the endpoints.
type pathEvidence interface {
	// ReceivedSince reports whether bytes came from any endpoint after the given time.
	ReceivedSince(at time.Time) bool
	// ReachesOthers reports the same, or whether an endpoint takes a connection other than the one at
	// the given address.
	ReachesOthers(since time.Time, address string) bool
}

type suspectPool struct {
	tracker *poison.Tracker
	// late judges the parts of prompts that may crash an endpoint at any time of an answer.
	late    *poison.Tracker
	runs    map[string][]*run    // by endpoint; those under way and those that ended a short time ago
	crashed map[string]time.Time // by endpoint
	// checking holds the endpoints that refused a connection, until it is known whether they crashed.
	checking map[string]bool
	// quarantined holds the requests for whose quarantine a line was logged.
	quarantined map[poison.Fingerprint]bool
	// quarantinedParts is the same for parts of prompts.
	quarantinedParts map[poison.Fingerprint]bool
	// doubts holds the parts at several crashes for which the last line was logged, and what that said.
	doubts   map[poison.Fingerprint]string
	reported map[string]reportState // by endpoint
	// reportedLate holds the same of late.
	reportedLate map[string]reportState
}

// run is one attempt of this VM at an endpoint.
type run struct {
	fingerprint  poison.Fingerprint
	parts        []poison.Fingerprint // of its prompt that other requests may hold too
	began, ended time.Time            // ended is zero while the attempt is under way
	answering    time.Time            // when the endpoint began to answer with a stream; zero if it didn't
	lastEvent    time.Time            // when the last part of the stream arrived
	survived     bool                 // the endpoint gave a complete answer
	// successJudged says that it is known whether the endpoint survived the complete answer.
	successJudged bool
	// partsJudged says that it is known whether the endpoint survived the beginning of the answer, when
	// a part of the prompt may crash it.
	partsJudged bool
	// lateJudged says the same of the whole answer, or of lateWindow of it.
	lateJudged bool
}

// partsMayHaveCrashed reports whether a crash of the endpoint at the given time may be the doing of a
// part of the run's prompt. Such a part does it soon after the answer begins. Only what arrived shows how
// long the endpoint has answered: a VM may find a crash late.
func (r *run) partsMayHaveCrashed(at time.Time) bool {
	return r.mayHaveCrashed(at) && !r.isAnsweredLong()
}

func (r *run) isAnsweredLong() bool { return r.lastEvent.Sub(r.answering) > partCrashDelay }

// hasBeenAnswered reports whether the answer has been complete or arriving for so long that no part of
// the prompt crashes endpoints. An answer that was dropped shows nothing: often no VM notices the crash
// until later.
func (r *run) hasBeenAnswered(now time.Time) bool {
	return r.isAnsweredLong() || r.survived && now.Sub(r.ended) > partCrashDelay
}

// answerBegan returns when the answer began, for a complete answer that isn't a stream when it was complete.
func (r *run) answerBegan() time.Time {
	if r.answering.IsZero() {
		return r.ended
	}
	return r.answering
}

// describe formats the run for a log line: its fingerprint, how long before the given time it was
// sent and answered ("-" if it wasn't), and the parts of its prompt.
func (r *run) describe(at time.Time) string {
	answering := "-"
	if !r.answering.IsZero() {
		answering = strconv.FormatInt(at.Sub(r.answering).Milliseconds(), 10)
	}
	return fmt.Sprintf("%s %d/%s [%s]", r.fingerprint, at.Sub(r.began).Milliseconds(), answering, poison.Join(r.parts))
}

// mayHaveCrashed reports whether a crash of the endpoint at the given time may be the run's doing.
func (r *run) mayHaveCrashed(at time.Time) bool {
	return !r.began.After(at) && (r.ended.IsZero() || at.Sub(r.ended) <= crashDelay)
}

func newSuspects(connects func(string) bool, paths pathEvidence, announce func(), log zerolog.Logger) *suspects {
	return &suspects{connects: connects, paths: paths, announce: announce, log: log, pools: make(map[string]*suspectPool), stored: storedCrashes{own: make(candidates), others: make(candidates), youngest: make(map[string]time.Time), revisions: make(map[string]int64)}}
}

// pool returns the pool of a service. Callers hold s.mu.
func (s *suspects) pool(service string) *suspectPool {
	p := s.pools[service]
	if p == nil {
		p = &suspectPool{
			tracker: poison.New(poolSize), late: poison.NewPartTracker(poolSize), runs: make(map[string][]*run), crashed: make(map[string]time.Time), checking: make(map[string]bool),
			quarantined: make(map[poison.Fingerprint]bool), reported: make(map[string]reportState), reportedLate: make(map[string]reportState),
		}
		s.pools[service] = p
	}
	return p
}

// Quarantined implements forward.Poison.
func (s *suspects) Quarantined(service string, f uint64, parts ...poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, now := s.pool(service), time.Now()
	return p.tracker.IsQuarantined(now, poison.Fingerprint(f), parts...) || p.late.HasPartVerdict(now, parts...)
}

// MayRepeat implements forward.Poison.
func (s *suspects) MayRepeat(service string, parts ...poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(service).tracker.MayRepeat(time.Now(), parts...)
}

// Begin implements forward.Poison.
func (s *suspects) Begin(service, endpoint string, f uint64, parts ...poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service)
	p.runs[endpoint] = append(p.runs[endpoint], &run{fingerprint: poison.Fingerprint(f), parts: parts, began: time.Now()})
}

// Answering implements forward.Poison.
func (s *suspects) Answering(service, endpoint string, f uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.pool(service).underWay(endpoint, poison.Fingerprint(f)); r != nil {
		r.lastEvent = time.Now()
		if r.answering.IsZero() {
			r.answering = r.lastEvent
		}
	}
}

// underWay returns a run of the request that has not ended, nil if there is none.
func (p *suspectPool) underWay(endpoint string, f poison.Fingerprint) *run {
	for _, r := range p.runs[endpoint] {
		if r.ended.IsZero() && r.fingerprint == f {
			return r
		}
	}
	return nil
}

// End implements forward.Poison.
func (s *suspects) End(a forward.Attempt) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(a.Service)
	if r := p.underWay(a.Endpoint, poison.Fingerprint(a.Fingerprint)); r != nil {
		r.ended, r.survived = now, a.Survived
	}
	if a.ConnectionBroke && now.Sub(p.crashed[a.Endpoint]) > crashWindow {
		p.crashed[a.Endpoint] = now
		go s.blame(now, a, p.at(a.Endpoint, now))
	}
}

// at returns the runs that may have crashed an endpoint at the given time.
func (p *suspectPool) at(endpoint string, crashed time.Time) (out []*run) {
	for _, r := range p.runs[endpoint] {
		if r.mayHaveCrashed(crashed) {
			out = append(out, r)
		}
	}
	return out
}

// record records a crash of an endpoint at which the given runs of this VM may have caused it.
func (p *suspectPool) record(at time.Time, endpoint string, runs []*run) {
	var requests []poison.Fingerprint
	for _, r := range runs {
		if !slices.Contains(requests, r.fingerprint) {
			requests = append(requests, r.fingerprint)
		}
	}
	p.tracker.RecordCrash(at, endpoint, requests, 0)
	for _, r := range runs {
		if !r.lateJudged {
			p.late.RecordParts(at, endpoint, r.fingerprint, r.parts)
			r.lateJudged = true
		}
		if !r.partsMayHaveCrashed(at) {
			continue
		}
		p.tracker.RecordParts(at, endpoint, r.fingerprint, r.parts)
		r.partsJudged = true
	}
}

// describe formats runs for a log line about a crash at the given time.
func (s *suspects) describe(runs []*run, crashed time.Time) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range runs[:min(len(runs), maxLoggedRuns)] {
		out = append(out, r.describe(crashed))
	}
	return out
}

// sweep records the answers that their endpoints survived, and forgets old runs. Callers hold
// s.mu.
func (s *suspects) sweep(now time.Time) {
	for _, p := range s.pools {
		for endpoint, runs := range p.runs {
			for _, r := range runs {
				if r.survived && !r.successJudged && now.Sub(r.ended) > crashDelay {
					r.successJudged = true
					if !p.tracker.HasCrashed(endpoint, r.began) {
						p.tracker.RecordSuccess(r.fingerprint)
					}
				}
				if !r.partsJudged && r.hasBeenAnswered(now) {
					r.partsJudged = true
					if !p.tracker.HasCrashed(endpoint, r.began) {
						p.tracker.RecordAnswer(now, r.answerBegan(), r.parts)
					}
				}
				if !r.lateJudged && r.hasBeenAnsweredLate(now) {
					r.lateJudged = true
					if !p.tracker.HasCrashed(endpoint, r.began) {
						p.late.RecordAnswer(now, r.answerArrived(), r.parts)
					}
				}
			}
			runs = slices.DeleteFunc(runs, func(r *run) bool { return !r.ended.IsZero() && now.Sub(r.ended) > runRetention })
			if p.runs[endpoint] = runs; len(runs) == 0 {
				delete(p.runs, endpoint)
			}
		}
		for endpoint, at := range p.crashed {
			if now.Sub(at) > suspectTTL {
				delete(p.crashed, endpoint)
			}
		}
	}
}

// blame records a crash against the requests that ran at the endpoint, if the endpoint is down.
func (s *suspects) blame(now time.Time, a forward.Attempt, inFlight []*run) {
	up := s.connects(a.Address)
	hasPaths := up
	if !up {
		hasPaths, up = s.awaitPaths(now, a.Address)
	}
	s.log.Info().Str("service", a.Service).Str("endpoint", a.Endpoint).Bool("crashed", !up && hasPaths).Bool("has_paths", hasPaths).Int("in_flight", len(inFlight)).
		Strs("runs", s.describe(inFlight, now)).Func(s.addReach).Msg("endpoint checked after a broken connection")
	if up || !hasPaths {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordCrash(now, a.Service, a.Endpoint, inFlight)
}

// Refused implements forward.Poison.
func (s *suspects) Refused(service, endpoint, address string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service)
	if p.checking[endpoint] || p.tracker.HasCrashed(endpoint, now.Add(-suspectTTL)) {
		return
	}
	p.checking[endpoint] = true
	go s.blameRefusal(now, service, endpoint, address, p.at(endpoint, now))
}

// blameRefusal records a crash against the requests that ran at an endpoint until it refused a
// connection.
func (s *suspects) blameRefusal(now time.Time, service, endpoint, address string, ended []*run) {
	hasPaths, up := s.awaitPaths(now, address)
	s.log.Info().Str("service", service).Str("endpoint", endpoint).Bool("crashed", hasPaths && !up).Bool("has_paths", hasPaths).Int("in_flight", len(ended)).
		Strs("runs", s.describe(ended, now)).Func(s.addReach).Msg("endpoint refused a connection")
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pool(service).checking, endpoint)
	if hasPaths && !up {
		s.recordCrash(now, service, endpoint, ended)
	}
}

const (
	// maxPathWait is the time in which a VM that reaches no endpoint must reach one again, so that it
	// can still tell whether an endpoint has crashed. An endpoint that has is back later.
	maxPathWait      = time.Second
	pathWaitInterval = 50 * time.Millisecond
)

// awaitPaths waits until this VM reaches an endpoint other than that at the given address, which took
// no connection. If it had to wait, it reports whether that endpoint takes one now.
func (s *suspects) awaitPaths(since time.Time, address string) (hasPaths, up bool) {
	if s.paths.ReachesOthers(since, address) {
		return true, false
	}
	for range int(maxPathWait / pathWaitInterval) {
		time.Sleep(pathWaitInterval)
		if s.paths.ReceivedSince(since) {
			return true, s.connects(address)
		}
	}
	return false, false
}

// recordCrash records a crash that this VM found. Callers hold s.mu.
func (s *suspects) recordCrash(now time.Time, service, endpoint string, inFlight []*run) {
	s.pool(service).record(now, endpoint, inFlight)
	// The request's caller is back before the next round of datagrams.
	if now.Sub(s.announcedAt) >= minAnnounceInterval {
		s.announcedAt = now
		s.announce()
	}
}
