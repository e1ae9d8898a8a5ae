// Package poison finds requests, and parts of prompts, that crash each endpoint that runs them.
//
// Load pattern: such a request has an input that makes the engine crash. It is retried on the
// next endpoint, and its caller sends it again. Several of them come at the same time, while
// endpoints crash for other reasons too, alone or a whole data centre at once.
//
// Without quarantine, each dispatch takes an endpoint out of service for its restart and cold
// start, together with all requests that run there, and a pool of nine endpoints is lost within
// seconds.
//
// A crash distributes one unit of blame over the requests that ran on the endpoint, in
// proportion to the blame that each already has: a request that was in flight at an
// earlier crash gets most of it, and the others get little. Three rules keep harmless
// requests out of quarantine:
//
//   - Quarantine requires crashes of several different endpoints (DistinctLarge or
//     DistinctSmall) and Threshold units of blame.
//   - A suspect, which was in flight at a crash and has not completed since, runs apart
//     from other suspects, so that one crash never adds blame to two of them. IsSuspect
//     serves as a filter when an endpoint is picked.
//   - A crash among those of other endpoints that ran without the request counts sharedWeight,
//     since endpoints that crash together have a common cause, such as their power. This
//     doesn't apply to crashes that a request in quarantine explains.
//
// Requests of which no two are alike may crash endpoints by one part of their prompts, for instance a
// document that many callers send. A part is judged by all runs of requests that hold it: a bad one never
// has an answer that its endpoint survives, and one that most requests share has many, however many
// crashes it was part of. Blame for a crash is distributed over the parts as well as over the requests,
// and the crashes that a part in quarantine explains count against nothing else.
//
// A part that crashes endpoints long after its request's answer began needs another window: a second Tracker,
// of NewPartTracker, counts every run under way at a crash and waits longer until an answer is survived. The
// requests at a crash are then many, so that it decides by final decisions alone.
//
// The evidence is which requests were in flight at which crashes. Blame is computed from it when
// it is asked for, so that VMs may exchange evidence in any order and repeatedly, and a later
// report corrects what an earlier one suggested.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// DistinctLarge is the number of different endpoints that a request must have crashed
	// before it is quarantined in a pool of at least smallPoolSize endpoints.
	DistinctLarge = 3
	// DistinctSmall is that number for smaller pools, since three crashes would take
	// down a pool of three.
	DistinctSmall = 2
	smallPoolSize = 8
	// Threshold is the blame that leads to quarantine. With seven new requests in flight
	// beside it, a poison request reaches 0.75 at the second crash; with fifteen, it
	// reaches 1.1 at the third.
	Threshold = 0.6
	// baseOdds is the weight in the distribution of blame of a request that was not in
	// flight at a crash before. A suspect of a crash with eight requests in flight has
	// odds of 1/8; a new request has far lower ones, since most requests never crash an
	// endpoint.
	baseOdds = 0.01
	// crashLifetime is the time for which a crash counts, so that a repaired engine receives the
	// request again.
	crashLifetime = 10 * time.Minute
	// sameCrash is the time within which reports of one endpoint's crash are about the same crash.
	// An endpoint takes longer to start again.
	sameCrash = 2 * time.Second
	// maxRecords bounds the requests. It holds ten times those of 12 simultaneous crashes with 16
	// requests in flight each.
	maxRecords = 2048
	// maxCrashes bounds the crashes; the oldest give way.
	maxCrashes = 512
	// verdictDelay is the time after a request's last crash at which a decision against it is
	// final. By then the evidence of all VMs is known.
	verdictDelay = 3 * time.Second
	maxVerdicts  = 256
)

// crash is the crash of an endpoint with the requests that were in flight there.
type crash struct {
	at       time.Time
	endpoint string
	// requests holds the requests, and whether a part of their prompts may have crashed the endpoint.
	requests map[Fingerprint]bool
	// running is the number of requests that ran there, as far as a VM that found the crash knew. It
	// may be larger than that of the known requests.
	running int
	parts   []crashPart // of the prompts of requests that may have crashed it, sorted by part
	// weight is the largest sum of partRecord.weight of the parts that another VM has told of. It may know more
	// of them.
	weight float64
}

