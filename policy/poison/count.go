package poison

import (
	"cmp"
	"slices"
	"time"
)

// Count is the evidence about one request in the form that VMs exchange.
type Count struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Crashes holds the request's part in crashes by the name of the endpoint. The keys 2 and 5
	// belonged to sums that can't be merged with it.
	Crashes map[string]Presence `cbor:"6,keyasint"`
	// Survived is the number of complete answers to the request.
	Survived int `cbor:"3,keyasint"`
	// Age is the time since the last crash. It is a duration because the clocks of VMs
	// differ.
	Age time.Duration `cbor:"4,keyasint"`
}

// Presence is a request's part in one crash.
type Presence struct {
	_ struct{} `cbor:",toarray"`
	// AgeMs is the time since the crash in ms.
	AgeMs uint32
	// Running is the number of requests that ran there, as far as the VM that found the crash knew.
	Running uint32
}

// Counts returns the records of all requests, sorted by fingerprint, for the other VMs.
func (t *Tracker) Counts(now time.Time) []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	out := make([]Count, 0, len(t.records))
	for f, r := range t.records {
		crashes := make(map[string]Presence, len(r.crashes))
		for endpoint, p := range r.crashes {
			crashes[endpoint] = Presence{AgeMs: uint32(max(now.Sub(p.at).Milliseconds(), 0)), Running: uint32(p.running)}
		}
		out = append(out, Count{Fingerprint: f, Crashes: crashes, Survived: r.survived, Age: now.Sub(r.last)})
	}
	slices.SortFunc(out, func(a, b Count) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Merge merges the records of another VM. It is commutative and idempotent: the crashes of a
// request are united, each with its earliest time, and all other values merge by maximum.
func (t *Tracker) Merge(now time.Time, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range counts {
		if c.Age > recordLifetime || c.Age < 0 || len(c.Crashes) == 0 {
			continue
		}
		r := t.recordOf(c.Fingerprint)
		if r == nil {
			continue
		}
		for endpoint, p := range c.Crashes {
			if age := time.Duration(p.AgeMs) * time.Millisecond; r.add(endpoint, presence{at: now.Add(-age), running: int(p.Running)}) {
				t.stale = true
			}
		}
		if c.Survived > r.survived {
			r.survived, t.stale = c.Survived, true
		}
		if at := now.Add(-c.Age); at.After(r.last) {
			r.last = at
		}
	}
}
