package poison

import (
	"slices"
	"time"
)

// hasPartVerdict reports whether there is a final decision against a part.
func (t *Tracker) hasPartVerdict(now time.Time, parts []Fingerprint) bool {
	return len(t.parts.verdicts) > 0 && slices.ContainsFunc(parts, func(part Fingerprint) bool {
		v, found := t.parts.verdicts[part]
		return found && now.Sub(v.last) <= crashLifetime && t.isUpheld(part, v)
	})
}

// answersWith returns the survived answers with a part. Callers hold t.mu.
func (t *Tracker) answersWith(part Fingerprint) partAnswers {
	if r := t.parts.records[part]; r != nil {
		return r.answers
	}
	answers, _ := t.parts.sound.Peek(part)
	return answers
}

// isUpheld reports whether a decision against a part counts. The VM that decided may have heard of few answers:
// the decision doesn't count if an answer, which began after the last crash that led to it, was survived, or if
// this VM knows minExpectedAnswers more than were known at the decision and wouldn't decide so by itself.
func (t *Tracker) isUpheld(part Fingerprint, v verdict) bool {
	answers := t.answersWith(part)
	if answers.last.After(v.last) {
		return false
	}
	known, suffices := answers.n, false
	if r := t.parts.records[part]; r != nil {
		known = r.known()
		suffices = r.turned || r.crashes >= t.crashesPerAnswer()*known
	}
	return suffices || known < minExpectedAnswers || uint32(known-minExpectedAnswers) < v.answers
}

func (t *Tracker) partVerdictDelay() time.Duration {
	if t.partsOnly {
		return latePartVerdictDelay
	}
	return partVerdictDelay
}
