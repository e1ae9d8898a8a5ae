package node

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"goldcrestfork/policy/poison"
)

const (
	// lateWindow is the time for which an answer must have gone on, unless it is complete, until its endpoint
	// has survived the parts of its prompt in suspectPool.late.
	lateWindow = 3 * time.Second
	// reservedLateBytes is the room for lateReports in each reservedLateRounds-th datagram. The others have what
	// the other reports leave.
	reservedLateBytes, reservedLateRounds = 300, 2
	// maxLateParts bounds the parts of one crash in a datagram, maxStoredLateParts in an entry, to which
	// lateReports add some 25 KB at most.
	maxLateParts, maxStoredLateParts = 8, 12
)

// lateReports is the part of crashReports that is about suspectPool.late, by service.
type lateReports struct {
	Crashes  map[string][]poison.PartCrash `cbor:"1,keyasint,omitempty"`
	Verdicts map[string][]poison.Verdict   `cbor:"2,keyasint,omitempty"`
	// Answers are the answers of the reporting VM that their endpoints survived, for services with crashes.
	Answers map[string]int `cbor:"3,keyasint,omitempty"`
	// Objections are answers with parts that other VMs have decided against.
	Objections map[string][]poison.Part `cbor:"4,keyasint,omitempty"`
	// KnownAnswers are the Answers of each of Verdicts, in their order.
	KnownAnswers map[string][]uint32 `cbor:"5,keyasint,omitempty"`
}

func newLateReports() *lateReports {
	return &lateReports{Crashes: make(map[string][]poison.PartCrash), Verdicts: make(map[string][]poison.Verdict), Answers: make(map[string]int), Objections: make(map[string][]poison.Part), KnownAnswers: make(map[string][]uint32)}
}

func (r *lateReports) isEmpty() bool {
	return len(r.Crashes)+len(r.Verdicts)+len(r.Objections) == 0
}

// addAge adds the time for which the reports were kept.
func (r *lateReports) addAge(by time.Duration) {
	for _, crashes := range r.Crashes {
		for i := range crashes {
			crashes[i].AddAge(by)
		}
	}
	poison.AddAge(by, nil, r.Objections, r.Verdicts)
}

// hasBeenAnsweredLate reports whether the answer shows that the endpoint survived all parts of its prompt, also
// those that crash it late.
func (r *run) hasBeenAnsweredLate(now time.Time) bool {
	return r.lastEvent.Sub(r.answering) > lateWindow || r.survived && now.Sub(r.ended) > partCrashDelay
}

// answerArrived returns when the last of the answer has arrived so far.
func (r *run) answerArrived() time.Time {
	if r.ended.After(r.lastEvent) {
		return r.ended
	}
	return r.lastEvent
}

// lateCrash is a crash that may be reported.
type lateCrash struct {
	poison.PartCrash
	service string
	reportState
	suspicion int // the most crashes that one of its parts was in
	order     uint64
}

// lateReport returns the reports about parts that crash endpoints late in the given number of bytes, nil if
// there are none, and the number of bytes that they take at most. Callers hold s.mu.
func (s *suspects) lateReport(now time.Time, size reportRoom) (out *lateReports, used int) {
	out = newLateReports()
	room := size
	if !room.take(lateSectionBytes) {
		return nil, 0
	}
	var lists []reportList
	for service, p := range s.pools {
		_, parts := p.late.Verdicts(now)
		lists = append(lists, objectionList(out.Objections, service, p.late.Objections(now)), verdictList(out.Verdicts, out.KnownAnswers, service, parts))
	}
	room.addLists(lists)
	for _, c := range s.recentLateCrashes(now) {
		size := 0
		if _, found := out.Answers[c.service]; !found {
			size = answersBytes + len(c.service) + listSize(c.service)
		}
		if len(out.Crashes) == 0 {
			c.trim(int(room) - size)
		}
		if !room.take(size + partCrashSize(&c.PartCrash)) {
			continue
		}
		out.Answers[c.service] = s.pools[c.service].late.Answers()
		out.Crashes[c.service] = append(out.Crashes[c.service], c.PartCrash)
		c.rounds++
		s.pools[c.service].reportedLate[c.Endpoint] = c.reportState
	}
	if out.isEmpty() {
		return nil, 0
	}
	return out, int(size - room)
}

// trim drops parts from the end until the report fits, but for some.
func (c *lateCrash) trim(size int) {
	const least = 4
	for partCrashSize(&c.PartCrash) > size && len(c.Parts) > least {
		c.Parts = c.Parts[:len(c.Parts)-1]
	}
}

