package poison

import (
	"maps"
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
}

// Age returns the time since the crash.
func (c *Crash) Age() time.Duration { return time.Duration(c.AgeMs) * time.Millisecond }

// Request is a request that was in flight at a crash.
type Request struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// Survived is the number of complete answers to it since.
	Survived uint32
	// Endpoints is the number of different endpoints at whose crashes it was. It isn't exchanged.
	Endpoints int `cbor:"-"`
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
			e.Requests = append(e.Requests, Request{Fingerprint: f, Survived: uint32(r.survived), Endpoints: len(r.crashes)})
		}
		out = append(out, e)
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
			changed = t.addRequest(c, r.Fingerprint) || changed
			if known := t.records[r.Fingerprint]; known != nil && int(r.Survived) > known.survived {
				known.survived, changed = int(r.Survived), true
			}
		}
		c.running = max(c.running, int(e.Running), len(c.requests))
	}
	t.stale = t.stale || changed
	return changed
}

// Verdict is a final decision that a request crashes endpoints, in the form that VMs exchange.
type Verdict struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// AgeMs is the time since the request's last crash in ms.
	AgeMs uint32
}

// Verdicts returns the final decisions, for VMs that have started since the crashes.
func (t *Tracker) Verdicts(now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decide(now)
	out := make([]Verdict, 0, len(t.verdicts))
	for _, f := range slices.Sorted(maps.Keys(t.verdicts)) {
		out = append(out, Verdict{Fingerprint: f, AgeMs: uint32(max(now.Sub(t.verdicts[f]).Milliseconds(), 0))})
	}
	return out
}

// MergeVerdicts applies the final decisions of another VM, and reports whether any was new.
func (t *Tracker) MergeVerdicts(now time.Time, verdicts []Verdict) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range verdicts {
		if age := time.Duration(v.AgeMs) * time.Millisecond; age <= crashLifetime {
			changed = t.addVerdict(v.Fingerprint, now.Add(-age)) || changed
		}
	}
	t.stale = t.stale || changed
	return changed
}
