package loadtest

import (
	"math"
	"math/rand/v2"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/policy/picker"
)

// kind describes one kind of request in a workload.
type kind struct {
	share    float64 // part of the workload's requests
	class    config.Class
	size     float64 // mean work, in seconds on an otherwise idle engine
	deadline time.Duration
	// idempotent says that requests of this kind may be retried.
	idempotent bool
}

// Workload describes a pool and the requests that it serves. Endpoints, DataCentres
// and VMs are numbers; Slots and ColdSlots are the concurrent requests of each
// endpoint, in service and in cold start.
type Workload struct {
	Name                   string
	Endpoints, DataCentres int
	Slots, ColdSlots       int
	VMs                    int
	Weights                picker.Weights
	kinds                  []kind
}

// Cluj models a pool of 12 endpoints that mostly serves reports that may wait.
var Cluj = Workload{
	Name: "cluj", Endpoints: 12, DataCentres: 4, Slots: 16, ColdSlots: 2, VMs: 7,
	Weights: picker.WeightsCost,
	kinds: []kind{
		{0.20, config.ClassImmediate, 0.3, 4 * time.Second, true},     // plot lookups, tag checks
		{0.40, config.ClassInteractive, 1.5, 15 * time.Second, true},  // mowing summaries
		{0.35, config.ClassDeferrable, 3.0, 120 * time.Second, true},  // growth reports
		{0.05, config.ClassInteractive, 0.5, 15 * time.Second, false}, // work orders
	},
}

// Norte models a pool of 9 endpoints that mostly serves short lookups at a till.
var Norte = Workload{
	Name: "norte", Endpoints: 9, DataCentres: 3, Slots: 8, ColdSlots: 1, VMs: 6,
	Weights: picker.WeightsLatency,
	kinds: []kind{
		{0.55, config.ClassImmediate, 0.25, 2 * time.Second, true},   // till lookups
		{0.25, config.ClassInteractive, 1.5, 10 * time.Second, true}, // descriptions, tags
		{0.15, config.ClassDeferrable, 4.0, 90 * time.Second, true},  // weekly summaries
		{0.05, config.ClassImmediate, 0.25, 4 * time.Second, false},  // refunds
	},
}

// accountWeights are the relative rates of ten client accounts, of which a few are
// large.
var accountWeights = []float64{4, 3, 2, 1, 1, 1, 1, 1, 1, 1}

// hotAccount is the account, a small one, that sends excess load in scenarios with
// a HotFactor.
const hotAccount = 5

// poisonAccount is the account that sends the poison requests.
const poisonAccount = 1

const (
	// sizeSpread is the sigma of the log-normal distribution of sizes within a
	// kind.
	sizeSpread = 0.6
	// estimateSpread is the sigma of the router's log-normal estimate around the
	// true size.
	estimateSpread = 0.3
	// sharedPrefixes is the number of shared prompt prefixes. Requests choose one
	// by a Zipf distribution.
	sharedPrefixes = 60
	// resendShare is the share of callers that resend an unanswered request.
	resendShare = 0.5
	// maxTries is the total number of tries of such a caller.
	maxTries = 3
)

// request is one try of a caller's request.
type request struct {
	id         uint64
	account    int
	kind       int
	class      config.Class
	size       float64 // actual work, in seconds on an otherwise idle engine
	estimate   float64
	patience   time.Duration // time from sending to the deadline
	prefix     uint64
	idempotent bool
	poison     bool
	long       bool
	resends    bool
	tries      int
	first      time.Time // when the first try was sent
	sent       time.Time // when this try was sent
	deadline   time.Time
}

// meanSize returns the mean work of a request.
func (w *Workload) meanSize() float64 {
	sum := 0.0
	for _, k := range w.kinds {
		sum += k.share * k.size
	}
	return sum
}

// generator generates one account's requests from a random stream of its own. All
// variants of a run with the same seed therefore get the same requests, and a hot
// caller doesn't change the requests of the other accounts.
type generator struct {
	w         *Workload
	s         *Scenario
	account   int
	rng       *rand.Rand
	zipf      *rand.Zipf
	generated uint64
}

// idsPerAccount is the distance between the first request ids of two accounts.
const idsPerAccount = 1 << 40

func newGenerator(w *Workload, s *Scenario, seed uint64, account int) *generator {
	rng := rand.New(rand.NewPCG(seed, uint64(1000+account)))
	return &generator{w: w, s: s, account: account, rng: rng, zipf: rand.NewZipf(rng, 1.2, 4, sharedPrefixes-1)}
}

// interval returns the time to the account's next request at the given mean rate.
func (g *generator) interval(rate float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

// logNormal draws from a log-normal distribution with the given mean.
func (g *generator) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*g.rng.NormFloat64()-sigma*sigma/2)
}

// newRequest generates the account's next request.
func (g *generator) newRequest() *request {
	g.generated++
	k := g.pickKind()
	if g.s.HotImmediate && g.account == hotAccount {
		k = 0
	}
	spec := g.w.kinds[k]
	r := &request{
		id: uint64(g.account)*idsPerAccount + g.generated, account: g.account, kind: k, class: spec.class,
		size:       g.logNormal(spec.size, sizeSpread),
		patience:   spec.deadline,
		idempotent: spec.idempotent,
		resends:    g.rng.Float64() < resendShare,
	}
	isLong := g.rng.Float64() < g.s.LongShare
	usesPrefix := g.rng.Float64() < g.s.PrefixShare
	prefix := g.zipf.Uint64() + 1
	if g.rng.Float64() < g.s.HotPrefixShare {
		usesPrefix, prefix = true, sharedPrefixes+1
	}
	if isLong {
		r.long = true
		r.size = g.logNormal(longSizeFactor*g.w.meanSize(), sizeSpread)
		r.patience = longPatience
		r.class = config.ClassInteractive
	}
	if usesPrefix {
		r.prefix = prefix
	}
	r.estimate = g.logNormal(r.size, estimateSpread)
	return r
}

const (
	// longSizeFactor is the mean work of a long request as a multiple of the mean
	// request, and longPatience its deadline.
	longSizeFactor = 20
	longPatience   = 300 * time.Second
)

// pickKind draws a kind according to the shares and returns its index.
func (g *generator) pickKind() int {
	x := g.rng.Float64()
	for i, k := range g.w.kinds {
		if x < k.share {
			return i
		}
		x -= k.share
	}
	return len(g.w.kinds) - 1
}
