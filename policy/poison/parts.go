package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// minCarriers is the number of different requests with a part that must have been in flight at
	// separate crashes before the part is quarantined. Crashes by one request may be its own doing, and
	// a part that another such request shares by chance has two. Two are enough if they were in flight
	// at minRepeatedCrashes separate crashes.
	minCarriers        = 3
	minRepeatedCrashes = 5
	// minSuspectCarriers is the number of different requests at whose crashes a part must have been to be
	// suspect, minSuspectRepeats the number of further crashes by one request that suffices as well.
	minSuspectCarriers, minSuspectRepeats = 2, 2
	// maxEventLength bounds the crashes that follow each other closely and count as one. A data centre is
	// lost in less; where requests crash endpoints at a high rate, the crashes never pause.
	maxEventLength = 150 * time.Millisecond
	// minExpectedAnswers is the number of survived answers that a part which crashes nothing must be
	// expected to have, by those to all requests. Right after all VMs have started there are none.
	minExpectedAnswers = 5
	// crashesPerAnswer is the number of crashes that each survived answer with the part adds to those that
	// are needed. A few answers may seem survived because no VM noticed the crash.
	crashesPerAnswer = 8
	// lateCrashesPerAnswer is the same in a tracker of parts. Parts of requests that run for long are in flight at
	// more crashes than others.
	lateCrashesPerAnswer = 32
	// maxCrashCarriers bounds the requests with a part that are counted at one crash.
	maxCrashCarriers = 16
	// rivalFactor multiplies minRepeatedCrashes while another part is nearly as likely, from rivalShare of
	// the highest score on.
	rivalFactor = 2
	rivalShare  = 0.5
	// partVerdictDelay is the time for which a decision against a part must have stood until it is final.
	// By then other VMs would have reported answers with the part. Its last crash doesn't count, since VMs
	// with less evidence go on sending such requests.
	partVerdictDelay = time.Second
	// latePartVerdictDelay is the same in a tracker of parts, whose evidence takes more datagrams.
	latePartVerdictDelay = 1500 * time.Millisecond
	// minPartInterval is the least time between two decisions on parts, which take some ms each with many
	// crashes, while reports of these change the evidence many times a second.
	minPartInterval = 100 * time.Millisecond
	// maxParts bounds the parts that were part of crashes, maxSoundParts those for which survived
	// answers are counted before a crash.
	maxParts, maxSoundParts = 2048, 4096
	// maxPriorAnswers bounds the survived answers that count from before a part's first crash.
	maxPriorAnswers = 5
	// minTurnedCrashes is the number of crashes with a part in a row, and minTurnedAnswers that of survived
	// answers that were to be expected meanwhile, without a single one, after which earlier answers don't
	// count: a part may begin to crash endpoints, for instance on a new version.
	minTurnedCrashes, minTurnedAnswers = 3, 10
)

// crashPart is a part that a request at a crash had in its prompt.
type crashPart struct {
	part Fingerprint
	// carrier identifies a request with the part; of several, the one with the lowest value. others are further
	// ones in a tracker of parts, some of those that are known. VMs don't exchange them.
	carrier uint32
	others  []uint32
}

// addOther records a further request with the part, and reports whether that is new.
func (p *crashPart) addOther(carrier uint32) bool {
	if len(p.others) == maxCrashCarriers-1 || slices.Contains(p.others, carrier) {
		return false
	}
	p.others = append(p.others, carrier)
	return true
}

func carrierOf(f Fingerprint) uint32 { return uint32(f) }

func compareParts(a crashPart, part Fingerprint) int { return cmp.Compare(a.part, part) }

func (c *crash) hasPart(part Fingerprint) bool {
	_, found := slices.BinarySearchFunc(c.parts, part, compareParts)
	return found
}

func (c *crash) hasAnyPart(parts map[Fingerprint]bool) bool {
	return len(parts) > 0 && slices.ContainsFunc(c.parts, func(p crashPart) bool { return parts[p.part] })
}

// recentRuns returns the number of requests whose parts may have crashed the endpoint.
func (c *crash) recentRuns() (n int) {
	for _, recent := range c.requests {
		if recent {
			n++
		}
	}
	return n
}

// partRecord is the evidence about one part.
type partRecord struct {
	crashes int // that it was part of
	answers partAnswers
	// told holds the answers of other VMs, in a tracker of parts; answers.n is that of this VM then, and others
	// the sum of theirs.
	told   map[string]*toldAnswers
	others int
	// turned says that the answers don't count: the part crashes endpoints since the last one.
	turned bool
}

// partAnswers are the answers with a part that their endpoints survived.
type partAnswers struct {
	n    int
	last time.Time // when the last of them began
}

