package poison

import (
	"cmp"
	"slices"
	"time"
)

// PartState is a part in quarantine, for logs.
type PartState struct {
	Part Fingerprint
	// Crashes is the number of known crashes that it was part of, Survived that of answers that their
	// endpoints survived.
	Crashes, Survived int
	// Turned says that the answers don't count, since the part crashes endpoints since the last of them.
	Turned bool
	// Answers is the number of answers of all VMs that their endpoints survived, as far as known.
	Answers int
	// Heard says that the decision came from elsewhere.
	Heard bool
}

// QuarantinedParts returns the parts with which requests are to be refused, sorted by fingerprint.
func (t *Tracker) QuarantinedParts(now time.Time) (out []PartState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decide(now)
	for part := range t.parts.quarantined {
		if t.partsOnly && !t.hasPartVerdict(now, []Fingerprint{part}) {
			continue
		}
		s := PartState{Part: part, Answers: t.answersBeside(part), Heard: t.parts.verdicts[part].heard}
		if r := t.parts.records[part]; r != nil {
			s.Crashes, s.Survived, s.Turned = r.crashes, r.known(), r.turned
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b PartState) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// PartDoubt is a part that was in flight at several crashes, most of them with different requests, and that
// isn't in quarantine, for logs.
type PartDoubt struct {
	Part                                 Fingerprint
	Crashes, Carriers, Survived, Answers int
	Blame                                float64
	// Lacks says what the evidence against it lacks.
	Lacks string
}

// PartDoubts returns the parts at at least the given number of crashes that are not in quarantine, those with
// the most blame first.
func (t *Tracker) PartDoubts(now time.Time, crashes int) (out []PartDoubt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashes) < crashes {
		return nil
	}
	t.decide(now)
	unexplained := t.unexplained(t.parts.quarantined)
	for part, s := range t.partScores(unexplained) {
		if s.all < crashes || s.score < Threshold && s.survived > 0 {
			continue
		}
		out = append(out, PartDoubt{
			Part: part, Crashes: s.crashes + s.repeats, Carriers: len(s.carriers), Survived: s.survived, Answers: t.answersBeside(part),
			Blame: s.score, Lacks: cmp.Or(t.lacks(part, s, unexplained), hasRivalPart),
		})
	}
	slices.SortFunc(out, func(a, b PartDoubt) int { return cmp.Or(cmp.Compare(b.Blame, a.Blame), cmp.Compare(a.Part, b.Part)) })
	return out
}
