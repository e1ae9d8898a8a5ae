package poison

import (
	"maps"
	"time"
)

// partScore is the blame of a part by the crashes that nothing else explains.
type partScore struct {
	blame    float64
	score    float64 // blame for crashes with a new carrier, reduced by survived answers
	survived int     // answers with the part
	crashes  int     // that it was part of with a new carrier
	runs     int     // requests with it at these crashes, as far as known
	repeats  int     // that it was part of with a known one
	first    int     // index of the first one
	// separate and all count the crashes that don't follow another one with the part closely: those with
	// a new carrier, and all of them. last is the last crash, event the last that counted.
	separate, all int
	event, last   time.Time
	carriers      map[uint32]bool
	endpoints     map[string]bool
}

// isRepeated reports whether the part was in flight at enough separate crashes.
func (s *partScore) isRepeated() bool {
	return s.separate >= minCarriers || len(s.carriers) > 1 && s.all >= minRepeatedCrashes
}

// Reasons why a part that was in flight at several crashes isn't in quarantine.
const (
	lacksBlame     = "blame"
	lacksCarriers  = "different requests"
	lacksEndpoints = "different endpoints"
	lacksCrashes   = "crashes for its answers"
	lacksAnswers   = "answers to other requests"
	hasRivalPart   = "another part as likely"
)

// lacks returns what the evidence against a part lacks, empty if it suffices. crashes are those by which it
// was scored.
func (t *Tracker) lacks(part Fingerprint, s *partScore, crashes []*crash) string {
	switch {
	case s.score < Threshold:
		return lacksBlame
	case !s.isRepeated():
		return lacksCarriers
	case len(s.endpoints) < t.minEndpoints:
		return lacksEndpoints
	case s.crashes < t.crashesPerAnswer()*s.survived:
		return lacksCrashes
	}
	runs := 0
	for _, c := range crashes[s.first:] {
		runs += c.recentRuns()
	}
	share := min(float64(s.runs)/float64(max(runs, 1)), 1)
	if share*float64(t.answersBeside(part)) < minExpectedAnswers {
		return lacksAnswers
	}
	return ""
}

// crashesPerAnswer returns the number of crashes that each survived answer adds to those that are needed.
func (t *Tracker) crashesPerAnswer() int {
	if t.partsOnly {
		return lateCrashesPerAnswer
	}
	return crashesPerAnswer
}

// worstPart returns the part with the highest score among those that are to be quarantined.
func (t *Tracker) worstPart(quarantined map[Fingerprint]bool) (worst Fingerprint, found bool) {
	crashes := t.unexplained(quarantined)
	scores := t.partScores(crashes)
	for part, s := range scores {
		if found && (s.score < scores[worst].score || s.score == scores[worst].score && part > worst) {
			continue
		}
		if t.lacks(part, s, crashes) == "" {
			worst, found = part, true
		}
	}
	if !found || scores[worst].all < rivalFactor*minRepeatedCrashes && t.hasRival(worst, scores, quarantined) {
		return 0, false
	}
	return worst, true
}

// unexplained returns the crashes without a part in quarantine.
func (t *Tracker) unexplained(quarantined map[Fingerprint]bool) (out []*crash) {
	for _, c := range t.crashes {
		if !c.hasAnyPart(quarantined) {
			out = append(out, c)
		}
	}
	return out
}

// hasRival reports whether another part that is nearly as likely may have caused the crashes of a part: the
// evidence against it doesn't suffice without the crashes that the other one explains.
func (t *Tracker) hasRival(part Fingerprint, scores map[Fingerprint]*partScore, quarantined map[Fingerprint]bool) bool {
	for other, s := range scores {
		if other == part || s.score < rivalShare*scores[part].score {
			continue
		}
		explained := maps.Clone(quarantined)
		explained[other] = true
		crashes := t.unexplained(explained)
		if left := t.partScores(crashes)[part]; left == nil || t.lacks(part, left, crashes) != "" {
			return true
		}
	}
	return false
}

// partScores distributes the blame for each crash over the parts that were in flight, in proportion to
// the blame that each already has and to how few answers with it were survived.
func (t *Tracker) partScores(crashes []*crash) map[Fingerprint]*partScore {
	scores := make(map[Fingerprint]*partScore)
	for i, c := range crashes {
		total := baseOdds * t.unknownWeight(c)
		odds := make([]float64, len(c.parts))
		for j, p := range c.parts {
			odds[j] = t.odds(p.part, scores)
			total += odds[j]
		}
		for j, p := range c.parts {
			r := t.parts.records[p.part]
			if r.crashes < 2 || !r.counts(c) {
				continue // most parts; one crash decides nothing
			}
			s := scores[p.part]
			if s == nil {
				s = &partScore{first: i, survived: r.survived(), carriers: make(map[uint32]bool), endpoints: make(map[string]bool)}
				scores[p.part] = s
			}
			s.runs += 1 + len(p.others)
			s.add(c, p.carrier, odds[j]/total, t.rules.simultaneous)
		}
	}
	return scores
}

// add adds a crash with the part's share of the blame for it.
func (s *partScore) add(c *crash, carrier uint32, share float64, simultaneous time.Duration) {
	isSeparate := c.at.Sub(s.last) >= simultaneous || c.at.Sub(s.event) >= maxEventLength
	s.last = c.at
	if isSeparate {
		s.event = c.at
		s.all++
	}
	s.blame += share
	if s.carriers[carrier] {
		s.repeats++
		return
	}
	s.crashes++
	s.carriers[carrier], s.endpoints[c.endpoint] = true, true
	if isSeparate {
		s.separate++
	}
	s.score += share / float64(1+s.survived)
}

func (t *Tracker) odds(part Fingerprint, scores map[Fingerprint]*partScore) float64 {
	odds := baseOdds
	r := t.parts.records[part]
	if r.crashes > 1 && scores[part] != nil {
		odds += scores[part].blame
	}
	return odds / float64(1+r.survived())
}
