package poison

import "time"

// NewPartTracker returns a tracker of parts alone for a pool with the given number of endpoints. It keeps the
// answers of each VM apart: a part is judged by the answers of the VMs that have told of it, so that a VM whose
// answers with it are unknown doesn't make it look bad. Only its final decisions count, since most parts at a
// crash, and most answers, are known to other VMs first.
func NewPartTracker(endpoints int) *Tracker {
	t := New(endpoints)
	t.partsOnly = true
	return t
}

// PartCrash is the crash of an endpoint in the form in which VMs exchange it for trackers of parts.
type PartCrash struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	AgeMs    uint32 // since the crash
	// Weight is how many parts may have crashed the endpoint, in thousandths. Each counts the less, the more
	// answers with it were survived.
	Weight uint32
	// Parts are those that may have crashed the endpoint. Their answers are those of the reporting VM.
	Parts []Part
}

// Age returns the time since the crash.
func (c *PartCrash) Age() time.Duration { return time.Duration(c.AgeMs) * time.Millisecond }

// AddAge adds the time for which the report was kept.
func (c *PartCrash) AddAge(by time.Duration) {
	ms := uint32(min(max(by, 0), crashLifetime).Milliseconds())
	c.AgeMs += ms
	addAnswerAge(ms, c.Parts)
}

// maxTellers bounds the VMs whose answers with a part count.
const maxTellers = 64

// Teller is a VM that reports crashes to a tracker of parts.
type Teller struct {
	// Name is empty if its answers don't count, for instance since this tracker counted them itself.
	Name string
	// Answers is the number of its answers that their endpoints survived.
	Answers int
	// Stored says that the report was kept at the platform, perhaps from an earlier life of the VM.
	Stored bool
}

// toldAnswers are the survived answers of another VM with a part, and all that it had when it told of them.
type toldAnswers struct {
	now, before answerRatio // in its present life and in earlier ones
	stored      answerRatio // by its entry at the platform, in any life
}

type answerRatio struct{ with, all int }

// survived returns the answers with the part, answers all.
func (a *toldAnswers) survived() int { return max(a.now.with+a.before.with, a.stored.with) }
func (a *toldAnswers) answers() int  { return max(a.now.all+a.before.all, a.stored.all) }

// merge adds a report. A VM that has started again counts from zero.
func (a *toldAnswers) merge(r answerRatio, stored bool) {
	switch {
	case stored && r.all > a.stored.all:
		a.stored = r
	case stored:
	case r.all < a.now.all:
		a.before = answerRatio{with: a.before.with + a.now.with, all: a.before.all + a.now.all}
		a.now = r
	default:
		a.now = answerRatio{with: max(a.now.with, r.with), all: r.all}
	}
}

// answersBeside returns the number of survived answers to all requests that those with a part are compared with.
func (t *Tracker) answersBeside(part Fingerprint) int {
	if !t.partsOnly {
		return t.parts.answers.all()
	}
	n := t.parts.answers.own
	if r := t.parts.records[part]; r != nil {
		for _, a := range r.told {
			n += a.answers()
		}
	}
	return n
}

// RecordRuns records requests that ran at an endpoint when it crashed, as far as another VM tells. Their parts
// follow in reports for trackers of parts.
func (t *Tracker) RecordRuns(now, at time.Time, endpoint string, requests []Request) {
	if now.Sub(at) > crashLifetime {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	c, changed := t.crashOf(at, endpoint)
	for i := range requests {
		changed = t.addRequest(c, requests[i].Fingerprint, true) || changed
	}
	t.noteChange(changed)
}

// MergeParts merges the crashes that another VM reports, and reports whether they added evidence.
func (t *Tracker) MergeParts(now time.Time, from Teller, crashes []PartCrash) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	for i := range crashes {
		e := &crashes[i]
		if e.Age() > crashLifetime {
			continue
		}
		c, isNew := t.crashOf(now.Add(-e.Age()), e.Endpoint)
		if weight := float64(e.Weight) / 1000; weight > c.weight {
			c.weight, t.stale = weight, true
		}
		changed = changed || isNew
		for j := range e.Parts {
			p := &e.Parts[j]
			changed = t.addPart(c, p.Part, p.Carrier) || changed
			if r := t.parts.records[p.Part]; r != nil {
				changed = r.merge(now, from, p) || changed
			}
		}
	}
	t.noteChange(changed)
	return changed
}

// merge merges the answers that a VM reports, and reports whether any was new.
func (r *partRecord) merge(now time.Time, from Teller, p *Part) bool {
	if p.Survived > 0 {
		r.answers.last = later(r.answers.last, now.Add(-time.Duration(p.AnsweredMs)*time.Millisecond))
	}
	told := r.told[from.Name]
	if from.Name == "" || told == nil && len(r.told) >= maxTellers {
		return false
	}
	if r.told == nil {
		r.told = make(map[string]*toldAnswers)
	}
	if told == nil {
		told = &toldAnswers{}
		r.told[from.Name] = told
	}
	before := told.survived()
	told.merge(answerRatio{with: int(p.Survived), all: from.Answers}, from.Stored)
	r.others += told.survived() - before
	return told.survived() != before
}

// PartCrashes returns all crashes with parts in the order of time, for the other VMs.
func (t *Tracker) PartCrashes(now time.Time) (out []PartCrash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	for _, c := range t.crashes {
		if len(c.parts) == 0 {
			continue
		}
		parts, weight := t.partsOf(now, c), 0.0
		for i := range parts {
			weight += parts[i].weight
		}
		out = append(out, PartCrash{Endpoint: c.endpoint, AgeMs: uint32(max(now.Sub(c.at).Milliseconds(), 0)), Weight: uint32(1000 * weight), Parts: parts})
	}
	return out
}

// weight returns how much a part counts among those that may have crashed an endpoint.
func (r *partRecord) weight() float64 { return 1 / float64(1+r.known()) }

// unknownWeight returns how many parts that this VM doesn't know may have crashed the endpoint.
func (t *Tracker) unknownWeight(c *crash) float64 {
	weight := c.weight
	if weight > 0 {
		for _, p := range c.parts {
			weight -= t.parts.records[p.part].weight()
		}
	}
	return max(weight, 0)
}

// HasPartVerdict reports whether there is a final decision against a part.
func (t *Tracker) HasPartVerdict(now time.Time, parts ...Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasPartVerdict(now, parts)
}