func (c *crash) has(f Fingerprint) bool {
	_, found := c.requests[f]
	return found
}

// record is the evidence about one request.
type record struct {
	// crashes holds the first crash of each endpoint that the request was part of. Later ones of
	// the same endpoint don't count: it may crash repeatedly for its own reasons.
	crashes map[string]*crash
	// survived is the number of complete answers.
	survived int
}

// Tracker records crashes for the requests of one pool, and decides which requests are in
// quarantine. It is safe for concurrent use. Its mutex is a leaf of the lock order.
type Tracker struct {
	mu           sync.Mutex
	minEndpoints int
	partsOnly    bool // see NewPartTracker
	rules        rules
	records      map[Fingerprint]*record
	crashes      []*crash // in the order of time
	// quarantined is the decision on the evidence so far. It is computed anew if the evidence
	// has changed (stale) or may count differently by now (validUntil).
	quarantined map[Fingerprint]bool
	blame       map[Fingerprint]float64 // of the requests that were part of several crashes
	stale       bool
	validUntil  time.Time
	version     uint64 // counts the changes of what VMs exchange, but for answers
	// verdicts holds the requests that were found to crash endpoints, by this VM or another, once the
	// evidence had settled.
	verdicts map[Fingerprint]verdict
	parts    partEvidence
}

// New returns a tracker for a pool with the given number of endpoints.
func New(endpoints int) *Tracker {
	t := &Tracker{records: make(map[Fingerprint]*record), verdicts: make(map[Fingerprint]verdict), parts: newPartEvidence(), rules: defaultRules}
	t.Resize(endpoints)
	return t
}

// Resize applies a change of the number of endpoints.
func (t *Tracker) Resize(endpoints int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stale = true
	t.minEndpoints = DistinctLarge
	if endpoints < smallPoolSize {
		t.minEndpoints = DistinctSmall
	}
}

// IsQuarantined reports whether the request is to be refused, for itself or for one of the given parts
// of its prompt. It costs a few map lookups for a request that was in flight at few crashes, usually
// in empty maps.
func (t *Tracker) IsQuarantined(now time.Time, f Fingerprint, parts ...Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v, found := t.verdicts[f]; found && now.Sub(v.last) <= crashLifetime {
		return true
	}
	if t.hasPartVerdict(now, parts) {
		return true
	}
	r := t.records[f]
	if (r == nil || len(r.crashes) < t.minEndpoints) && !t.mayBeQuarantined(parts) {
		return false
	}
	t.decide(now)
	return t.quarantined[f] || slices.ContainsFunc(parts, func(part Fingerprint) bool { return t.parts.quarantined[part] })
}

// Quarantined returns all requests that are to be refused.
func (t *Tracker) Quarantined(now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decide(now)
	return slices.Sorted(maps.Keys(t.quarantined))
}

// RequestState is what is known of a request in quarantine, for logs.
type RequestState struct {
	// Crashes is the number of endpoints at whose known crashes it was, Survived that of complete answers.
	Crashes, Survived int
	// Blame is its blame by the last decision, with which it is in quarantine from Threshold on.
	Blame float64
	// Heard says that the decision came from elsewhere.
	Heard bool
}

// Describe returns what is known of a request.
func (t *Tracker) Describe(f Fingerprint) RequestState {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := RequestState{Heard: t.verdicts[f].heard, Blame: t.blame[f]}
	if r := t.records[f]; r != nil {
		s.Crashes, s.Survived = len(r.crashes), r.survived
	}
	return s
}

// IsSuspect reports whether the request was in flight at a crash and has not completed
// since. It must not share an endpoint with another suspect.
func (t *Tracker) IsSuspect(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || r.survived > 0 {
		return false
	}
	for _, c := range r.crashes {
		if now.Sub(c.at) <= crashLifetime {
			return true
		}
	}
	return false
}

// RecordCrash records the crash of an endpoint with the requests that this VM had in flight
// there. others is the number of requests of other VMs that ran there according to the endpoint's
// last report; they take their part of the blame.
func (t *Tracker) RecordCrash(now time.Time, endpoint string, inFlight []Fingerprint, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	c, changed := t.crashOf(now, endpoint)
	for _, f := range inFlight {
		changed = t.addRequest(c, f, false) || changed
	}
	c.running = max(c.running, len(inFlight)+max(others, 0))
	t.noteChange(changed)
}

