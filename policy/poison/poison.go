// Package poison finds the request that crashes each endpoint that runs it.
//
// Load pattern: one request's input makes the engine crash; it is retried on the
// next endpoint, and its caller sends it again.
//
// Without it: each dispatch takes an endpoint down for its restart and cold
// start, and with it all requests that ran there; a pool of nine is gone within
// seconds.
//
// A crash is blamed on the requests that ran on the endpoint, one unit in all,
// in proportion to what is held against each already: a request that was there at
// an earlier crash takes most of it, and those that were there by chance take
// little. Three things keep innocents out of quarantine:
//
//   - it takes crashes of Distinct different endpoints and Threshold units of blame;
//   - a suspect runs apart from other suspects (Suspect, used as a filter when an
//     endpoint is picked), so that one crash never falls on two of them;
//   - when other endpoints crash about the same time without the request, it is the
//     pool that fails, and the request's blame counts for less, also in hindsight.
//
// The blame is kept by endpoint and merges by maximum, so that VMs may exchange
// it in any order and repeatedly.
package poison

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DistinctLarge is the number of distinct endpoints that a request must have
	// crashed; DistinctSmall is for pools below smallPool endpoints, which three
	// crashes would take down (conector has three).
	DistinctLarge = 3
	DistinctSmall = 2
	smallPool     = 8
	// Threshold is the blame that quarantines. The second crash beside seven fresh
	// requests brings a true culprit to 0.75, the third beside fifteen to 1.1.
	Threshold = 0.6
	// freshOdds is what is held against a request never seen at a crash. A suspect of
	// a crash with eight in flight has odds of 1/8, a fresh one far below: most
	// requests never crash anything.
	freshOdds = 0.01
	// window is the time in which crashes are taken together: a pool that loses its
	// power or network goes down within it, and a caller's repeats of a poison
	// request come one after the other.
	window = 2 * time.Second
	// forget drops a record after the last crash; a mended engine gets the request again.
	forget = 10 * time.Minute
	// maxRecords bounds the table: 12 crashes at once with 16 in flight each, ten times over.
	maxRecords = 2048
)

// Fingerprint identifies a request by what it asks.
type Fingerprint uint64

// Of returns the fingerprint of a request; account and target (model or service)
// keep the same body of two accounts apart.
func Of(account, target string, body []byte) Fingerprint {
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

// Count is what is held against one request, as VMs exchange it.
type Count struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Blame is the units of blame for the crash of each endpoint, by name.
	Blame map[string]float64 `cbor:"2,keyasint"`
	// Survived counts the answers that it brought without a crash.
	Survived int `cbor:"3,keyasint"`
	// Unrelated counts the crashes about the same time that it had no part in.
	Unrelated int `cbor:"5,keyasint,omitempty"`
	// Age is the time since the last crash; a duration, since VMs' clocks differ.
	Age time.Duration `cbor:"4,keyasint"`
}

type record struct {
	blame    map[string]float64
	survived int
	// unrelated is the number of crashes within window of its own that it had no part in.
	unrelated int
	last      time.Time
}

func (r *record) score() float64 {
	sum := 0.0
	for _, b := range r.blame {
		sum += b
	}
	return sum / float64((1+r.survived)*(1+r.unrelated))
}

type crash struct {
	at       time.Time
	suspects []Fingerprint
}

// Tracker keeps what is held against the requests of one pool. It is safe for
// concurrent use; its mutex is a leaf.
type Tracker struct {
	mu       sync.Mutex
	distinct int
	records  map[Fingerprint]*record
	recent   []crash
}

// New returns a tracker for a pool of that many endpoints.
func New(endpoints int) *Tracker {
	t := &Tracker{records: make(map[Fingerprint]*record)}
	t.Resize(endpoints)
	return t
}

// Resize follows a change of the pool's size.
func (t *Tracker) Resize(endpoints int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.distinct = DistinctLarge
	if endpoints < smallPool {
		t.distinct = DistinctSmall
	}
}

// Quarantined reports whether the request is to be refused; it costs one map
// lookup, in an empty map on most days.
func (t *Tracker) Quarantined(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || now.Sub(r.last) > forget {
		return false
	}
	return len(r.blame) >= t.distinct && r.score() >= Threshold
}

// Suspect reports whether the request was at a crash and has not survived since;
// it must not share an endpoint with another suspect.
func (t *Tracker) Suspect(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	return r != nil && r.survived == 0 && now.Sub(r.last) <= forget
}

// Crashed blames the crash of an endpoint on the requests that this VM had in
// flight there. Blame is kept by the endpoint's name: VMs that saw the same crash
// count it once, and so does an endpoint that goes down again and again by itself.
// Others is how many requests of other VMs ran there by the endpoint's last
// report; they take their part of the blame.
func (t *Tracker) Crashed(now time.Time, endpoint string, inFlight []Fingerprint, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	suspects := slices.Compact(slices.Sorted(slices.Values(inFlight)))
	total := float64(max(others, 0)) * freshOdds
	for _, f := range suspects {
		total += t.odds(f)
	}
	for _, f := range suspects {
		t.blame(now, f, endpoint, t.odds(f)/total)
	}
	for f, r := range t.records {
		if _, found := slices.BinarySearch(suspects, f); !found && now.Sub(r.last) <= window {
			r.unrelated++
		}
	}
	t.recent = append(t.recent, crash{at: now, suspects: suspects})
}

// Survived records a complete answer: a request that an endpoint survives is not
// poison, or not always, and weighs half, a third and so on.
func (t *Tracker) Survived(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r != nil {
		r.survived++
	}
}

// Release takes a request out of quarantine by an operator's order.
func (t *Tracker) Release(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, f)
}

// Counts returns what is held against all requests, for the other VMs.
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

// Merge takes another VM's counts in. It is commutative and idempotent: all merge
// by maximum.
func (t *Tracker) Merge(now time.Time, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range counts {
		if c.Age > forget || c.Age < 0 {
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

func (t *Tracker) odds(f Fingerprint) float64 {
	if r := t.records[f]; r != nil {
		return freshOdds + r.score()
	}
	return freshOdds
}

func (t *Tracker) blame(now time.Time, f Fingerprint, endpoint string, units float64) {
	r := t.records[f]
	if r == nil {
		if len(t.records) >= maxRecords {
			return
		}
		r = &record{blame: make(map[string]float64), unrelated: t.unrelated(f)}
		t.records[f] = r
	}
	r.blame[endpoint] = max(r.blame[endpoint], units)
	r.last = now
}

// unrelated counts the recent crashes that the request had no part in.
func (t *Tracker) unrelated(f Fingerprint) int {
	n := 0
	for _, c := range t.recent {
		if _, found := slices.BinarySearch(c.suspects, f); !found {
			n++
		}
	}
	return n
}

func (t *Tracker) prune(now time.Time) {
	t.recent = slices.DeleteFunc(t.recent, func(c crash) bool { return now.Sub(c.at) > window })
	for f, r := range t.records {
		if now.Sub(r.last) > forget {
			delete(t.records, f)
		}
	}
}
