// Package poison finds requests that crash each endpoint that runs them.
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
// The evidence is which requests were in flight at which crashes. Blame is computed from it when
// it is asked for, so that VMs may exchange evidence in any order and repeatedly, and a later
// report corrects what an earlier one suggested.
package poison

import (
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// recordLifetime is the time after the last crash at which a record is dropped, so
	// that a repaired engine receives the request again.
	recordLifetime = 10 * time.Minute
	// maxRecords bounds the table. It holds ten times the requests of 12 simultaneous
	// crashes with 16 requests in flight each.
	maxRecords = 2048
	// maxCrashes bounds the endpoints in a record and the crashes without requests, several
	// times those that decide.
	maxCrashes = 64
)

// Fingerprint identifies a request by its account, target and body.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. Equal bodies of different accounts or
// targets (models or services) have different fingerprints.
func NewFingerprint(account, target string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	var n [8]byte
	for _, part := range [2]string{account, target} {
		binary.LittleEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// record is the evidence about one request.
type record struct {
	// crashes holds the first crash of each endpoint that the request was part of. Later ones of
	// the same endpoint don't count: it may crash repeatedly for its own reasons.
	crashes map[string]presence
	// survived is the number of complete answers.
	survived int
	// last is the time of the last crash.
	last time.Time
}

// presence is a request's part in a crash.
type presence struct {
	at time.Time
	// running is the number of requests that ran there, as far as the VM that found the crash knew.
	running int
}

// add records a crash. Of two reports of an endpoint's crash it keeps the earlier.
func (r *record) add(endpoint string, p presence) (changed bool) {
	old, known := r.crashes[endpoint]
	if !known && len(r.crashes) >= maxCrashes {
		return false
	}
	next := p
	if known {
		next.running = max(old.running, p.running)
		if old.at.Before(p.at) {
			next.at = old.at
		}
	}
	r.crashes[endpoint] = next
	return !known || next != old
}

// Tracker records crashes for the requests of one pool, and decides which requests are in
// quarantine. It is safe for concurrent use. Its mutex is a leaf of the lock order.
type Tracker struct {
	mu           sync.Mutex
	minEndpoints int
	rules        rules
	records      map[Fingerprint]*record
	// empty holds the crashes of endpoints without a known request.
	empty []crash
	// quarantined is the decision on the evidence so far. It is computed anew if the evidence
	// has changed (stale) or may count differently by now (validUntil).
	quarantined map[Fingerprint]bool
	stale       bool
	validUntil  time.Time
}

// New returns a tracker for a pool with the given number of endpoints.
func New(endpoints int) *Tracker {
	t := &Tracker{records: make(map[Fingerprint]*record), rules: defaultRules}
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

// IsQuarantined reports whether the request is to be refused. It costs one map lookup for a
// request that was in flight at few crashes, usually in an empty map.
func (t *Tracker) IsQuarantined(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || len(r.crashes) < t.minEndpoints || now.Sub(r.last) > recordLifetime {
		return false
	}
	t.decide(now)
	return t.quarantined[f]
}

// IsSuspect reports whether the request was in flight at a crash and has not completed
// since. It must not share an endpoint with another suspect.
func (t *Tracker) IsSuspect(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	return r != nil && r.survived == 0 && now.Sub(r.last) <= recordLifetime
}

// RecordCrash records the crash of an endpoint with the requests that this VM had in flight
// there. Crashes are kept by the name of the endpoint, so that a crash seen by several VMs counts
// once, and so does an endpoint that crashes repeatedly for its own reasons. others is the number
// of requests of other VMs that ran there according to the endpoint's last report; they take
// their part of the blame.
func (t *Tracker) RecordCrash(now time.Time, endpoint string, inFlight []Fingerprint, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	t.stale = true
	suspects := slices.Compact(slices.Sorted(slices.Values(inFlight)))
	for _, f := range suspects {
		if r := t.recordOf(f); r != nil {
			r.add(endpoint, presence{at: now, running: len(suspects) + max(others, 0)})
			r.last = now
		}
	}
	if len(suspects) == 0 && len(t.empty) < maxCrashes {
		t.empty = append(t.empty, crash{at: now, endpoint: endpoint})
	}
}

// recordOf returns the record of a request, a new one if there is none, or nil if the table is
// full.
func (t *Tracker) recordOf(f Fingerprint) *record {
	r := t.records[f]
	if r == nil && len(t.records) < maxRecords {
		r = &record{crashes: make(map[string]presence)}
		t.records[f] = r
	}
	return r
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

// Release removes a request from quarantine on an operator's order.
func (t *Tracker) Release(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, f)
	t.stale = true
}

// prune drops expired records.
func (t *Tracker) prune(now time.Time) {
	t.empty = slices.DeleteFunc(t.empty, func(c crash) bool { return now.Sub(c.at) > recordLifetime })
	for f, r := range t.records {
		if now.Sub(r.last) > recordLifetime {
			delete(t.records, f)
			t.stale = true
		}
	}
}
