package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"goldcrestfork/fleet/sticky"
)

const (
	// silentBackoff is how long a keeper that gave no answer isn't asked. It is also the longest
	// wait that a deputy names, since the first keeper may answer again by then.
	silentBackoff = time.Second
	// maxWait bounds the waits that other VMs name.
	maxWait = 10 * time.Second
	// maxRate bounds the rates that VMs name, in requests a second.
	maxRate = 1e6
)

// Config configures a Service.
type Config struct {
	// Self is this VM's name in rings.
	Self string
	// Ring returns the ring of the VMs that can keep an endpoint's limit now.
	Ring func(endpoint string) *sticky.Ring
	// SeesMajority reports whether this VM is in touch with most of the VMs that it knows.
	SeesMajority func() bool
	// Timeout returns how long a keeper of an endpoint has to answer.
	Timeout func(endpoint string) time.Duration
	// Decide decides on one request at an endpoint that takes rate requests a second, as its
	// keeper or as the keeper's deputy. It returns 0 if the request may be sent, and otherwise
	// the time after which one may be.
	Decide func(endpoint string, rate float64, deputy bool) time.Duration
	// Send sends a packet to a keeper's address. The packet may be lost without an error.
	Send func(b []byte, to string) error
	Log  zerolog.Logger
	// Registerer registers the metrics; it is required.
	Registerer prometheus.Registerer
}

// Answer is the answer to a request for an endpoint's limit.
type Answer struct {
	// Wait is 0 if the request may be sent, and otherwise the time after which one may be.
	Wait time.Duration
	// Keeper is the VM that decided, "" if none answered.
	Keeper string
	// VMs is the number of VMs that share the limit, as far as this VM knows.
	VMs int
}

// kind is the type of a message.
type kind uint8

const (
	kindTake  kind = iota + 1 // asks for one request; answered by kindTaken
	kindTaken                 // the answer
)

// message is the content of a packet.
type message struct {
	Kind      kind    `cbor:"1,keyasint"`
	RequestID uint64  `cbor:"2,keyasint"`
	Endpoint  string  `cbor:"3,keyasint,omitempty"`
	Rate      float64 `cbor:"4,keyasint,omitempty"` // the endpoint's limit, in requests a second
	Deputy    bool    `cbor:"5,keyasint,omitempty"` // the VM that asks takes the receiver for the deputy
	WaitMs    int64   `cbor:"6,keyasint,omitempty"` // in kindTaken; 0 if the request may be sent
}

// Service asks the keepers of endpoints' limits, and decides for the endpoints that this VM keeps.
type Service struct {
	cfg   Config
	takes *prometheus.CounterVec

	mu          sync.Mutex
	waiting     map[uint64]chan time.Duration
	silentUntil map[string]time.Time // by keeper
}

// New returns a service. Packets from other VMs must be passed to Receive.
func New(cfg Config) *Service {
	s := &Service{
		cfg: cfg, waiting: make(map[uint64]chan time.Duration), silentUntil: make(map[string]time.Time),
		takes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_quota_takes_total", Help: "Requests for endpoints with a request limit, by result.",
		}, []string{"result"}),
	}
	cfg.Registerer.MustRegister(s.takes)
	return s
}

// Take asks for one request at an endpoint that takes the given number of requests a second. It
// waits for at most two timeouts, and no longer than ctx.
func (s *Service) Take(ctx context.Context, endpoint string, rate float64) Answer {
	a := s.take(ctx, endpoint, min(rate, maxRate))
	switch {
	case a.Keeper == "":
		s.takes.WithLabelValues("silent").Inc()
	case a.Wait > 0:
		s.takes.WithLabelValues("denied").Inc()
	default:
		s.takes.WithLabelValues("granted").Inc()
	}
	return a
}

func (s *Service) take(ctx context.Context, endpoint string, rate float64) Answer {
	ring := s.cfg.Ring(endpoint)
	for i, k := range ring.Keepers(sticky.KeyOf(endpoint)) {
		deputy := i > 0
		if k.Name == s.cfg.Self {
			return Answer{Wait: s.decide(endpoint, rate, deputy), Keeper: k.Name, VMs: ring.Len()}
		}
		if s.isSilent(k.Name) {
			continue
		}
		if wait, ok := s.ask(ctx, k, message{Endpoint: endpoint, Rate: rate, Deputy: deputy}); ok {
			return Answer{Wait: wait, Keeper: k.Name, VMs: ring.Len()}
		}
	}
	return Answer{Wait: silentBackoff, VMs: ring.Len()}
}

// decide decides on one request. Unless this VM ranks first by its own ring and by that of the VM
// that asks, and is in touch with most VMs, it decides as the deputy.
func (s *Service) decide(endpoint string, rate float64, deputy bool) time.Duration {
	if first := s.cfg.Ring(endpoint).Keepers(sticky.KeyOf(endpoint)); len(first) == 0 || first[0].Name != s.cfg.Self || !s.cfg.SeesMajority() {
		deputy = true
	}
	wait := s.cfg.Decide(endpoint, rate, deputy)
	if deputy {
		return min(wait, silentBackoff)
	}
	return wait
}

func (s *Service) isSilent(keeper string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.silentUntil[keeper])
}

// ask asks a keeper and waits for its answer; ok is false if there is none.
func (s *Service) ask(ctx context.Context, k sticky.Keeper, m message) (wait time.Duration, ok bool) {
	in := make(chan time.Duration, 1)
	m.Kind, m.RequestID = kindTake, rand.Uint64()
	s.mu.Lock()
	s.waiting[m.RequestID] = in
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, m.RequestID)
	}()
	s.send(k.Address, m)
	t := time.NewTimer(s.cfg.Timeout(m.Endpoint))
	defer t.Stop()
	select {
	case wait = <-in:
		return wait, true
	case <-ctx.Done():
	case <-t.C:
		s.mu.Lock()
		s.silentUntil[k.Name] = time.Now().Add(silentBackoff)
		s.mu.Unlock()
	}
	return 0, false
}

func (s *Service) send(to string, m message) {
	b, err := cbor.Marshal(&m)
	if err == nil {
		err = s.cfg.Send(b, to)
	}
	if err != nil {
		s.cfg.Log.Warn().Err(err).Str("address", to).Msg("can't send the message about a request limit")
	}
}

// Receive processes a packet from another VM; from is the address for the answer.
func (s *Service) Receive(b []byte, from string) {
	var m message
	if err := cbor.Unmarshal(b, &m); err != nil {
		s.takes.WithLabelValues("unreadable").Inc()
		return
	}
	switch m.Kind {
	case kindTake:
		if !(m.Rate >= 0 && m.Rate <= maxRate) { // true for NaN
			s.takes.WithLabelValues("unreadable").Inc()
			return
		}
		wait := s.decide(m.Endpoint, m.Rate, m.Deputy)
		s.send(from, message{Kind: kindTaken, RequestID: m.RequestID, WaitMs: ceilMs(wait)})
	case kindTaken:
		s.mu.Lock()
		in := s.waiting[m.RequestID]
		s.mu.Unlock()
		select {
		case in <- time.Duration(min(max(m.WaitMs, 0), maxWait.Milliseconds())) * time.Millisecond:
		default: // late, or of another incarnation of this VM
		}
	}
}

// ceilMs rounds up to whole milliseconds, so that a wait never becomes a grant.
func ceilMs(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

// Sweep removes the state of keepers that are asked again.
func (s *Service) Sweep() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, until := range s.silentUntil {
		if now.After(until) {
			delete(s.silentUntil, name)
		}
	}
}