// add adds an answer that began at the given time.
func (a partAnswers) add(began time.Time) partAnswers {
	return partAnswers{n: a.n + 1, last: later(a.last, began)}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// survived returns the number of survived answers that count for the part.
func (r *partRecord) survived() int {
	if r.turned {
		return 0
	}
	return r.known()
}

// known returns the number of survived answers with the part of all VMs, as far as known.
func (r *partRecord) known() int { return r.answers.n + r.others }

// counts reports whether a crash counts against the part.
func (r *partRecord) counts(c *crash) bool { return !r.turned || c.at.After(r.answers.last) }

// partEvidence is what a Tracker knows about parts of prompts. Each run of a request tests all parts
// of its prompt: a part that crashes endpoints never has an answer that its endpoint survives, and a
// part that most requests share has many, however many crashes it was part of.
type partEvidence struct {
	records map[Fingerprint]*partRecord
	// sound counts the survived answers of parts that were part of no crash, maxPriorAnswers at most.
	sound   *simplelru.LRU[Fingerprint, partAnswers]
	answers answerCounts
	// quarantined is the decision of decidedAt, computed by Tracker.decide. since is when each part in it
	// was found to crash endpoints.
	decidedAt   time.Time
	quarantined map[Fingerprint]bool
	since       map[Fingerprint]time.Time
	// suspects are the parts whose requests are sent to no second endpoint, by the same decision.
	suspects map[Fingerprint]bool
	// verdicts holds the parts that were found to crash endpoints, by this VM or another, once the
	// evidence had settled.
	verdicts map[Fingerprint]verdict
}

func newPartEvidence() partEvidence {
	sound, err := simplelru.NewLRU[Fingerprint, partAnswers](maxSoundParts, nil)
	if err != nil {
		panic(err) // only for a size that isn't positive
	}
	return partEvidence{records: make(map[Fingerprint]*partRecord), sound: sound, verdicts: make(map[Fingerprint]verdict)}
}

// RecordParts records that a request with the given parts ran at an endpoint when it crashed, and may
// have crashed it when its answer began.
func (t *Tracker) RecordParts(at time.Time, endpoint string, f Fingerprint, parts []Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, changed := t.crashOf(at, endpoint)
	changed = t.addRequest(c, f, true) || changed
	for _, part := range parts {
		changed = t.addPart(c, part, carrierOf(f)) || changed
	}
	t.noteChange(changed)
}

// RecordAnswer records an answer, which began at the given time, to a request with the given parts, and
// that its endpoint survived.
func (t *Tracker) RecordAnswer(now, began time.Time, parts []Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parts.answers.add(now)
	for _, part := range parts {
		if r := t.parts.records[part]; r != nil {
			r.answers = r.answers.add(began)
			// An answer can only end a quarantine.
			t.noteChange(t.parts.quarantined[part])
		} else if known, _ := t.parts.sound.Get(part); known.n < maxPriorAnswers {
			t.parts.sound.Add(part, known.add(began))
		} else {
			t.parts.sound.Add(part, partAnswers{n: known.n, last: later(known.last, began)})
		}
	}
}

// Answers returns the number of answers of this VM that their endpoints survived.
func (t *Tracker) Answers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.parts.answers.own
}

// SetOtherAnswers records that number of another VM.
func (t *Tracker) SetOtherAnswers(now time.Time, from string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parts.answers.set(now, from, n)
}

// RaiseAnswers records that a VM, perhaps this one in an earlier life, had at least that number.
func (t *Tracker) RaiseAnswers(from string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parts.answers.raise(from, n)
}

// addPart records that a part was in flight at a crash. It reports whether that is new.
func (t *Tracker) addPart(c *crash, part Fingerprint, carrier uint32) bool {
	i, found := slices.BinarySearchFunc(c.parts, part, compareParts)
	if found {
		p := &c.parts[i]
		if carrier == p.carrier {
			return false
		}
		isLower, further := carrier < p.carrier, max(carrier, p.carrier)
		p.carrier = min(carrier, p.carrier)
		if t.partsOnly {
			t.stale = p.addOther(further) || t.stale
		}
		return isLower
	}
	r := t.parts.records[part]
	if r == nil {
		if len(t.parts.records) >= maxParts {
			return false
		}
		answers, _ := t.parts.sound.Get(part)
		t.parts.sound.Remove(part)
		r = &partRecord{answers: answers}
		t.parts.records[part] = r
	}
	r.crashes++
	c.parts = slices.Insert(c.parts, i, crashPart{part: part, carrier: carrier})
	return true
}

