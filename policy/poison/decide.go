package poison

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// rules are the parameters by which crashes of several endpoints are judged.
type rules struct {
	// simultaneous is the time within which a crash after another one has the same cause. A
	// machine, a rack or a data centre that fails ends its endpoints within some ms; crashes by
	// requests follow each other after the time of an attempt.
	simultaneous time.Duration
	// sharedWeight is the part of its blame that a request keeps from a crash with a common cause.
	// A harmless request that meets three data centres' losses stays below Threshold, also if
	// it was alone on the endpoints.
	sharedWeight float64
	// explain says that a crash with a request in quarantine is no sign of a common cause.
	explain bool
}

var defaultRules = rules{simultaneous: 100 * time.Millisecond, sharedWeight: 1.0 / 12, explain: true}

// sameCrash is the time within which reports of one endpoint's crash are about the same crash. An
// endpoint takes longer to start again.
const sameCrash = 2 * time.Second

// crash is the crash of an endpoint with the requests that were in flight there.
type crash struct {
	at       time.Time
	endpoint string
	suspects []Fingerprint // sorted
	running  int           // requests at the endpoint, at least
}

func (c *crash) has(f Fingerprint) bool {
	_, found := slices.BinarySearch(c.suspects, f)
	return found
}

// crashes returns all known crashes in the order of time.
func (t *Tracker) crashes() []*crash {
	var single []*crash
	for f, r := range t.records {
		for endpoint, p := range r.crashes {
			single = append(single, &crash{at: p.at, endpoint: endpoint, suspects: []Fingerprint{f}, running: p.running})
		}
	}
	for i := range t.empty {
		c := t.empty[i]
		single = append(single, &c)
	}
	slices.SortFunc(single, func(a, b *crash) int {
		return cmp.Or(strings.Compare(a.endpoint, b.endpoint), a.at.Compare(b.at))
	})
	var out []*crash
	for _, c := range single {
		if n := len(out); n > 0 && out[n-1].endpoint == c.endpoint && c.at.Sub(out[n-1].at) <= sameCrash {
			out[n-1].suspects = append(out[n-1].suspects, c.suspects...)
			out[n-1].running = max(out[n-1].running, c.running)
			continue
		}
		out = append(out, c)
	}
	for _, c := range out {
		slices.Sort(c.suspects)
	}
	slices.SortFunc(out, func(a, b *crash) int { return cmp.Or(a.at.Compare(b.at), strings.Compare(a.endpoint, b.endpoint)) })
	return out
}

// decide computes which requests are in quarantine. Callers hold t.mu.
func (t *Tracker) decide(now time.Time) {
	if !t.stale && now.Before(t.validUntil) {
		return
	}
	all := t.crashes()
	t.stale, t.validUntil = false, now.Add(recordLifetime)
	for _, c := range all {
		if settled := c.at.Add(t.rules.simultaneous); settled.After(now) && settled.Before(t.validUntil) {
			t.validUntil = settled
		}
	}
	quarantined := make(map[Fingerprint]bool)
	for {
		before := len(quarantined)
		for f, score := range t.scores(now, all, quarantined) {
			if len(t.records[f].crashes) >= t.minEndpoints && score >= Threshold {
				quarantined[f] = true
			}
		}
		if len(quarantined) == before {
			break
		}
	}
	t.quarantined = quarantined
}

// scores returns the blame of each request, reduced by its complete answers. Blame for crashes with
// a common cause counts in full where a further crash is distributed, since it still tells the
// request from those beside it. The first crash of a cluster looks like one by a request; for a
// request that was part of a cluster before, it counts as one of a cluster until it is old enough
// that no other crash can follow. quarantined are the requests that are known to crash endpoints.
func (t *Tracker) scores(now time.Time, all []*crash, quarantined map[Fingerprint]bool) map[Fingerprint]float64 {
	blame := make(map[Fingerprint]float64, len(t.records))
	scores := make(map[Fingerprint]float64, len(t.records))
	shared := make(map[Fingerprint]bool) // was part of a crash with a common cause
	clusters := t.clusters(all, quarantined)
	for i, c := range all {
		total := baseOdds * float64(max(c.running-len(c.suspects), 0))
		units := make([]float64, len(c.suspects))
		for j, f := range c.suspects {
			units[j] = baseOdds + blame[f]
			total += units[j]
		}
		for j, f := range c.suspects {
			u := units[j] / total / float64(1+t.records[f].survived)
			blame[f] += u
			mayGrow := now.Sub(c.at) < t.rules.simultaneous
			if hasCommonCause(all, clusters, i, f) || mayGrow && shared[f] {
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

// clusters returns the cluster of each crash, by index. A crash with a request in quarantine has
// a known cause; it forms no cluster with others and has a nil entry.
func (t *Tracker) clusters(all []*crash, quarantined map[Fingerprint]bool) []*cluster {
	out := make([]*cluster, len(all))
	var open *cluster
	for i, c := range all {
		if t.rules.explain && slices.ContainsFunc(c.suspects, func(f Fingerprint) bool { return quarantined[f] }) {
			continue
		}
		if open == nil || c.at.Sub(all[open.last].at) >= t.rules.simultaneous {
			open = &cluster{first: i}
		}
		open.last, out[i] = i, open
	}
	return out
}

// hasCommonCause reports whether the crash with the given index may have the cause of others, as
// far as request f is concerned: whether its cluster has one without f.
func hasCommonCause(all []*crash, clusters []*cluster, index int, f Fingerprint) bool {
	own := clusters[index]
	if own == nil {
		return false
	}
	for i := own.first; i <= own.last; i++ {
		if clusters[i] == own && !all[i].has(f) {
			return true
		}
	}
	return false
}
