package cascade

import (
	"maps"
	"slices"
	"time"
)

// ratingUsable reports whether a plan may rely on ratings. While the rating service
// counts as down, one request in each RatingRetry interval probes it. Otherwise
// every request would pay for the cheap version, wait for the rating's timeout and
// then pay for the best version as well.
func (l *Learner) ratingUsable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.missedRatings < l.settings.RatingFailures {
		return true
	}
	if now.Before(l.retryAt) {
		return false
	}
	l.retryAt = now.Add(l.settings.RatingRetry)
	return true
}

// recordRatingResult records whether a rating arrived in time.
func (l *Learner) recordRatingResult(ok bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.missedRatings = 0
		return
	}
	l.missedRatings++
	if l.missedRatings == l.settings.RatingFailures {
		l.retryAt = now.Add(l.settings.RatingRetry)
	}
}

// Dump is the part of the state dump that describes a Learner.
type Dump struct {
	// Kinds is the number of remembered kinds of request.
	Kinds int `json:"kinds"`
	// RatingDown says that the rating service counts as down, so that plans have
	// one step.
	RatingDown bool `json:"ratingDown"`
	// RatingFailures is the number of consecutive missing ratings.
	RatingFailures int `json:"ratingFailures"`
	// Acceptance is the observed share of good answers by account, label, size and
	// version.
	Acceptance []Acceptance `json:"acceptance"`
}

// Acceptance is the observed rate of one version on one kind of request. Size is
// the size bucket of the prompt, and Rated the weight of the ratings behind Rate.
type Acceptance struct {
	Account string  `json:"account"`
	Label   string  `json:"label"`
	Size    int     `json:"size"`
	Version string  `json:"version"`
	Rated   float64 `json:"rated"`
	Rate    float64 `json:"rate"`
}

// maxDumpedKinds bounds the number of kinds in a dump, so that it stays readable.
const maxDumpedKinds = 200

// Dump returns the state of the Learner. The most recently used kinds come last.
func (l *Learner) Dump() Dump {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Dump{
		Kinds:          l.stats.Len(),
		RatingDown:     l.missedRatings >= l.settings.RatingFailures,
		RatingFailures: l.missedRatings,
	}
	keys := l.stats.Keys()
	for _, k := range keys[max(0, len(keys)-maxDumpedKinds):] {
		versions, _ := l.stats.Peek(k)
		for _, name := range slices.Sorted(maps.Keys(versions)) {
			r := versions[name]
			d.Acceptance = append(d.Acceptance, Acceptance{
				Account: k.account, Label: k.label, Size: k.size,
				Version: name, Rated: r.rated, Rate: r.acceptanceRate(),
			})
		}
	}
	return d
}
