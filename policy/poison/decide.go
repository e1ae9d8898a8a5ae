package poison

import (
	"slices"
	"time"
)

// rules are the parameters by which crashes of several endpoints are judged.
type rules struct {
	// simultaneous is the time within which a crash after another one has the same cause. A
	// machine, a rack or a data centre that fails ends its endpoints within some ms; crashes by
	// requests follow each other after the time of an attempt.
	simultaneous time.Duration
	// sharedWeight is the part of its blame that a request keeps from a crash with a common cause.
	// A harmless request that meets the losses of four data centres stays below Threshold, also if
	// it was alone on the endpoints.
	sharedWeight float64
	// explain says that a crash with a request in quarantine is no sign of a common cause.
	explain bool
}

var defaultRules = rules{simultaneous: 100 * time.Millisecond, sharedWeight: 1.0 / 7, explain: true}

// decide computes which requests are in quarantine. Callers hold t.mu.
func (t *Tracker) decide(now time.Time) {
	if !t.stale && now.Before(t.validUntil) {
		return
	}
	t.prune(now)
	t.stale, t.validUntil = false, now.Add(maxDecisionAge)
	for _, c := range t.crashes {
		if settled := c.at.Add(t.rules.simultaneous); settled.After(now) && settled.Before(t.validUntil) {
			t.validUntil = settled
		}
	}
	if next := t.parts.decidedAt.Add(minPartInterval); !now.Before(next) {
		t.decideParts(now)
	} else if next.Before(t.validUntil) {
		t.validUntil = next
	}
	if t.partsOnly {
		return
	}
	suspects := t.suspects()
	quarantined := make(map[Fingerprint]bool)
	for f := range t.verdicts {
		quarantined[f] = true
	}
	for {
		before := len(quarantined)
		t.blame = t.scores(now, suspects, quarantined)
		for f, score := range t.blame {
			if len(t.records[f].crashes) >= t.minEndpoints && score >= Threshold {
				quarantined[f] = true
			}
		}
		if len(quarantined) == before {
			break
		}
	}
	t.quarantined = quarantined
	t.keepVerdicts(now)
}

// keepVerdicts makes the decisions final whose evidence has settled.
func (t *Tracker) keepVerdicts(now time.Time) {
	for f := range t.quarantined {
		r := t.records[f]
		if r == nil {
			continue
		}
		var last time.Time
		for _, c := range r.crashes {
			if c.at.After(last) {
				last = c.at
			}
		}
		if now.Sub(last) >= verdictDelay {
			t.noteChange(addVerdict(t.verdicts, f, verdict{last: last}))
		}
	}
}

// verdict is a final decision against a request or a part.
type verdict struct {
	last  time.Time // its last crash
	heard bool      // the decision came from elsewhere
	// answers is the number of survived answers with a part that were known to a VM that decided against it.
	answers uint32
}

// addVerdict records that a request or part crashes endpoints. It reports whether that is new.
func addVerdict(verdicts map[Fingerprint]verdict, f Fingerprint, v verdict) bool {
	known, found := verdicts[f]
	if !found && len(verdicts) >= maxVerdicts {
		return false
	}
	if found {
		v.heard = known.heard
	}
	v.last, v.answers = later(v.last, known.last), max(v.answers, known.answers)
	verdicts[f] = v
	return !found
}

// maxDecisionAge is how long a decision is used while the evidence doesn't change.
const maxDecisionAge = time.Second

// suspects returns, by the index of each crash, the requests that were part of several crashes and
// to which this one counts. Most requests are part of one only.
func (t *Tracker) suspects() [][]Fingerprint {
	out := make([][]Fingerprint, len(t.crashes))
	for i, c := range t.crashes {
		if c.hasAnyPart(t.parts.quarantined) {
			continue // the part explains it
		}
		for f := range c.requests {
			if r := t.records[f]; len(r.crashes) > 1 && r.crashes[c.endpoint] == c {
				out[i] = append(out[i], f)
			}
		}
		slices.Sort(out[i])
	}
	return out
}

// scores returns the blame of each request, reduced by its complete answers. Blame for crashes with
// a common cause counts in full where a further crash is distributed, since it still tells the
// request from those beside it. The first crash of a cluster looks like one by a request; for a
// request that was part of a cluster before, it counts as one of a cluster until it is old enough
// that no other crash can follow. quarantined are the requests that are known to crash endpoints.
func (t *Tracker) scores(now time.Time, suspects [][]Fingerprint, quarantined map[Fingerprint]bool) map[Fingerprint]float64 {
	blame := make(map[Fingerprint]float64)
	scores := make(map[Fingerprint]float64)
	shared := make(map[Fingerprint]bool) // was part of a crash with a common cause
	clusters := t.clusters(quarantined)
	for i, c := range t.crashes {
		total := baseOdds * float64(max(c.running, len(c.requests))-len(suspects[i]))
		units := make([]float64, len(suspects[i]))
		for j, f := range suspects[i] {
			units[j] = baseOdds + blame[f]
			total += units[j]
		}
		for j, f := range suspects[i] {
			u := units[j] / total / float64(1+t.records[f].survived)
			blame[f] += u
			mayGrow := now.Sub(c.at) < t.rules.simultaneous
			if t.hasCommonCause(clusters, i, f) || mayGrow && shared[f] {
				u *= t.rules.sharedWeight
				shared[f] = true
			}
			scores[f] += u
		}
	}
	return scores
}

// cluster is a run of crashes that follow each other closely.
type cluster struct{ first, last int } // indices

func (c *crash) hasAny(requests map[Fingerprint]bool) bool {
	for f := range requests {
		if c.has(f) {
			return true
		}
	}
	return false
}

// clusters returns the cluster of each crash, by index. A crash with a request in quarantine has
// a known cause; it forms no cluster with others and has a nil entry.
func (t *Tracker) clusters(quarantined map[Fingerprint]bool) []*cluster {
	out := make([]*cluster, len(t.crashes))
	var open *cluster
	for i, c := range t.crashes {
		if t.rules.explain && (c.hasAny(quarantined) || c.hasAnyPart(t.parts.quarantined)) {
			continue
		}
		if open == nil || c.at.Sub(t.crashes[open.last].at) >= t.rules.simultaneous {
			open = &cluster{first: i}
		}
		open.last, out[i] = i, open
	}
	return out
}

// hasCommonCause reports whether the crash with the given index may have the cause of others, as
// far as request f is concerned: whether its cluster has one without f.
func (t *Tracker) hasCommonCause(clusters []*cluster, index int, f Fingerprint) bool {
	own := clusters[index]
	if own == nil {
		return false
	}
	for i := own.first; i <= own.last; i++ {
		if clusters[i] == own && !t.crashes[i].has(f) {
			return true
		}
	}
	return false
}
