package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind is the class of a route's requests. It determines whether a request may run more than
// once.
type Kind int

// The kinds of requests.
const (
	// NonIdempotent requests run at most once for each attempt that a caller makes.
	NonIdempotent Kind = iota
	// Idempotent requests may be repeated after any failure.
	Idempotent
	// Streaming requests are answered with a stream of events. They may continue at another
	// endpoint only if the route resumes streams.
	Streaming
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	return [...]string{"non_idempotent", "idempotent", "streaming"}[k]
}

// WeightedService is one service of a route that is split over several, with its share of the
// requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route sends the requests for a host and a path prefix to one or more services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout bounds how long a caller is kept waiting for its answer; 0 for no bound.
	Timeout time.Duration
	// Target is the time within which an answer is on time; for a stream, the time to its first
	// event.
	Target time.Duration
	// MaxAttempts bounds the attempts at one request that ran or may have run.
	MaxAttempts int
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Services are the services that share the route's requests by weight; a route that isn't
	// split has one with weight 1.
	Services []WeightedService
	// Regions are the regions in which the requests may run; empty for all.
	Regions []string
	// Anonymous routes accept requests without a key.
	Anonymous bool
	// Resume allows an interrupted stream to continue at another endpoint.
	Resume bool
	// Models are the models that the system may choose from, smallest first; empty if the
	// caller names the model.
	Models []string
}

// Service is a named service that endpoints serve.
type Service struct {
	Name string
	// ColdRate is the number of requests a second that an endpoint in cold start can handle,
	// from all VMs together; 0 for no limit.
	ColdRate float64
	// Slots is the number of requests that one endpoint runs at once, and MemoryTokens the tokens that
	// it holds; 0 if they aren't stated, as for services without engines.
	Slots        int
	MemoryTokens int
}

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides the priority of the routes if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound the size of a caller's requests, the time to send the header, and how long a
// connection may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	// Version is the number that the operators chose. Revision is the platform's number, which
	// orders configurations.
	Version  int64
	Revision int64
	Services map[string]*Service
	Limits   Limits

	routes       map[string][]*Route
	keys         map[string]*Account
	keysRequired bool
	routeCount   int
	ranks        map[string]serviceRanks
}

// NewConfig returns a configuration with its routes indexed by host, longest prefix first. keys
// maps API keys to accounts; keysRequired applies to routes that aren't anonymous.
func NewConfig(version, revision int64, routes []*Route, services []*Service, keys map[string]*Account, keysRequired bool, l Limits) *Config {
	c := &Config{
		Version: version, Revision: revision, Limits: l, keys: keys, keysRequired: keysRequired,
		Services: make(map[string]*Service, len(services)),
		routes:   make(map[string][]*Route), routeCount: len(routes),
		ranks: ranksOf(routes),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		h := strings.ToLower(r.Host)
		c.routes[h] = append(c.routes[h], r)
	}
	for _, rs := range c.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Routes returns the number of routes.
func (c *Config) Routes() int { return c.routeCount }

// KeysRequired reports whether callers need a key on routes that aren't anonymous.
func (c *Config) KeysRequired() bool { return c.keysRequired }

// Match returns the route of the host whose prefix of path is the longest; nil for none.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that a key belongs to; nil for none.
func (c *Config) Account(key string) *Account { return c.keys[key] }
