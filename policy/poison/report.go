package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Crash is the crash of an endpoint in the form that VMs exchange.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// AgeMs is the time since the crash in ms. It is a duration because the clocks of VMs differ.
	AgeMs uint32
	// Running is the number of requests that ran there, as far as a VM that found the crash knew.
	Running uint32
	// Requests are the known ones, sorted by fingerprint.
	Requests []Request
	// Parts are those of their prompts that may have crashed the endpoint, sorted by fingerprint.
	Parts []Part
}

// Age returns the time since the crash.
func (c *Crash) Age() time.Duration { return time.Duration(c.AgeMs) * time.Millisecond }

// AddAge adds the time for which a report was kept to the ages in it, which are by pool.
func AddAge(by time.Duration, crashes map[string][]Crash, answers map[string][]Part, verdicts ...map[string][]Verdict) {
	ms := uint32(min(max(by, 0), crashLifetime).Milliseconds())
	for _, list := range crashes {
		for i := range list {
			list[i].AgeMs += ms
			addAnswerAge(ms, list[i].Parts)
		}
	}
	for _, parts := range answers {
		addAnswerAge(ms, parts)
	}
	for _, byPool := range verdicts {
		for _, list := range byPool {
			for i := range list {
				list[i].AgeMs += ms
			}
		}
	}
}

func addAnswerAge(ms uint32, parts []Part) {
	for i := range parts {
		parts[i].AnsweredMs += ms
	}
}

// Request is a request that was in flight at a crash.
type Request struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// Survived is the number of complete answers to it since.
	Survived uint32
	// ByPart says that a part of its prompt may have crashed the endpoint.
	ByPart bool
	// Endpoints is the number of different endpoints at whose crashes it was. It isn't exchanged.
	Endpoints int `cbor:"-"`
}

// Part is a part of a prompt that may have crashed an endpoint.
type Part struct {
	_    struct{} `cbor:",toarray"`
	Part Fingerprint
	// Carrier identifies a request with the part.
	Carrier uint32
	// Survived is the number of answers with the part that their endpoints survived, and AnsweredMs the
	// time since the last of these began in ms.
	Survived   uint32
	AnsweredMs uint32
	// Crashes is the number of crashes that the part was in. It isn't exchanged.
	Crashes int `cbor:"-"`
	turned  bool
	// excess is how many answers of this VM, in a tracker of parts, are more than others have told of. The
	// part may look bad to VMs that don't know of them.
	excess int
	weight float64 // see partRecord
}

// commonParts is how many of the reported parts are those that were part of the most crashes, so that a VM
// which has just started learns that answers with them were survived.
const commonParts = 2

// MostSuspect returns the n most suspect of a crash's parts, and those that were part of the most
// crashes. Parts that are surely sound are left out. If there are too many suspect ones, another turn
// returns others.
func MostSuspect(parts []Part, n, turn int) []Part {
	if len(parts) <= commonParts {
		return parts
	}
	out := slices.Clone(parts)
	slices.SortStableFunc(out, func(a, b Part) int { return cmp.Compare(b.Crashes, a.Crashes) })
	suspects := slices.DeleteFunc(out[commonParts:], func(p Part) bool { return !p.IsSuspect() })
	slices.SortStableFunc(suspects, func(a, b Part) int { return cmp.Compare(b.suspicion(), a.suspicion()) })
	out = out[:commonParts+len(suspects)]
	if len(out) <= n {
		return out
	}
	// Half of the places are for the most suspect, and the others take turns.
	fixed := max(n/2, min(commonParts, n))
	rest := out[fixed:]
	first := turn * (n - fixed) % len(rest)
	return append(out[:fixed:fixed], append(slices.Clone(rest[first:]), rest[:first]...)[:n-fixed]...)
}

// IsSuspect reports whether the part isn't surely sound.
func (p *Part) IsSuspect() bool { return p.suspicion() >= 1 }

// suspicion orders parts. Those that crash endpoints since their last answer come first.
func (p *Part) suspicion() float64 {
	if p.turned {
		return float64(p.Crashes)
	}
	return float64(p.Crashes) / float64(1+int(p.Survived)-p.excess)
}

// Crashes returns all crashes in the order of time, for the other VMs.
func (t *Tracker) Crashes(now time.Time) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	out := make([]Crash, 0, len(t.crashes))
	for _, c := range t.crashes {
		e := Crash{Endpoint: c.endpoint, AgeMs: uint32(max(now.Sub(c.at).Milliseconds(), 0)), Running: uint32(c.running)}
		for _, f := range slices.Sorted(maps.Keys(c.requests)) {
			r := t.records[f]
			e.Requests = append(e.Requests, Request{Fingerprint: f, Survived: uint32(r.survived), ByPart: c.requests[f], Endpoints: len(r.crashes)})
		}
		e.Parts = t.partsOf(now, c)
		out = append(out, e)
	}
	return out
}

// partsOf returns the parts of a crash for the other VMs.
func (t *Tracker) partsOf(now time.Time, c *crash) (out []Part) {
	for _, p := range c.parts {
		r := t.parts.records[p.part]
		part := Part{Part: p.part, Carrier: p.carrier, Survived: uint32(r.answers.n), Crashes: r.crashes, turned: r.turned, weight: r.weight()}
		if t.partsOnly {
			part.excess = max(r.answers.n-r.others, 0)
		}
		if r.answers.n > 0 {
			part.AnsweredMs = uint32(max(now.Sub(r.answers.last).Milliseconds(), 0))
		}
		out = append(out, part)
	}
	return out
}