// recentLateCrashes returns the crashes to report, in the order in which they are to be. Callers hold s.mu.
func (s *suspects) recentLateCrashes(now time.Time) (out []*lateCrash) {
	for service, p := range s.pools {
		known := make(map[string]bool)
		for _, c := range p.late.PartCrashes(now) {
			known[c.Endpoint] = true
			r := &lateCrash{PartCrash: c, service: service, reportState: p.reportedLate[c.Endpoint], order: rand.Uint64()}
			if r.parts != len(c.Parts) {
				r.reportState = reportState{parts: len(c.Parts)}
			}
			if c.Age() > suspectTTL || r.rounds >= maxReportRounds {
				continue
			}
			r.Parts = poison.MostSuspect(c.Parts, maxLateParts, r.rounds)
			for i := range r.Parts {
				r.suspicion = max(r.suspicion, r.Parts[i].Crashes)
			}
			out = append(out, r)
		}
		pruneReported(p.reportedLate, known)
	}
	slices.SortFunc(out, func(a, b *lateCrash) int {
		return cmp.Or(cmp.Compare(a.rounds, b.rounds), cmp.Compare(b.suspicion, a.suspicion), cmp.Compare(a.order, b.order))
	})
	return out
}

// mergeLate applies another VM's reports about parts that crash endpoints late. Callers hold s.mu.
func (s *suspects) mergeLate(now time.Time, from string, r *lateReports, stored bool) {
	for service, crashes := range r.Crashes {
		p := s.pool(service)
		teller := poison.Teller{Stored: stored}
		if n, found := r.Answers[service]; found {
			teller.Name, teller.Answers = from, n
		}
		changed := p.late.MergeParts(now, teller, crashes)
		for i := range crashes {
			at := now.Add(-crashes[i].Age())
			if own := p.at(crashes[i].Endpoint, at); len(own) > 0 {
				p.record(at, crashes[i].Endpoint, own)
			}
		}
		if changed {
			s.log.Info().Str("service", service).Str("from", from).Bool("stored", stored).Int("crashes", len(crashes)).Msg("parts at crashes heard from another VM")
		}
	}
	if !stored {
		for service, n := range r.Answers {
			s.pool(service).late.SetOtherAnswers(now, from, n)
		}
	}
	for service, parts := range r.Objections {
		s.pool(service).late.MergeObjections(now, parts)
	}
	for service, verdicts := range r.Verdicts {
		poison.SetKnownAnswers(verdicts, r.KnownAnswers[service])
		if len(verdicts) > 0 && s.pool(service).late.MergeVerdicts(now, nil, verdicts) {
			s.log.Info().Str("service", service).Str("from", from).Bool("stored", stored).Strs("parts", fingerprintsOf(verdicts)).Int64("youngest_ms", youngest(verdicts)).Msg("prompt parts that crash endpoints late heard from another VM")
		}
	}
}

// lateKey is the key in candidates of evidence of suspectPool.late.
func lateKey(key string) string { return "late " + key }

// addLateReport adds all that reports say, and calls note with each age in them.
func (c candidates) addLateReport(r *lateReports, note func(ageMs uint32)) {
	for service, crashes := range r.Crashes {
		for i := range crashes {
			note(crashes[i].AgeMs)
			for j := range crashes[i].Parts {
				c.add(lateKey(storedKey(service, crashes[i].Endpoint)), crashes[i].Parts[j].Part)
			}
		}
	}
	for service, parts := range r.Objections {
		for i := range parts {
			note(parts[i].AnsweredMs)
			c.add(lateKey(objectionKey(service)), parts[i].Part)
		}
	}
	for service, verdicts := range r.Verdicts {
		for _, v := range verdicts {
			note(v.AgeMs)
			c.add(lateKey(service), v.Fingerprint)
		}
	}
}

// storeLateReport returns what this VM's entry is to say of parts that crash endpoints late. lacking says that some of it is new. Callers hold s.mu.
func (s *suspects) storeLateReport(now time.Time, alone bool) (r *lateReports, lacking bool) {
	st := &s.stored
	r = newLateReports()
	isNew := func(key string, f poison.Fingerprint) bool {
		return !st.others[lateKey(key)][f] && !st.own[lateKey(key)][f]
	}
	for service, p := range s.pools {
		_, parts := p.late.Verdicts(now)
		r.Verdicts[service] = youngestVerdicts(parts)
		r.KnownAnswers[service] = poison.KnownAnswers(r.Verdicts[service])
		for _, v := range r.Verdicts[service] {
			lacking = lacking || isNew(service, v.Fingerprint)
		}
		r.Objections[service] = p.late.Objections(now)
		for i := range r.Objections[service] {
			lacking = lacking || isNew(objectionKey(service), r.Objections[service][i].Part)
		}
		r.Answers[service] = p.late.Answers()
		crashes := p.late.PartCrashes(now)
		for _, c := range crashes[max(len(crashes)-maxStoredCrashes, 0):] {
			key := storedKey(service, c.Endpoint)
			c.Parts = poison.MostSuspect(c.Parts, maxStoredLateParts, 0)
			for i := range c.Parts {
				part := &c.Parts[i]
				lacking = lacking || (alone || part.Crashes > 1 && part.IsSuspect()) && isNew(key, part.Part)
			}
			r.Crashes[service] = append(r.Crashes[service], c)
		}
	}
	return r, lacking
}
