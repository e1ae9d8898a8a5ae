// Package poison finds requests that crash each endpoint that runs them.
//
// Such a request has an input that makes the engine crash. It is retried on the next
// endpoint, and its caller sends it again. Without quarantine, each dispatch takes an
// endpoint out of service for its restart and cold start, together with all requests
// that run there, and a pool of nine endpoints is lost within seconds.
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
//   - When other endpoints crash at about the same time without the request, the pool
//     itself is failing, and the request's blame counts for less, including the blame
//     for earlier crashes.
//
// Blame is kept per endpoint and merged by maximum, so that VMs may exchange it in any
// order and repeatedly.
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
	// crashWindow is the time within which crashes count as related. A pool that loses
	// its power or network fails within it, whereas a caller repeats a poison request one
	// attempt after the other.
	crashWindow = 2 * time.Second
	// recordLifetime is the time after the last crash at which a record is dropped, so
	// that a repaired engine receives the request again.
	recordLifetime = 10 * time.Minute
	// maxRecords bounds the table. It holds ten times the requests of 12 simultaneous
	// crashes with 16 requests in flight each.
	maxRecords = 2048
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

// Count is the record of one request in the form that VMs exchange.
type Count struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Blame holds the units of blame by the name of the crashed endpoint.
	Blame map[string]float64 `cbor:"2,keyasint"`
	// Survived is the number of complete answers to the request.
	Survived int `cbor:"3,keyasint"`
	// Unrelated is the number of crashes at about the same time on endpoints that did not
	// run the request.
	Unrelated int `cbor:"5,keyasint,omitempty"`
	// Age is the time since the last crash. It is a duration because the clocks of VMs
	// differ.
	Age time.Duration `cbor:"4,keyasint"`
}

// record holds the blame of one request.
type record struct {
	// blame holds the units of blame by endpoint, and survived the number of complete
	// answers.
	blame    map[string]float64
	survived int
	// unrelated is the number of crashes within crashWindow of the request's own crashes
	// that it was not part of.
	unrelated int
	// last is the time of the last crash.
	last time.Time
}

// score returns the sum of the blame, reduced by complete answers and unrelated crashes.
func (r *record) score() float64 {
	sum := 0.0
	for _, b := range r.blame {
		sum += b
	}
	return sum / float64((1+r.survived)*(1+r.unrelated))
}

// crash is a recent crash of an endpoint with the requests that ran there.
type crash struct {
	at       time.Time
	suspects []Fingerprint
}

// Tracker records crashes and blame for the requests of one pool. It is safe for
// concurrent use. Its mutex is a leaf of the lock order.
type Tracker struct {
	mu            sync.Mutex
	minEndpoints  int
	records       map[Fingerprint]*record
	recentCrashes []crash
}

// New returns a tracker for a pool with the given number of endpoints.
func New(endpoints int) *Tracker {
	t := &Tracker{records: make(map[Fingerprint]*record)}
	t.Resize(endpoints)
	return t
}

// Resize applies a change of the number of endpoints.
func (t *Tracker) Resize(endpoints int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.minEndpoints = DistinctLarge
	if endpoints < smallPoolSize {
		t.minEndpoints = DistinctSmall
	}
}

// IsQuarantined reports whether the request is to be refused. It costs one map lookup,
// usually in an empty map.
func (t *Tracker) IsQuarantined(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || now.Sub(r.last) > recordLifetime {
		return false
	}
	return len(r.blame) >= t.minEndpoints && r.score() >= Threshold
}

// IsSuspect reports whether the request was in flight at a crash and has not completed
// since. It must not share an endpoint with another suspect.
func (t *Tracker) IsSuspect(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	return r != nil && r.survived == 0 && now.Sub(r.last) <= recordLifetime
}