// Merge merges the crashes that another VM reports, and reports whether they added evidence. It
// is commutative and idempotent: the requests of a crash are united, its time is the earliest, and
// all other values merge by maximum.
func (t *Tracker) Merge(now time.Time, crashes []Crash) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	for i := range crashes {
		e := &crashes[i]
		if e.Age() > crashLifetime {
			continue
		}
		c, isNew := t.crashOf(now.Add(-e.Age()), e.Endpoint)
		changed = changed || isNew
		for _, r := range e.Requests {
			changed = t.addRequest(c, r.Fingerprint, r.ByPart) || changed
			if known := t.records[r.Fingerprint]; known != nil && int(r.Survived) > known.survived {
				known.survived, changed = int(r.Survived), true
			}
		}
		for j := range e.Parts {
			p := &e.Parts[j]
			changed = t.addPart(c, p.Part, p.Carrier) || changed
			if known := t.parts.records[p.Part]; known != nil && p.Survived > 0 {
				changed = changed || int(p.Survived) > known.answers.n
				known.answers = known.answers.merge(p, now)
			}
		}
		c.running = max(c.running, int(e.Running), len(c.requests))
	}
	t.noteChange(changed)
	return changed
}

// Verdict is a final decision that a request or a part crashes endpoints, in the form that VMs exchange.
type Verdict struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// AgeMs is the time since its last crash in ms.
	AgeMs uint32
	// Answers is the number of survived answers with a part that were known to a VM that decided against it.
	// Reports hold it as KnownAnswers, since earlier versions read arrays of two elements alone.
	Answers uint32 `cbor:"-"`
}

// unknownAnswers stands for the number of a VM of an earlier version, which doesn't tell it.
const unknownAnswers = math.MaxUint32

// KnownAnswers returns the Answers of each verdict, for reports.
func KnownAnswers(verdicts []Verdict) []uint32 {
	out := make([]uint32, 0, len(verdicts))
	for _, v := range verdicts {
		out = append(out, v.Answers)
	}
	return out
}

// SetKnownAnswers sets the Answers of each verdict of a report, whose KnownAnswers are empty if its VM is of an
// earlier version.
func SetKnownAnswers(verdicts []Verdict, answers []uint32) {
	for i := range verdicts {
		verdicts[i].Answers = unknownAnswers
		if len(answers) == len(verdicts) {
			verdicts[i].Answers = answers[i]
		}
	}
}

// Verdicts returns the final decisions on requests and on parts, for VMs that have started since the
// crashes.
func (t *Tracker) Verdicts(now time.Time) (requests, parts []Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decide(now)
	upheld := maps.Clone(t.parts.verdicts)
	maps.DeleteFunc(upheld, func(part Fingerprint, v verdict) bool { return !t.isUpheld(part, v) })
	return reportVerdicts(now, t.verdicts), reportVerdicts(now, upheld)
}

func reportVerdicts(now time.Time, verdicts map[Fingerprint]verdict) []Verdict {
	out := make([]Verdict, 0, len(verdicts))
	for _, f := range slices.Sorted(maps.Keys(verdicts)) {
		out = append(out, Verdict{Fingerprint: f, AgeMs: uint32(max(now.Sub(verdicts[f].last).Milliseconds(), 0)), Answers: verdicts[f].answers})
	}
	return out
}

// Objections returns the answers with parts against which there are final decisions that don't count, for VMs
// that don't know these answers.
func (t *Tracker) Objections(now time.Time) (out []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range slices.Sorted(maps.Keys(t.parts.verdicts)) {
		if !t.isUpheld(part, t.parts.verdicts[part]) {
			a := t.answersWith(part)
			out = append(out, Part{Part: part, Survived: uint32(a.n), AnsweredMs: uint32(max(now.Sub(a.last).Milliseconds(), 0))})
		}
	}
	return out
}

// MergeObjections applies those of another VM.
func (t *Tracker) MergeObjections(now time.Time, parts []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range parts {
		p := &parts[i]
		if t.partsOnly {
			// One answer suffices to object, and this VM tells others of it as its own.
			p = &Part{Part: p.Part, Survived: min(p.Survived, 1), AnsweredMs: p.AnsweredMs}
		}
		answers := t.answersWith(p.Part).merge(p, now)
		if r := t.parts.records[p.Part]; r != nil {
			r.answers = answers
		} else {
			t.parts.sound.Add(p.Part, partAnswers{n: min(answers.n, maxPriorAnswers), last: answers.last})
		}
	}
	t.stale = t.stale || len(parts) > 0
}

// merge adds the answers that another VM reports.
func (a partAnswers) merge(p *Part, now time.Time) partAnswers {
	last := now.Add(-time.Duration(p.AnsweredMs) * time.Millisecond)
	return partAnswers{n: max(a.n, int(p.Survived)), last: later(a.last, last)}
}

// MergeVerdicts applies the final decisions of another VM, and reports whether any was new.
func (t *Tracker) MergeVerdicts(now time.Time, requests, parts []Verdict) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := mergeVerdicts(now, t.verdicts, requests)
	changed = mergeVerdicts(now, t.parts.verdicts, parts) || changed
	t.noteChange(changed)
	return changed
}

func mergeVerdicts(now time.Time, known map[Fingerprint]verdict, heard []Verdict) (changed bool) {
	for _, v := range heard {
		if age := time.Duration(v.AgeMs) * time.Millisecond; age <= crashLifetime {
			changed = addVerdict(known, v.Fingerprint, verdict{last: now.Add(-age), heard: true, answers: v.Answers}) || changed
		}
	}
	return changed
}
