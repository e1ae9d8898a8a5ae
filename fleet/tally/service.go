package tally

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"goldcrestfork/fleet/datagram"
)

const (
	// askTimeout is how long a request waits for the keeper's answer: several round trips
	// within a data centre, and negligible against the two seconds that callers give an engine.
	askTimeout = 10 * time.Millisecond
	// silentBackoff is how long a keeper that didn't answer is skipped. It is short because
	// one datagram in a hundred is lost, and a dead VM leaves the list of keepers after two
	// seconds anyway.
	silentBackoff = 500 * time.Millisecond
	// refreshInterval is the time between two reports of a VM whose work doesn't change.
	refreshInterval = 500 * time.Millisecond
	// summaryInterval is the time between two summaries to other data centres. With 60
	// endpoints and four data centres, 100 ms amounts to 16 KB/s over all of them.
	summaryInterval = 100 * time.Millisecond
)

// Keeper is a VM that can sum the reports of its data centre.
type Keeper struct {
	Name    string
	Address string // ip:port of its Service
}

// Config configures a Service.
type Config struct {
	// Self is the name of this VM; Address is the ip:port at which the Service listens.
	Self    string
	Address string
	// Clock returns the time from which the ages of reports and the backoffs are computed.
	Clock func() time.Duration
	// Keepers returns the VMs of this data centre that can be its keeper, this one included.
	// VMs that know the same VMs must return the same order; the first one is the keeper.
	Keepers func() []Keeper
	// RemoteKeepers returns the first keeper of each other data centre.
	RemoteKeepers func() []Keeper
	// State returns this VM's own work under way and the endpoints that it avoids.
	State func() State
	// Apply is called with the state of all other VMs.
	Apply func(State)
	// Outcomes returns the outcomes of this VM's recent attempts.
	Outcomes func() []Outcomes
	// ApplyOutcomes is called with the sums over all VMs; endpoints that are left out had no
	// failures.
	ApplyOutcomes func([]Outcomes)
	// Sums returns this VM's sums of the topics that it takes part in. ApplySums is called with the
	// totals of a topic over all VMs, this one included.
	Sums      func() []TopicSums
	ApplySums func(TopicSums)
	Log       zerolog.Logger
	// Registerer registers the metrics and Traffic counts the packets; both are required.
	Registerer prometheus.Registerer
	Traffic    *datagram.Traffic
}

// kind is the type of a message.
type kind uint8

const (
	kindReport        kind = iota + 1 // a VM's state; if RequestID is set, answered by kindTotals
	kindTotals                        // the state of all other VMs
	kindSummary                       // the sums of a data centre's work, for the other keepers
	kindOutcomes                      // a VM's recent outcomes; answered by kindFleetOutcomes
	kindOutcomeSums                   // a data centre's sums of outcomes, for the other keepers
	kindFleetOutcomes                 // the sums of outcomes over all VMs
	kindSums                          // a VM's sums of a topic; answered by kindFleetSums
	kindSumTotals                     // a data centre's totals of a topic, for the other keepers
	kindFleetSums                     // the totals of a topic over all VMs
)

// message is the content of a datagram.
type message struct {
	Kind        kind   `cbor:"1,keyasint"`
	From        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Sequence    uint64 `cbor:"4,keyasint"`
	RequestID   uint64 `cbor:"5,keyasint,omitempty"`
	State       State  `cbor:"6,keyasint"`
	// Outcomes is set only in the three kinds that carry outcomes.
	Outcomes []Outcomes `cbor:"7,keyasint,omitempty"`
	// Sums is set only in the three kinds that carry sums.
	Sums *TopicSums `cbor:"8,keyasint,omitempty"`
}

// Service queries and reports to the keeper, and is the keeper itself when this VM comes first.
type Service struct {
	cfg         Config
	socket      *datagram.Socket
	aggregator  *Aggregator
	incarnation uint64
	sequence    atomic.Uint64
	asks        *prometheus.CounterVec

	mu           sync.Mutex
	waiting      map[uint64]chan struct{}
	backoffUntil map[string]time.Duration // by keeper
	lastApplied  uint64                   // highest request ID whose answer was applied
	// keeperSince is since when VMs report their sums to this one, and reportedAt the last time.
	keeperSince, reportedAt time.Duration
}

// Listen opens the socket at Address. It returns an error if the address can't be used.
func Listen(cfg Config) (*Service, error) {
	socket, err := datagram.Listen(cfg.Address, "load", cfg.Traffic)
	if err != nil {
		return nil, err
	}
	s := &Service{
		cfg: cfg, socket: socket, aggregator: NewAggregator(), incarnation: rand.Uint64(),
		waiting: make(map[uint64]chan struct{}), backoffUntil: make(map[string]time.Duration),
		asks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_tally_asks_total", Help: "Queries for the load of the fleet before a choice, by result.",
		}, []string{"result"}),
	}
	cfg.Registerer.MustRegister(s.asks)
	return s, nil
}

