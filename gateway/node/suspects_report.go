package node

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"goldcrestfork/policy/poison"
)

const (
	// maxReportedRequests bounds the requests of one crash in a datagram. Those that were part of
	// the most crashes are reported.
	maxReportedRequests = 20
	// maxReportedParts bounds the parts of one crash in a datagram.
	maxReportedParts = 8
	// maxReportRounds is the number of rounds in which the same is reported of a crash. A round
	// reaches a dozen VMs, and each of them sends it on.
	maxReportRounds = 8
	// maxReportedVerdicts bounds the verdicts of a service on requests in one datagram, and those on
	// parts. If there are more, they are drawn at random.
	maxReportedVerdicts = 4
	// listShare is the share of a report, as a divisor, that verdicts and objections take at most, so that there
	// is room for crashes however many services have decisions.
	listShare = 3
)

// crashReports is a VM's part of a datagram about crashes, by service. The keys 1 and 3 belonged to
// crashes in other forms.
type crashReports struct {
	Crashes      map[string][]poison.Crash   `cbor:"6,keyasint,omitempty"`
	Verdicts     map[string][]poison.Verdict `cbor:"2,keyasint,omitempty"`
	PartVerdicts map[string][]poison.Verdict `cbor:"4,keyasint,omitempty"`
	// Answers are the answers of the reporting VM that their endpoints survived, for services with crashes.
	Answers map[string]int `cbor:"5,keyasint,omitempty"`
	// Objections are answers with parts that other VMs have decided against.
	Objections map[string][]poison.Part `cbor:"7,keyasint,omitempty"`
	// KnownAnswers are the Answers of each of PartVerdicts, in their order.
	KnownAnswers map[string][]uint32 `cbor:"9,keyasint,omitempty"`
	// Late is about parts of prompts that crash endpoints at any time of an answer.
	Late *lateReports `cbor:"8,keyasint,omitempty"`
}

// reportState is what other VMs were told about a crash.
type reportState struct {
	requests, parts int // known at the last report
	rounds          int // that reported as many
}

// crashReport is a crash that may be reported.
type crashReport struct {
	poison.Crash
	service string
	reportState
	suspicion int    // the most crashes that one of its requests was part of
	order     uint64 // random
}

// report returns this VM's part of a datagram about crashes, also those that it learnt of from
// other VMs, in the given number of bytes; nil if there is nothing to report. The crashes that were
// reported least often come first, so that each is reported however many there are.
func (s *suspects) report(size int) *crashReports {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	s.logQuarantined(now)
	out := &crashReports{Crashes: make(map[string][]poison.Crash), Verdicts: make(map[string][]poison.Verdict), PartVerdicts: make(map[string][]poison.Verdict), Answers: make(map[string]int), Objections: make(map[string][]poison.Part), KnownAnswers: make(map[string][]uint32)}
	room := reportRoom(size - reportBytes)
	var lists []reportList
	for service, p := range s.pools {
		requests, parts := p.tracker.Verdicts(now)
		lists = append(lists, objectionList(out.Objections, service, p.tracker.Objections(now)), verdictList(out.PartVerdicts, out.KnownAnswers, service, parts), verdictList(out.Verdicts, nil, service, requests))
	}
	room.addLists(lists)
	if s.reports++; s.reports%reservedLateRounds == 0 {
		var used int
		out.Late, used = s.lateReport(now, min(reservedLateBytes, room))
		room -= reportRoom(used)
	}
	for _, r := range s.recentCrashes(now) {
		size := 0
		if _, found := out.Answers[r.service]; !found {
			size = answersBytes + len(r.service) + listSize(r.service)
		}
		if len(out.Crashes) == 0 {
			r.trim(int(room) - size)
		}
		if !room.take(size + crashSize(&r.Crash)) {
			break
		}
		out.Answers[r.service] = s.pools[r.service].tracker.Answers()
		out.Crashes[r.service] = append(out.Crashes[r.service], r.Crash)
		r.rounds++
		s.pools[r.service].reported[r.Endpoint] = r.reportState
	}
	if out.Late == nil {
		out.Late, _ = s.lateReport(now, room)
	}
	if len(out.Crashes)+len(out.Verdicts)+len(out.PartVerdicts)+len(out.Objections) == 0 && out.Late == nil {
		return nil
	}
	return out
}

// reportList adds a list to a report if there is room.
type reportList func(room *reportRoom)

// addLists adds lists in random order, in a share of the room.
func (r *reportRoom) addLists(lists []reportList) {
	rand.Shuffle(len(lists), func(i, j int) { lists[i], lists[j] = lists[j], lists[i] })
	room := *r / listShare
	*r -= room
	for _, add := range lists {
		add(&room)
	}
	*r += room
}

// verdictList adds verdicts of a service, drawn at random if there are many, and their known answers unless
// these are nil.
func verdictList(out map[string][]poison.Verdict, answers map[string][]uint32, service string, v []poison.Verdict) reportList {
	empty, each := listSize(service), verdictBytes
	if answers != nil {
		empty, each = 2*empty, each+knownAnswersBytes
	}
	return func(room *reportRoom) {
		rand.Shuffle(len(v), func(i, j int) { v[i], v[j] = v[j], v[i] })
		n := min(len(v), maxReportedVerdicts, (int(*room)-empty)/each)
		if n <= 0 || !room.take(empty+n*each) {
			return
		}
		out[service] = v[:n]
		if answers != nil {
			answers[service] = poison.KnownAnswers(v[:n])
		}
	}
}

