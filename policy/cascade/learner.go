package cascade

import (
	"math/bits"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Settings holds the parameters of a Learner. DefaultSettings favours low cost, for
// work such as reports that may wait. LatencySettings favours low latency, for
// answers that a person reads as they arrive.
type Settings struct {
	// Margin is added to the quality target when a rating is compared with it.
	// Default 0.05, the standard deviation of ratings in the simulation of
	// policy/versiontest. Without the margin, 5.6% of the answers in that
	// simulation end below the target because they were rated too high; with it,
	// fewer do than with the best version for every request.
	Margin float64
	// ExploreShare is the share of requests that try the whole chain although it
	// isn't expected to pay, so that improvements are noticed. Default 0.02.
	ExploreShare float64
	// GoodShare is the share of a version's answers that must be expected to reach
	// the target before an answer is accepted without a rating. Default 0.9. If
	// only the mean had to reach the target, up to half of the answers would be
	// below it.
	GoodShare float64
	// WaitWeight is the price of the wait for a discarded answer, as a share of the
	// last step's cost. Default 0, or 0.3 in LatencySettings.
	WaitWeight float64
	// RatingTimeout bounds the wait for a rating. Default 300 ms: the first token
	// is due within 1.1 s, and an escalation needs most of that time.
	RatingTimeout time.Duration
	// RatingFailures is the number of consecutive missing ratings after which the
	// rating service counts as down. Default 3.
	RatingFailures int
	// RatingRetry is the time after which one request probes a rating service that
	// counts as down. Default 5 s.
	RatingRetry time.Duration
	// MaxKinds bounds the number of remembered kinds of request; the least recently
	// used kind is evicted first. Default 8192.
	MaxKinds int
	// MaxRatings is the number of ratings at which the counts of a version are
	// halved, so that newer ratings weigh more. Default 200.
	MaxRatings float64
}

// DefaultSettings returns the settings that favour low cost.
func DefaultSettings() Settings {
	return Settings{
		Margin:         0.05,
		ExploreShare:   0.02,
		GoodShare:      0.9,
		RatingTimeout:  300 * time.Millisecond,
		RatingFailures: 3,
		RatingRetry:    5 * time.Second,
		MaxKinds:       8192,
		MaxRatings:     200,
	}
}

// LatencySettings returns the settings that favour low latency.
func LatencySettings() Settings {
	s := DefaultSettings()
	s.WaitWeight = 0.3
	return s
}

// requestKind identifies one kind of request by account, task label and size
// bucket.
type requestKind struct {
	account string
	label   string
	size    int
}

// kindOf returns the kind of a request. The prompt sizes are grouped by powers of
// four: 0..3, 4..15, 16..63, … tokens.
func kindOf(account string, req Request) requestKind {
	return requestKind{account: account, label: req.Label, size: bits.Len(uint(max(req.PromptTokens, 0))) / 2}
}

// versionStats counts the ratings of one version on one kind of request, and those
// that accepted the answer.
type versionStats struct {
	rated, accepted float64
}

// priorRatings is the weight of the prior acceptance rate of one half, in ratings.
// With a weight of two, the first requests of a new kind try the cheap version,
// without which no ratings of it would be collected.
const priorRatings = 2

// acceptanceRate returns the estimated share of accepted answers, including the
// prior.
func (r *versionStats) acceptanceRate() float64 {
	return (r.accepted + priorRatings/2) / (r.rated + priorRatings)
}

// Learner records, by account, task label and size, how often the answers of each
// version were good enough. Each VM uses only the ratings of its own requests.
// Learner is safe for concurrent use.
type Learner struct {
	settings Settings

	mu    sync.Mutex
	stats *lru.Cache[requestKind, map[string]*versionStats]
	// missedRatings counts the consecutive missing ratings; retryAt is when the
	// next probe of the rating service is due.
	missedRatings int
	retryAt       time.Time
}

// NewLearner returns a Learner without ratings.
func NewLearner(s Settings) *Learner {
	stats, err := lru.New[requestKind, map[string]*versionStats](max(s.MaxKinds, 1))
	if err != nil {
		panic(err) // New only fails for a size below one
	}
	return &Learner{settings: s, stats: stats}
}

// learn records one rating.
func (l *Learner) learn(k requestKind, version string, accepted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	versions, ok := l.stats.Get(k)
	if !ok {
		versions = make(map[string]*versionStats, maxChainLength)
		l.stats.Add(k, versions)
	}
	r, ok := versions[version]
	if !ok {
		r = &versionStats{}
		versions[version] = r
	}
	if r.rated >= l.settings.MaxRatings {
		r.rated, r.accepted = r.rated/2, r.accepted/2
	}
	r.rated++
	if accepted {
		r.accepted++
	}
}

// cheapestSteps returns the steps with the lowest expected cost. The search goes
// from the last step backwards: step i costs its own price and, if its answer isn't
// accepted, the wait and the cheapest sequence of later steps.
func (l *Learner) cheapestSteps(k requestKind, steps []Step) []Step {
	l.mu.Lock()
	defer l.mu.Unlock()
	versions, _ := l.stats.Get(k)
	last := len(steps) - 1
	wait := l.settings.WaitWeight * float64(steps[last].Cost)
	best := float64(steps[last].Cost)
	chosen := []Step{steps[last]}
	for i := last - 1; i >= 0; i-- {
		accepted := 0.5
		if r := versions[steps[i].Version]; r != nil {
			accepted = r.acceptanceRate()
		}
		cost := float64(steps[i].Cost) + (1-accepted)*(wait+best)
		if cost < best {
			best = cost
			chosen = append([]Step{steps[i]}, chosen...)
		}
	}
	return chosen
}

// minRatings is the number of ratings from which the observed share replaces the
// configured quality. A version that is good half of the time reaches nine in ten
// within 20 ratings with a probability of 1 in 5000.
const minRatings = 20

// configuredQualityMargin is how far a version's configured quality, which is a
// mean, must exceed the target while there are few ratings. If answers have a
// standard deviation of 0.08, nine in ten are less than 0.1 below the mean.
const configuredQualityMargin = 0.1

// expectedGood reports whether a step's answer may be accepted without a rating.
func (l *Learner) expectedGood(k requestKind, target float64, s Step) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	versions, _ := l.stats.Peek(k)
	if r := versions[s.Version]; r != nil && r.rated >= minRatings {
		return r.accepted >= l.settings.GoodShare*r.rated
	}
	return s.Expected >= target+configuredQualityMargin
}

// singleStep returns the step of a request whose answer can't be discarded: the
// cheapest version that is expected to be good, or the best version if none is.
func (l *Learner) singleStep(k requestKind, target float64, steps []Step) []Step {
	for _, s := range steps {
		if l.expectedGood(k, target, s) {
			return []Step{s}
		}
	}
	return steps[len(steps)-1:]
}