// noteChange records whether the evidence has changed. Callers hold t.mu.
func (t *Tracker) noteChange(changed bool) {
	if changed {
		t.stale = true
		t.version++
	}
}

// Version returns a number that changes with the crashes and verdicts.
func (t *Tracker) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// HasCrashed reports whether a crash of the endpoint since the given time is known.
func (t *Tracker) HasCrashed(endpoint string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.endpoint == endpoint && !c.at.Before(since) })
}

// crashOf returns the crash of an endpoint at about the given time, a new one if there is none
// yet. Of two reports it keeps the earlier time.
func (t *Tracker) crashOf(at time.Time, endpoint string) (c *crash, isNew bool) {
	for _, c := range t.crashes {
		if c.endpoint == endpoint && c.at.Sub(at).Abs() <= sameCrash {
			if at.Before(c.at) {
				c.at = at
				t.sortCrashes()
			}
			return c, false
		}
	}
	if len(t.crashes) >= maxCrashes {
		t.dropCrashes(1)
	}
	c = &crash{at: at, endpoint: endpoint, requests: make(map[Fingerprint]bool)}
	t.crashes = append(t.crashes, c)
	t.sortCrashes()
	return c, true
}

func (t *Tracker) sortCrashes() {
	slices.SortFunc(t.crashes, func(a, b *crash) int { return cmp.Or(a.at.Compare(b.at), strings.Compare(a.endpoint, b.endpoint)) })
}

// addRequest records that a request was part of a crash, and whether a part of its prompt may have caused
// it. It reports whether that is new.
func (t *Tracker) addRequest(c *crash, f Fingerprint, byPart bool) bool {
	if c.has(f) {
		isNew := byPart && !c.requests[f]
		c.requests[f] = c.requests[f] || byPart
		return isNew
	}
	r := t.records[f]
	if r == nil && len(t.records) >= maxRecords {
		return false
	}
	if r == nil {
		r = &record{crashes: make(map[string]*crash)}
		t.records[f] = r
	}
	c.requests[f] = byPart
	if first := r.crashes[c.endpoint]; first == nil || c.at.Before(first.at) {
		r.crashes[c.endpoint] = c
	}
	return true
}

// dropCrashes drops the oldest crashes, and the requests that were part of no other.
func (t *Tracker) dropCrashes(n int) {
	for _, c := range t.crashes[:n] {
		t.dropParts(c)
	}
	t.crashes = slices.Delete(t.crashes, 0, n)
	for _, r := range t.records {
		clear(r.crashes)
	}
	for _, c := range t.crashes {
		for f := range c.requests {
			if r := t.records[f]; r.crashes[c.endpoint] == nil {
				r.crashes[c.endpoint] = c
			}
		}
	}
	maps.DeleteFunc(t.records, func(_ Fingerprint, r *record) bool { return len(r.crashes) == 0 })
	t.stale = true
}

// prune drops expired crashes.
func (t *Tracker) prune(now time.Time) {
	n := 0
	for n < len(t.crashes) && now.Sub(t.crashes[n].at) > crashLifetime {
		n++
	}
	if n > 0 {
		t.dropCrashes(n)
	}
	for _, verdicts := range []map[Fingerprint]verdict{t.verdicts, t.parts.verdicts} {
		for f, v := range verdicts {
			if now.Sub(v.last) > crashLifetime {
				delete(verdicts, f)
				t.stale = true
			}
		}
	}
}

// RecordSuccess records a complete answer. A request that an endpoint survives is either
// harmless or crashes only some endpoints, so its blame counts by a half, a third and so
// on.
func (t *Tracker) RecordSuccess(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r != nil {
		r.survived++
		t.stale = true
	}
}

// Release removes a request or a part from quarantine on an operator's order.
func (t *Tracker) Release(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, f)
	delete(t.verdicts, f)
	delete(t.parts.verdicts, f)
	for _, c := range t.crashes {
		delete(c.requests, f)
		t.removePart(c, f)
	}
	t.stale = true
}
