package node

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"goldcrestfork/policy/poison"
)

// maxLoggedRuns bounds the runs in one log line.
const maxLoggedRuns = 16

// logQuarantined writes a line for each request and each part that is newly in quarantine, or no
// longer. Callers hold s.mu.
func (s *suspects) logQuarantined(now time.Time) {
	for service, p := range s.pools {
		in := p.tracker.Quarantined(now)
		line := func(f poison.Fingerprint, quarantined bool) {
			state := p.tracker.Describe(f)
			s.log.Info().Str("service", service).Str("fingerprint", f.String()).Bool("quarantined", quarantined).Str("source", sourceOf(state.Heard)).
				Int("crashes", state.Crashes).Int("survived", state.Survived).Float64("blame", state.Blame).Func(s.addReach).Msg("request that crashes endpoints")
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
		log := s.log.With().Str("service", service).Logger()
		p.logQuarantinedParts(now, log, s.addReach)
		p.logDoubts(now, log)
	}
}

// sourceOf names where a decision was made.
func sourceOf(heard bool) string {
	if heard {
		return "heard"
	}
	return "own"
}

// addReach adds to a log line whose evidence this VM has.
func (s *suspects) addReach(e *zerolog.Event) {
	if s.reach != nil {
		heard, known := s.reach()
		e.Int("vms_heard", heard).Int("vms_known", known)
	}
}

func (p *suspectPool) logQuarantinedParts(now time.Time, log zerolog.Logger, addReach func(*zerolog.Event)) {
	in := make(map[poison.Fingerprint]bool)
	for i, tracker := range []*poison.Tracker{p.tracker, p.late} {
		for _, s := range tracker.QuarantinedParts(now) {
			if !p.quarantinedParts[s.Part] && !in[s.Part] {
				log.Info().Str("part", s.Part.String()).Bool("quarantined", true).Bool("late", i > 0).Str("source", sourceOf(s.Heard)).
					Int("crashes", s.Crashes).Int("survived", s.Survived).Bool("turned", s.Turned).Int("answers", s.Answers).Func(addReach).Msg("prompt part that crashes endpoints")
			}
			in[s.Part] = true
		}
	}
	for part := range p.quarantinedParts {
		if !in[part] {
			log.Info().Str("part", part.String()).Bool("quarantined", false).Msg("prompt part that crashes endpoints")
		}
	}
	p.quarantinedParts = in
}

const (
	// minDoubtCrashes is the number of crashes from which a part that isn't in quarantine is logged,
	// maxDoubts bounds the lines.
	minDoubtCrashes = 5
	maxDoubts       = 4
)

// logDoubts writes a line for each part that was in flight at several crashes and isn't in quarantine, when
// what the evidence against it lacks has changed.
func (p *suspectPool) logDoubts(now time.Time, log zerolog.Logger) {
	doubts := make(map[poison.Fingerprint]string)
	for _, d := range p.tracker.PartDoubts(now, minDoubtCrashes) {
		if len(doubts) == maxDoubts {
			break
		}
		doubts[d.Part] = d.Lacks
		if p.doubts[d.Part] != d.Lacks {
			log.Info().Str("part", d.Part.String()).Str("lacks", d.Lacks).Int("crashes", d.Crashes).Int("requests", d.Carriers).Int("survived", d.Survived).
				Int("answers", d.Answers).Float64("blame", d.Blame).Msg("prompt part that may crash endpoints")
		}
	}
	p.doubts = doubts
}
