package cascade

import (
	"math/bits"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Settings are the figures of a Learner. DefaultSettings weighs cost (reports
// that may wait); LatencySettings weighs latency (somebody reads along).
type Settings struct {
	// Margin is added to the quality target when a rating is compared with it.
	// Default 0.05, as far as ratings spread in the play of policy/versiontest:
	// there, without it, answers that were rated too well make 5.6% end below the
	// target, and with it fewer than with always the best version.
	Margin float64
	// Explore is the share of requests that try the whole chain although it
	// doesn't seem to pay, so that a change for the better is noticed. Default 0.02.
	Explore float64
	// GoodShare is the share of a version's answers that must be expected to reach
	// the target before one is taken without a rating. Default 0.9: the mean alone
	// reaching it would leave up to half of the answers below.
	GoodShare float64
	// WaitWeight prices the wait for a discarded try, as a share of the last
	// step's cost. Default 0; 0.3 for latency.
	WaitWeight float64
	// RatingTimeout bounds the wait for a rating. Default 300 ms: the first token
	// is due within 1.1 s, and an escalation needs the larger part of that.
	RatingTimeout time.Duration
	// RatingFailures in a row make the rating service count as down. Default 3.
	RatingFailures int
	// RatingRetry is the time until one request tries it again. Default 5 s.
	RatingRetry time.Duration
	// Keys bounds the kinds of request remembered; the longest unused goes first. Default 8192.
	Keys int
	// Memory is the number of ratings after which older ones count half. Default 200.
	Memory float64
}

// DefaultSettings weigh cost.
func DefaultSettings() Settings {
	return Settings{
		Margin:         0.05,
		Explore:        0.02,
		GoodShare:      0.9,
		RatingTimeout:  300 * time.Millisecond,
		RatingFailures: 3,
		RatingRetry:    5 * time.Second,
		Keys:           8192,
		Memory:         200,
	}
}

// LatencySettings weigh the caller's wait.
func LatencySettings() Settings {
	s := DefaultSettings()
	s.WaitWeight = 0.3
	return s
}

// key is one kind of request.
type key struct {
	account string
	label   string
	size    int
}

// keyOf buckets prompts by powers of four: 0..3, 4..15, 16..63, … tokens.
func keyOf(account string, req Request) key {
	return key{account: account, label: req.Label, size: bits.Len(uint(max(req.PromptTokens, 0))) / 2}
}

// record is what is known about one version on one kind of request.
type record struct {
	rated, accepted float64
}

// priorRated is the weight of the prior acceptance rate of one half, in ratings.
// Two let the first requests of a new kind try the cheap version, which is how anything is learnt.
const priorRated = 2

func (r *record) acceptance() float64 {
	return (r.accepted + priorRated/2) / (r.rated + priorRated)
}

// Learner remembers, by account, task label and size, how often each version's
// answer was good enough. Each VM learns from its own requests. Safe for
// concurrent use.
type Learner struct {
	settings Settings

	mu      sync.Mutex
	records *lru.Cache[key, map[string]*record]
	// failures are ratings missed in a row; retryAt is when the next try is due.
	failures int
	retryAt  time.Time
}

// NewLearner returns a Learner that knows nothing yet.
func NewLearner(s Settings) *Learner {
	records, err := lru.New[key, map[string]*record](max(s.Keys, 1))
	if err != nil {
		panic(err) // only a size below one fails
	}
	return &Learner{settings: s, records: records}
}

// learn adds one rating.
func (l *Learner) learn(k key, version string, accepted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	versions, ok := l.records.Get(k)
	if !ok {
		versions = make(map[string]*record, maxChain)
		l.records.Add(k, versions)
	}
	r, ok := versions[version]
	if !ok {
		r = &record{}
		versions[version] = r
	}
	if r.rated >= l.settings.Memory {
		r.rated, r.accepted = r.rated/2, r.accepted/2
	}
	r.rated++
	if accepted {
		r.accepted++
	}
}

// cheapest returns the tries with the least expected cost. From the last step
// backwards: a try at step i costs its own price and, when it isn't accepted,
// the wait and the cheapest way from there on.
func (l *Learner) cheapest(k key, steps []Step) []Step {
	l.mu.Lock()
	defer l.mu.Unlock()
	versions, _ := l.records.Get(k)
	last := len(steps) - 1
	wait := l.settings.WaitWeight * float64(steps[last].Cost)
	best := float64(steps[last].Cost)
	tries := []Step{steps[last]}
	for i := last - 1; i >= 0; i-- {
		accepted := 0.5
		if r := versions[steps[i].Version]; r != nil {
			accepted = r.acceptance()
		}
		cost := float64(steps[i].Cost) + (1-accepted)*(wait+best)
		if cost < best {
			best = cost
			tries = append([]Step{steps[i]}, tries...)
		}
	}
	return tries
}

// minRated is the number of ratings from which the learnt share replaces the
// configured quality. Grounds: a version that is good half of the time passes
// nine of ten in 20 ratings once in 5000 times.
const minRated = 20

// configuredSpread is how far above the target a version's configured quality,
// a mean, must be while little is learnt. Grounds: with answers that spread by
// 0.08 around it, nine of ten are less than 0.1 below the mean.
const configuredSpread = 0.1

// expectedGood says whether a step's answer may be taken without a rating.
func (l *Learner) expectedGood(k key, target float64, s Step) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	versions, _ := l.records.Peek(k)
	if r := versions[s.Version]; r != nil && r.rated >= minRated {
		return r.accepted >= l.settings.GoodShare*r.rated
	}
	return s.Expected >= target+configuredSpread
}

// single returns the one step of a request whose answer can't be discarded: the
// cheapest that is expected to be good, else the best.
func (l *Learner) single(k key, target float64, steps []Step) []Step {
	for _, s := range steps {
		if l.expectedGood(k, target, s) {
			return []Step{s}
		}
	}
	return steps[len(steps)-1:]
}