// Run receives messages and sends reports and summaries at their intervals until ctx is done,
// then closes the socket.
func (s *Service) Run(ctx context.Context) {
	var receiver sync.WaitGroup
	receiver.Go(func() {
		s.socket.Run(ctx, s.receive, func(error) { s.asks.WithLabelValues("failed").Inc() })
	})
	defer receiver.Wait()
	t := time.NewTicker(summaryInterval)
	defer t.Stop()
	var last time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.sendSummary()
		if now := s.cfg.Clock(); now-last >= refreshInterval {
			last = now
			s.ReportChange()
			s.reportOutcomes()
			s.reportSums()
		}
	}
}

// currentKeeper returns the VM to report to, the first without a backoff; ok is false for none.
func (s *Service) currentKeeper() (Keeper, bool) {
	keepers := s.cfg.Keepers()
	now := s.cfg.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range keepers {
		if k.Name == s.cfg.Self || now >= s.backoffUntil[k.Name] {
			return k, true
		}
	}
	return Keeper{}, false
}

// Refresh queries the keeper for the current load of all other VMs and applies it. It waits for at
// most askTimeout, and no longer than ctx.
func (s *Service) Refresh(ctx context.Context) {
	k, ok := s.currentKeeper()
	if !ok {
		s.asks.WithLabelValues("nobody").Inc()
		return
	}
	if k.Name == s.cfg.Self {
		s.asks.WithLabelValues("own").Inc()
		s.cfg.Apply(s.aggregator.Totals(s.cfg.Clock(), s.cfg.Self))
		return
	}
	id := s.sequence.Add(1)
	done := make(chan struct{})
	s.mu.Lock()
	s.waiting[id] = done
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiting, id)
		s.mu.Unlock()
	}()
	s.send(k, message{Kind: kindReport, Sequence: id, RequestID: id, State: s.cfg.State()})
	t := time.NewTimer(askTimeout)
	defer t.Stop()
	select {
	case <-done:
		s.asks.WithLabelValues("answered").Inc()
	case <-ctx.Done():
	case <-t.C:
		s.asks.WithLabelValues("silent").Inc()
		s.mu.Lock()
		s.backoffUntil[k.Name] = s.cfg.Clock() + silentBackoff
		s.mu.Unlock()
		s.cfg.Log.Debug().Str("keeper", k.Name).Msg("load keeper did not answer in time")
	}
}

// ReportChange reports this VM's state to the keeper.
func (s *Service) ReportChange() {
	k, ok := s.currentKeeper()
	if !ok {
		return
	}
	seq := s.sequence.Add(1)
	state := s.cfg.State()
	if k.Name == s.cfg.Self {
		s.aggregator.RecordReport(s.cfg.Clock(), s.cfg.Self, s.incarnation, seq, state)
		return
	}
	s.send(k, message{Kind: kindReport, Sequence: seq, State: state})
}

// sendSummary sends the sums of this data centre's work to the other data centres' keepers, if
// this VM is the keeper.
func (s *Service) sendSummary() {
	k, ok := s.currentKeeper()
	if !ok || k.Name != s.cfg.Self {
		return
	}
	sums := s.aggregator.LocalSums(s.cfg.Clock())
	seq := s.sequence.Add(1)
	for _, other := range s.cfg.RemoteKeepers() {
		s.send(other, message{Kind: kindSummary, Sequence: seq, State: State{Work: sums}})
	}
}

func (s *Service) send(k Keeper, m message) { s.sendTo(k.Address, m) }

func (s *Service) sendTo(address string, m message) {
	m.From, m.Incarnation = s.cfg.Self, s.incarnation
	b, err := cbor.Marshal(&m)
	if err == nil {
		err = s.socket.Send(b, address)
	}
	if err != nil {
		s.cfg.Log.Warn().Err(err).Str("address", address).Msg("can't send the load message")
	}
}

func (s *Service) receive(b []byte, from string) {
	var m message
	if err := cbor.Unmarshal(b, &m); err != nil {
		s.asks.WithLabelValues("unreadable").Inc()
		return
	}
	s.handle(from, &m)
}

func (s *Service) handle(from string, m *message) {
	now := s.cfg.Clock()
	switch m.Kind {
	case kindReport:
		s.aggregator.RecordReport(now, m.From, m.Incarnation, m.Sequence, m.State)
		if m.RequestID != 0 {
			s.sendTo(from, message{Kind: kindTotals, RequestID: m.RequestID, State: s.aggregator.Totals(now, m.From)})
		}
	case kindTotals:
		s.handleTotals(m)
	case kindSummary:
		s.aggregator.RecordSummary(now, m.From, m.Incarnation, m.Sequence, m.State.Work)
	case kindOutcomes, kindOutcomeSums, kindFleetOutcomes:
		s.handleOutcomes(now, from, m)
	case kindSums, kindSumTotals, kindFleetSums:
		s.handleSums(now, from, m)
	}
}

// handleTotals applies the answer to a query and wakes the waiting Refresh. It doesn't apply the
// state if the answer to a later query was applied already.
func (s *Service) handleTotals(m *message) {
	s.mu.Lock()
	done := s.waiting[m.RequestID]
	delete(s.waiting, m.RequestID)
	newer := done != nil && m.RequestID > s.lastApplied
	if newer {
		s.lastApplied = m.RequestID
	}
	s.mu.Unlock()
	if done == nil {
		return // late, or of another incarnation of this VM
	}
	if newer {
		s.cfg.Apply(m.State)
	}
	close(done)
}