// objectionList does the same for objections.
func objectionList(out map[string][]poison.Part, service string, parts []poison.Part) reportList {
	return func(room *reportRoom) {
		rand.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
		for n := min(len(parts), maxReportedVerdicts); n > 0; n-- {
			if room.take(listSize(service) + partsSize(parts[:n])) {
				out[service] = parts[:n]
				return
			}
		}
	}
}

// trim drops requests from the end until the report fits a datagram, but for some.
func (r *crashReport) trim(size int) {
	const least = 4
	for crashSize(&r.Crash) > size && len(r.Requests) > least {
		r.Requests = r.Requests[:len(r.Requests)-1]
	}
}

// recentCrashes returns the crashes to report, in the order in which they are to be. Callers hold
// s.mu.
func (s *suspects) recentCrashes(now time.Time) (out []*crashReport) {
	for service, p := range s.pools {
		known := make(map[string]bool)
		for _, c := range p.tracker.Crashes(now) {
			known[c.Endpoint] = true
			r := &crashReport{Crash: c, service: service, reportState: p.reported[c.Endpoint], order: rand.Uint64()}
			if r.requests != len(c.Requests) || r.parts != len(c.Parts) {
				r.reportState = reportState{requests: len(c.Requests), parts: len(c.Parts)}
			}
			if c.Age() <= suspectTTL && r.rounds < maxReportRounds {
				r.Requests = mostSuspect(c.Requests, maxReportedRequests)
				r.Parts = poison.MostSuspect(c.Parts, maxReportedParts, r.rounds)
				for _, request := range r.Requests {
					r.suspicion = max(r.suspicion, request.Endpoints)
				}
				out = append(out, r)
			}
		}
		pruneReported(p.reported, known)
	}
	slices.SortFunc(out, func(a, b *crashReport) int {
		return cmp.Or(cmp.Compare(a.rounds, b.rounds), cmp.Compare(b.suspicion, a.suspicion), cmp.Compare(a.order, b.order))
	})
	return out
}

// pruneReported drops the states of crashes that are no longer known.
func pruneReported(reported map[string]reportState, known map[string]bool) {
	maps.DeleteFunc(reported, func(endpoint string, _ reportState) bool { return !known[endpoint] })
}

// mostSuspect returns the requests that were part of the most crashes, n at most.
func mostSuspect(requests []poison.Request, n int) []poison.Request {
	if len(requests) <= n {
		return requests
	}
	out := slices.Clone(requests)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b poison.Request) int { return cmp.Compare(b.Endpoints, a.Endpoints) })
	return out[:n]
}

// merge applies another VM's part of a datagram about crashes, or what it wrote to the platform.
func (s *suspects) merge(from string, r *crashReports, stored bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, crashes := range r.Crashes {
		p := s.pool(service)
		changed := p.tracker.Merge(now, crashes)
		for i := range crashes {
			// The reporting VM doesn't know this VM's requests that ran there.
			at := now.Add(-crashes[i].Age())
			p.late.RecordRuns(now, at, crashes[i].Endpoint, crashes[i].Requests)
			if own := p.at(crashes[i].Endpoint, at); len(own) > 0 {
				p.record(at, crashes[i].Endpoint, own)
			}
		}
		if changed {
			s.log.Info().Str("service", service).Str("from", from).Bool("stored", stored).Strs("endpoints", endpointsOf(crashes)).Msg("crashes heard from another VM")
		}
	}
	for service, n := range r.Answers {
		if stored {
			s.pool(service).tracker.RaiseAnswers(from, n)
		} else {
			s.pool(service).tracker.SetOtherAnswers(now, from, n)
		}
	}
	for service, parts := range r.Objections {
		s.pool(service).tracker.MergeObjections(now, parts)
	}
	for service, verdicts := range r.Verdicts {
		if len(verdicts) > 0 && s.pool(service).tracker.MergeVerdicts(now, verdicts, nil) {
			s.log.Info().Str("service", service).Str("from", from).Bool("stored", stored).Strs("fingerprints", fingerprintsOf(verdicts)).Int64("youngest_ms", youngest(verdicts)).Msg("requests that crash endpoints heard from another VM")
		}
	}
	for service, verdicts := range r.PartVerdicts {
		poison.SetKnownAnswers(verdicts, r.KnownAnswers[service])
		if len(verdicts) > 0 && s.pool(service).tracker.MergeVerdicts(now, nil, verdicts) {
			s.log.Info().Str("service", service).Str("from", from).Bool("stored", stored).Strs("parts", fingerprintsOf(verdicts)).Int64("youngest_ms", youngest(verdicts)).Msg("prompt parts that crash endpoints heard from another VM")
		}
	}
	if r.Late != nil {
		s.mergeLate(now, from, r.Late, stored)
	}
}

func endpointsOf(crashes []poison.Crash) (out []string) {
	for i := range crashes {
		out = append(out, crashes[i].Endpoint)
	}
	return out
}

func fingerprintsOf(verdicts []poison.Verdict) (out []string) {
	for _, v := range verdicts {
		out = append(out, v.Fingerprint.String())
	}
	return out
}

// youngest returns the time in ms since the last crash by any of the verdicts' subjects.
func youngest(verdicts []poison.Verdict) int64 {
	return int64(slices.MinFunc(verdicts, func(a, b poison.Verdict) int { return cmp.Compare(a.AgeMs, b.AgeMs) }).AgeMs)
}
