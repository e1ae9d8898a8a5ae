package cascade

import (
	"maps"
	"slices"
	"time"
)

// ratingUsable says whether a plan may rely on a rating. While the service
// counts as down, one request each RatingRetry is let through to try it.
// Without this every request would pay the cheap try, wait out the rating's
// timeout and then pay the best version too.
func (l *Learner) ratingUsable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failures < l.settings.RatingFailures {
		return true
	}
	if now.Before(l.retryAt) {
		return false
	}
	l.retryAt = now.Add(l.settings.RatingRetry)
	return true
}

// noteRating records whether a rating came in time.
func (l *Learner) noteRating(ok bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.failures = 0
		return
	}
	l.failures++
	if l.failures == l.settings.RatingFailures {
		l.retryAt = now.Add(l.settings.RatingRetry)
	}
}

// Dump is a Learner's part of the state dump.
type Dump struct {
	// Kinds is the number of kinds of request remembered.
	Kinds int `json:"kinds"`
	// RatingDown says why plans have one step: ratings are missing.
	RatingDown bool `json:"ratingDown"`
	// RatingFailures is the number of ratings missed in a row.
	RatingFailures int `json:"ratingFailures"`
	// Acceptance is the learnt share of answers good enough, by account, label, size and version.
	Acceptance []Acceptance `json:"acceptance"`
}

// Acceptance is one learnt rate.
type Acceptance struct {
	Account string  `json:"account"`
	Label   string  `json:"label"`
	Size    int     `json:"size"`
	Version string  `json:"version"`
	Rated   float64 `json:"rated"`
	Rate    float64 `json:"rate"`
}

// maxDump bounds the rates in a dump, so that it stays readable.
const maxDump = 200

// Dump returns what the Learner knows; the kinds used last come last.
func (l *Learner) Dump() Dump {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Dump{
		Kinds:          l.records.Len(),
		RatingDown:     l.failures >= l.settings.RatingFailures,
		RatingFailures: l.failures,
	}
	keys := l.records.Keys()
	for _, k := range keys[max(0, len(keys)-maxDump):] {
		versions, _ := l.records.Peek(k)
		for _, name := range slices.Sorted(maps.Keys(versions)) {
			r := versions[name]
			d.Acceptance = append(d.Acceptance, Acceptance{
				Account: k.account, Label: k.label, Size: k.size,
				Version: name, Rated: r.rated, Rate: r.acceptance(),
			})
		}
	}
	return d
}
