package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind int

// The kinds of requests.
const (
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent Kind = iota
	// Idempotent requests may run again after any failure.
	Idempotent
	// Streaming requests are answered by events; they may go on at another
	// endpoint only where the route resumes streams.
	Streaming
)

// String gives the kind's name in logs and metrics.
func (k Kind) String() string {
	return [...]string{"non_idempotent", "idempotent", "streaming"}[k]
}

// Weighted is one branch of a route that is split over services.
type Weighted struct {
	Service string
	Weight  float64
}

// Route sends the requests of a host below a path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time a caller is kept waiting; 0 for no bound.
	Timeout time.Duration
	// Target is the latency within which an answer is on time (streams: its first event).
	Target time.Duration
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Services are the branches; one with weight 1 where the route isn't split.
	Services []Weighted
	// Regions are where the request may run; empty for all.
	Regions []string
	// Anonymous routes need no key.
	Anonymous bool
	// Resume allows a stream to go on at another endpoint.
	Resume bool
	// Models are what the system may choose from, smallest first; empty where the
	// caller names the model.
	Models []string
}

// Service is what endpoints implement.
type Service struct {
	Name string
	// ColdRate is the requests a second that an endpoint in cold start bears, from all
	// VMs together; 0 for no limit.
	ColdRate float64
}

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides the routes' when HasPriority.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send, and how long it may take or stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	// Version is the operators' own number, Revision the platform's, which orders configs.
	Version  int64
	Revision int64
	Services map[string]*Service
	Limits   Limits

	routes  map[string][]*Route
	keys    map[string]*Account
	keyed   bool
	nRoutes int
}

// NewConfig indexes routes by host, longest prefix first, and accounts by key.
func NewConfig(version, revision int64, routes []*Route, services []*Service, keys map[string]*Account, keyed bool, l Limits) *Config {
	c := &Config{
		Version: version, Revision: revision, Limits: l, keys: keys, keyed: keyed,
		Services: make(map[string]*Service, len(services)),
		routes:   make(map[string][]*Route), nRoutes: len(routes),
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

// Routes is the number of routes.
func (c *Config) Routes() int { return c.nRoutes }

// Keyed says whether callers need a key on routes that aren't anonymous.
func (c *Config) Keyed() bool { return c.keyed }

// Match returns the host's route with the longest prefix of path; nil for none.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds a key; nil for none.
func (c *Config) Account(key string) *Account { return c.keys[key] }