// RecordCrash distributes the blame for the crash of an endpoint over the requests that this VM
// had in flight there. Blame is kept by the name of the endpoint, so that a crash seen
// by several VMs counts once, and so does an endpoint that crashes repeatedly for its own
// reasons. others is the number of requests of other VMs that ran there according to the
// endpoint's last report; they take their part of the blame.
func (t *Tracker) RecordCrash(now time.Time, endpoint string, inFlight []Fingerprint, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	suspects := slices.Compact(slices.Sorted(slices.Values(inFlight)))
	total := float64(max(others, 0)) * baseOdds
	for _, f := range suspects {
		total += t.odds(f)
	}
	for _, f := range suspects {
		t.addBlame(now, f, endpoint, t.odds(f)/total)
	}
	for f, r := range t.records {
		if _, found := slices.BinarySearch(suspects, f); !found && now.Sub(r.last) <= crashWindow {
			r.unrelated++
		}
	}
	t.recentCrashes = append(t.recentCrashes, crash{at: now, suspects: suspects})
}

// RecordSuccess records a complete answer. A request that an endpoint survives is either
// harmless or crashes only some endpoints, so its blame counts by a half, a third and so
// on.
func (t *Tracker) RecordSuccess(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r != nil {
		r.survived++
	}
}

// Release removes a request from quarantine on an operator's order.
func (t *Tracker) Release(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, f)
}

// Counts returns the records of all requests, sorted by fingerprint, for the other VMs.
func (t *Tracker) Counts(now time.Time) []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	out := make([]Count, 0, len(t.records))
	for f, r := range t.records {
		blame := make(map[string]float64, len(r.blame))
		for k, v := range r.blame {
			blame[k] = v
		}
		out = append(out, Count{Fingerprint: f, Blame: blame, Survived: r.survived, Unrelated: r.unrelated, Age: now.Sub(r.last)})
	}
	slices.SortFunc(out, func(a, b Count) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return out
}

// Merge merges the records of another VM. It is commutative and idempotent, since all
// values merge by maximum.
func (t *Tracker) Merge(now time.Time, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range counts {
		if c.Age > recordLifetime || c.Age < 0 {
			continue
		}
		r := t.records[c.Fingerprint]
		if r == nil && len(t.records) >= maxRecords {
			continue
		}
		if r == nil {
			r = &record{blame: make(map[string]float64)}
			t.records[c.Fingerprint] = r
		}
		for k, v := range c.Blame {
			r.blame[k] = max(r.blame[k], v)
		}
		r.survived = max(r.survived, c.Survived)
		r.unrelated = max(r.unrelated, c.Unrelated)
		if at := now.Add(-c.Age); at.After(r.last) {
			r.last = at
		}
	}
}

// odds returns the weight of a request in the distribution of blame.
func (t *Tracker) odds(f Fingerprint) float64 {
	if r := t.records[f]; r != nil {
		return baseOdds + r.score()
	}
	return baseOdds
}

// addBlame records the units of blame that a request has for the crash of an endpoint.
func (t *Tracker) addBlame(now time.Time, f Fingerprint, endpoint string, units float64) {
	r := t.records[f]
	if r == nil {
		if len(t.records) >= maxRecords {
			return
		}
		r = &record{blame: make(map[string]float64), unrelated: t.countUnrelated(f)}
		t.records[f] = r
	}
	r.blame[endpoint] = max(r.blame[endpoint], units)
	r.last = now
}

// countUnrelated returns the number of recent crashes that the request was not part of.
func (t *Tracker) countUnrelated(f Fingerprint) int {
	n := 0
	for _, c := range t.recentCrashes {
		if _, found := slices.BinarySearch(c.suspects, f); !found {
			n++
		}
	}
	return n
}

// prune drops expired crashes and records.
func (t *Tracker) prune(now time.Time) {
	t.recentCrashes = slices.DeleteFunc(t.recentCrashes, func(c crash) bool { return now.Sub(c.at) > crashWindow })
	for f, r := range t.records {
		if now.Sub(r.last) > recordLifetime {
			delete(t.records, f)
		}
	}
}
