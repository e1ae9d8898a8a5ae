package loadtest

import (
	"math"
	"math/rand/v2"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/policy/picker"
)

// kind is one kind of request of a workload.
type kind struct {
	share    float64 // of requests
	class    config.Class
	size     float64 // mean work, in seconds alone on an engine
	deadline time.Duration
	// idempotent requests may be retried.
	idempotent bool
}

// Workload is one of the brief's two users: its pool and its requests.
type Workload struct {
	Name                  string
	Endpoints, DataCentre int
	Slots, ColdSlots      int
	VMs                   int
	Weights               picker.Weights
	kinds                 []kind
}

// Cluj is model-ierburi of Regia Pajistilor: 12 runners, reports that may wait.
var Cluj = Workload{
	Name: "cluj", Endpoints: 12, DataCentre: 4, Slots: 16, ColdSlots: 2, VMs: 7,
	Weights: picker.WeightsCost,
	kinds: []kind{
		{0.20, config.ClassImmediate, 0.3, 4 * time.Second, true},     // plot lookups, tag checks
		{0.40, config.ClassInteractive, 1.5, 15 * time.Second, true},  // mowing summaries
		{0.35, config.ClassDeferrable, 3.0, 120 * time.Second, true},  // growth reports
		{0.05, config.ClassInteractive, 0.5, 15 * time.Second, false}, // work orders
	},
}

// Norte is asistente of Conectores del Norte: 9 runners, till lookups first.
var Norte = Workload{
	Name: "norte", Endpoints: 9, DataCentre: 3, Slots: 8, ColdSlots: 1, VMs: 6,
	Weights: picker.WeightsLatency,
	kinds: []kind{
		{0.55, config.ClassImmediate, 0.25, 2 * time.Second, true},   // till lookups
		{0.25, config.ClassInteractive, 1.5, 10 * time.Second, true}, // descriptions, tags
		{0.15, config.ClassDeferrable, 4.0, 90 * time.Second, true},  // weekly summaries
		{0.05, config.ClassImmediate, 0.25, 4 * time.Second, false},  // refunds
	},
}

// accountWeights are ten client accounts, a few large.
var accountWeights = []float64{4, 3, 2, 1, 1, 1, 1, 1, 1, 1}

// hotAccount is the account that floods in the scenarios with a hot caller; a small one.
const hotAccount = 5

// poisonAccount sends the poison request.
const poisonAccount = 1

const (
	// sizeSpread is the sigma of the log-normal spread of sizes within a kind.
	sizeSpread = 0.6
	// estimateSpread is that of the router's estimate around the true size.
	estimateSpread = 0.3
	// prefixes is the number of shared prompt starts; a Zipf law says which is used.
	prefixes = 60
	// comesBack is the share of callers that send a request again that wasn't answered.
	comesBack = 0.5
	// maxTries is how often such a caller sends it in all.
	maxTries = 3
)

// request is one try of one caller.
type request struct {
	id         uint64
	account    int
	kind       int
	class      config.Class
	size       float64 // true work
	estimate   float64
	patience   time.Duration // from sending to the deadline
	prefix     uint64
	idempotent bool
	poison     bool
	long       bool
	returns    bool
	tries      int
	first      time.Time // first sent
	sent       time.Time // this try
	deadline   time.Time
}

// meanSize is the mean work of a request.
func (w *Workload) meanSize() float64 {
	sum := 0.0
	for _, k := range w.kinds {
		sum += k.share * k.size
	}
	return sum
}

// generator makes one account's requests from its own random stream, so that all
// variants of a run with the same seed get the same ones, and the other accounts
// the same with a hot caller as without.
type generator struct {
	w       *Workload
	s       *Scenario
	account int
	rng     *rand.Rand
	zipf    *rand.Zipf
	made    uint64
}

// accountIDs is the distance between the ids of two accounts' requests.
const accountIDs = 1 << 40

func newGenerator(w *Workload, s *Scenario, seed uint64, account int) *generator {
	rng := rand.New(rand.NewPCG(seed, uint64(1000+account)))
	return &generator{w: w, s: s, account: account, rng: rng, zipf: rand.NewZipf(rng, 1.2, 4, prefixes-1)}
}

// interval is the time to the next request of the account at its mean rate.
func (g *generator) interval(rate float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*g.rng.NormFloat64()-sigma*sigma/2)
}

func (g *generator) make() *request {
	g.made++
	k := g.pickKind()
	if g.s.HotImmediate && g.account == hotAccount {
		k = 0
	}
	spec := g.w.kinds[k]
	r := &request{
		id: uint64(g.account)*accountIDs + g.made, account: g.account, kind: k, class: spec.class,
		size:       g.logNormal(spec.size, sizeSpread),
		patience:   spec.deadline,
		idempotent: spec.idempotent,
		returns:    g.rng.Float64() < comesBack,
	}
	isLong := g.rng.Float64() < g.s.LongShare
	usesPrefix := g.rng.Float64() < g.s.PrefixShare
	prefix := g.zipf.Uint64() + 1
	if g.rng.Float64() < g.s.HotKey {
		usesPrefix, prefix = true, prefixes+1
	}
	if isLong {
		r.long = true
		r.size = g.logNormal(longJob*g.w.meanSize(), sizeSpread)
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
	// longJob is a long request's mean work, in mean requests; longPatience its deadline.
	longJob      = 20
	longPatience = 300 * time.Second
)

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