// removePart removes a part from a crash.
func (t *Tracker) removePart(c *crash, part Fingerprint) {
	if i, found := slices.BinarySearchFunc(c.parts, part, compareParts); found {
		c.parts = slices.Delete(c.parts, i, i+1)
		if r := t.parts.records[part]; r.crashes > 1 {
			r.crashes--
		} else {
			delete(t.parts.records, part)
		}
	}
}

// dropParts removes the parts of a dropped crash.
func (t *Tracker) dropParts(c *crash) {
	for _, p := range c.parts {
		r := t.parts.records[p.part]
		if r.crashes--; r.crashes == 0 {
			delete(t.parts.records, p.part)
			t.parts.sound.Add(p.part, partAnswers{n: min(r.answers.n, maxPriorAnswers), last: r.answers.last})
		}
	}
}

// mayBeQuarantined reports whether a decision about a part is needed.
func (t *Tracker) mayBeQuarantined(parts []Fingerprint) bool {
	return slices.ContainsFunc(parts, func(part Fingerprint) bool {
		r := t.parts.records[part]
		return r != nil && r.crashes >= minCarriers
	})
}

// MayRepeat reports whether a request with the given parts may be sent to another endpoint. A part is
// suspect if no answer with it was survived and it was in flight at several crashes; its requests fail
// rather than take several endpoints out of service each.
func (t *Tracker) MayRepeat(now time.Time, parts ...Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	mayBeSuspect := func(part Fingerprint) bool {
		r := t.parts.records[part]
		return r != nil && r.crashes >= minSuspectCarriers && r.survived() == 0
	}
	if !slices.ContainsFunc(parts, mayBeSuspect) {
		return true
	}
	t.decide(now)
	return !slices.ContainsFunc(parts, func(part Fingerprint) bool { return t.parts.suspects[part] && mayBeSuspect(part) })
}

// decideParts computes which parts are in quarantine. The part with the highest score comes first;
// the crashes that it explains count against no other one.
func (t *Tracker) decideParts(now time.Time) {
	t.parts.decidedAt = now
	t.findTurned()
	quarantined := make(map[Fingerprint]bool)
	for part, v := range t.parts.verdicts {
		if t.isUpheld(part, v) {
			quarantined[part] = true
		}
	}
	answers := make(map[Fingerprint]uint32) // of the parts that the evidence of this VM decides against
	for {
		part, found := t.worstPart(quarantined)
		if !found {
			break
		}
		quarantined[part] = true
		answers[part] = uint32(t.parts.records[part].known())
	}
	t.parts.quarantined = quarantined
	t.parts.suspects = make(map[Fingerprint]bool)
	for part, s := range t.partScores(t.unexplained(quarantined)) {
		if s.survived == 0 && s.blame >= Threshold && (len(s.carriers) >= minSuspectCarriers || s.repeats >= minSuspectRepeats) {
			t.parts.suspects[part] = true
		}
	}
	since := make(map[Fingerprint]time.Time)
	for part := range quarantined {
		since[part] = now
		if before, found := t.parts.since[part]; found {
			since[part] = before
		}
		if last := t.lastCrashOfPart(part); !last.IsZero() && now.Sub(since[part]) >= t.partVerdictDelay() {
			t.noteChange(addVerdict(t.parts.verdicts, part, verdict{last: last, answers: answers[part]}))
		}
	}
	t.parts.since = since
}

// findTurned finds the parts with earlier answers that crash endpoints since the last of these: no answer
// has followed, though several were to be expected by the answers to all requests.
func (t *Tracker) findTurned() {
	runs := 0
	for _, c := range t.crashes {
		runs += c.recentRuns()
	}
	type row struct{ crashes, carriers, runs, answers int } // since the last answer
	rows := make(map[Fingerprint]*row)
	for _, c := range t.crashes {
		for _, p := range c.parts {
			r := t.parts.records[p.part]
			if r.known() == 0 || r.crashes < minTurnedCrashes || !c.at.After(r.answers.last) {
				continue
			}
			if rows[p.part] == nil {
				rows[p.part] = &row{runs: runs, answers: t.parts.answers.since(c.at.Add(answerJudgement))}
			}
			rows[p.part].crashes++
			rows[p.part].carriers += 1 + len(p.others)
		}
		runs -= c.recentRuns()
	}
	for part, r := range t.parts.records {
		r.turned = false
		if w := rows[part]; w != nil && w.crashes >= minTurnedCrashes {
			share := float64(w.carriers) / float64(max(w.runs, w.carriers))
			r.turned = share*float64(w.answers) >= minTurnedAnswers
		}
	}
}

func (t *Tracker) lastCrashOfPart(part Fingerprint) time.Time {
	for _, c := range slices.Backward(t.crashes) {
		if c.hasPart(part) {
			return c.at
		}
	}
	return time.Time{}
}
